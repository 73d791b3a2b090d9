// Package controlstate implements the deterministic state machine of the control plane: configuration, route table,
// entry VMs, upstreams, drain plans, bookings and quarantines. It performs no I/O and reads no clock: commands carry
// the time.
package controlstate

import (
	"github.com/fxamacker/cbor/v2"

	"github.com/wisteriamux/wisteriamux/internal/fault"
	"github.com/wisteriamux/wisteriamux/internal/model"
	"github.com/wisteriamux/wisteriamux/internal/registry"
	"github.com/wisteriamux/wisteriamux/internal/route"
	"github.com/wisteriamux/wisteriamux/internal/suspect"
)

// Command is an entry of the replicated log. Exactly one of the pointers is set.
type Command struct {
	// UnixMillis is the wall-clock time of the proposing leader. A value below the time of the state has no effect.
	UnixMillis int64 `cbor:"1,keyasint"`

	ApplyConfig      *ApplyConfig      `cbor:"2,keyasint,omitempty"`
	JoinMember       *JoinMember       `cbor:"3,keyasint,omitempty"`
	ExpireMember     *ExpireMember     `cbor:"4,keyasint,omitempty"`
	AnnounceUpstream *AnnounceUpstream `cbor:"5,keyasint,omitempty"`
	SetUpstreamState *SetUpstreamState `cbor:"6,keyasint,omitempty"`
	BookingIntent    *BookingIntent    `cbor:"7,keyasint,omitempty"`
	BookingOutcome   *BookingOutcome   `cbor:"8,keyasint,omitempty"`
	AddQuarantine    *AddQuarantine    `cbor:"9,keyasint,omitempty"`
	ClearQuarantine  *ClearQuarantine  `cbor:"10,keyasint,omitempty"`
	Tick             *Tick             `cbor:"11,keyasint,omitempty"`
	StartPlan        *StartPlan        `cbor:"12,keyasint,omitempty"`
	OrderPlan        *OrderPlan        `cbor:"13,keyasint,omitempty"`
	AdvancePlan      *AdvancePlan      `cbor:"14,keyasint,omitempty"`
	RetireMember     *RetireMember     `cbor:"15,keyasint,omitempty"`
	PutRoutes        *PutRoutes        `cbor:"16,keyasint,omitempty"`
	ReportInstance   *ReportInstance   `cbor:"17,keyasint,omitempty"`
	SetEvacuation    *SetEvacuation    `cbor:"18,keyasint,omitempty"`
}

// ApplyConfig replaces the configuration if BaseVersion is the current version. ChangeID makes resends idempotent.
type ApplyConfig struct {
	ChangeID    string
	BaseVersion uint64
	Inventory   model.Inventory
	Rules       []model.Rule
}

// JoinMember registers a new instance of an entry VM and fences the earlier ones.
type JoinMember struct {
	Member model.Member
}

// RetireMember begins the planned stop of an instance: its upstreams move to other owners while it still serves
// requests.
type RetireMember struct {
	ID       string
	Instance uint64
}

// ExpireMember removes an instance whose lease has ended.
type ExpireMember struct {
	ID       string
	Instance uint64
}

// AnnounceUpstream records a new upstream or a changed announcement of a known one.
type AnnounceUpstream struct {
	Announcement model.Announcement
}

// SetUpstreamState moves an upstream to another state.
type SetUpstreamState struct {
	Name  string
	State model.UpstreamState
	// Instance restricts the command to one process instance of the upstream, so that a late report about an earlier
	// process does not affect a newer one. If it is empty, the command applies to any instance.
	Instance string
}

// BookingIntent requests permission to send a booking in one attempt.
type BookingIntent struct {
	Key           string
	Digest        string
	Service       string
	Upstream      string
	OwnerID       string
	OwnerInstance uint64
	// SenderID and SenderInstance identify the entry VM that received the request from the caller.
	SenderID       string
	SenderInstance uint64
}

// BookingState is the state of a booking key.
type BookingState string

// The states of a booking. Only BookingNotRun allows another attempt.
const (
	BookingOpen    BookingState = "open"
	BookingDone    BookingState = "done"
	BookingNotRun  BookingState = "not_run"
	BookingUnknown BookingState = "unknown"
)

// BookingOutcome records the outcome of an attempt.
type BookingOutcome struct {
	Key     string
	Attempt uint64
	State   BookingState
	// Response is the response of the upstream if State is BookingDone.
	Response []byte
}

// Booking is the record of one booking key.
type Booking struct {
	Intent   BookingIntent
	Attempt  uint64
	State    BookingState
	Response []byte
	// UpdatedMillis is the time of the last change, from which the retention counts.
	UpdatedMillis int64
}

// AddQuarantine refuses requests with the fingerprint for a bounded time.
type AddQuarantine struct {
	Fingerprint    string
	DurationMillis int64
	Evidence       suspect.Evidence `cbor:",omitzero"`
}

// ClearQuarantine ends the quarantine of a fingerprint early, or all quarantines if All is set.
type ClearQuarantine struct {
	Fingerprint string
	All         bool
}

// PutRoutes replaces the route table if the version of the new table is the highest so far. A lower or equal version
// changes nothing and does not fail, so that a resend succeeds like the first request.
type PutRoutes struct {
	Table route.Table
	// Source is the document that the table was parsed from. It is kept so that a read returns the document unchanged.
	Source []byte
}

// ReportInstance applies a report about an upstream.
type ReportInstance struct {
	Report registry.Report
}

// Tick only advances the time of the state, so that quarantines and bookings expire on an idle group.
type Tick struct{}

// Result is the result of a command.
type Result struct {
	// Revision is the revision after the command. A resent ApplyConfig returns the revision after its first execution.
	Revision uint64
	Fault    *fault.WireError
	// Version is the version of the configuration after ApplyConfig, or of the route table after PutRoutes.
	Version uint64
	// Instance is the instance number assigned by JoinMember.
	Instance uint64
	// Booking is the record after BookingIntent or BookingOutcome.
	Booking *Booking
	// Granted is set if the booking may be sent as attempt Booking.Attempt.
	Granted bool
}

// Encode encodes a command for the log.
func (c Command) Encode() ([]byte, error) {
	data, err := cbor.Marshal(c)
	if err != nil {
		return nil, fault.New(fault.Internal, "controlstate.encode", "encode command: %w", err)
	}
	return data, nil
}

// DecodeCommand decodes a log entry.
func DecodeCommand(data []byte) (Command, error) {
	var command Command
	if err := cbor.Unmarshal(data, &command); err != nil {
		return Command{}, fault.New(fault.Corrupt, "controlstate.decode", "decode command: %w", err)
	}
	return command, nil
}
