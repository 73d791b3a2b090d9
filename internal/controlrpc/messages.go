// Package controlrpc defines the net/rpc messages of the control service and its client.
package controlrpc

import (
	"github.com/wisteriamux/wisteriamux/internal/controlstate"
	"github.com/wisteriamux/wisteriamux/internal/fault"
	"github.com/wisteriamux/wisteriamux/internal/model"
)

// ServiceName is the name under which the control service is registered with net/rpc.
const ServiceName = "Control"

// JoinArgs registers an entry VM.
type JoinArgs struct {
	Member model.Member
}

// JoinReply carries the granted instance.
type JoinReply struct {
	Fault    *fault.Wire
	Instance uint64
}

// RenewArgs renews the lease of an entry VM.
type RenewArgs struct {
	ID       string
	Instance uint64
	// Applied is the revision of the view that the VM serves from.
	Applied uint64
	// Served is the newest revision that the VM has ever served. Control answers only at or above it.
	Served uint64
}

// RenewReply grants a lease that the VM counts from the moment it sent the request.
type RenewReply struct {
	Fault *fault.Wire
	// LeaseMillis is the time left. The lease of a VM that is behind ends one lease length after the first change that it
	// has not applied, and a lease that is not running at this leader begins only on the current revision. The VM extends
	// or begins it by reading the view and renewing again.
	LeaseMillis int64
	Revision    uint64
}

// ViewArgs asks for the view if it is newer than Known.
type ViewArgs struct {
	Known uint64
}

// ViewReply carries the view; Unchanged is set when Known is current.
type ViewReply struct {
	Fault     *fault.Wire
	Unchanged bool
	View      model.View
}

// ProposeArgs asks for a command to be appended to the log.
type ProposeArgs struct {
	Command controlstate.Command
}

// ProposeReply carries the result once the command is durable on a quorum and applied.
type ProposeReply struct {
	Fault  *fault.Wire
	Result controlstate.Result
}

// InForceArgs asks until when the revision is in force everywhere.
type InForceArgs struct {
	Revision uint64
	// WaitMillis is how long to wait for the revision; control shortens it to half a second.
	WaitMillis int64
}

// InForceReply carries the highest revision in force.
type InForceReply struct {
	Fault   *fault.Wire
	InForce uint64
}

// BookingArgs asks for the record of a key.
type BookingArgs struct {
	Key string
}

// BookingReply carries the record of a key.
type BookingReply struct {
	Fault   *fault.Wire
	Booking controlstate.Booking
}

// GroupMember is a member of the control group.
type GroupMember struct {
	// ID is the identity of the member's data directory in hexadecimal.
	ID      string `json:"id"`
	Name    string `json:"name"`
	Address string `json:"address"`
	Role    string `json:"role"`
	// Match is the last log index on the member's disk, as the leader knows it.
	Match             uint64 `json:"match"`
	LastContactMillis int64  `json:"last_contact_ms"`
}

// GroupArgs asks for the members of the control group.
type GroupArgs struct{}

// GroupReply lists the members of the control group.
type GroupReply struct {
	Fault   *fault.Wire
	Members []GroupMember
}

// GroupAddArgs adds the member at the address, first as a learner.
type GroupAddArgs struct {
	Name    string
	Address string
}

// GroupRemoveArgs removes the member with the name or the identity.
type GroupRemoveArgs struct {
	Member string
}

// GroupTransferArgs hands leadership to the named voter, or to the most advanced one when Name is empty.
type GroupTransferArgs struct {
	Name string
}

// GroupChangeReply is returned once the change of the group is committed.
type GroupChangeReply struct {
	Fault *fault.Wire
}

// StatusArgs asks for the state of the control group.
type StatusArgs struct{}

// MemberStatus is the lease state of an entry VM.
type MemberStatus struct {
	model.Member
	Applied     uint64 `json:"applied"`
	LeaseMillis int64  `json:"lease_ms"`
}

// StatusReply describes the control group and the leases.
type StatusReply struct {
	Fault    *fault.Wire    `json:"-"`
	ID       string         `json:"id"`
	Leader   string         `json:"leader"`
	Revision uint64         `json:"revision"`
	Version  uint64         `json:"version"`
	Members  []MemberStatus `json:"members"`
	// InForce is the highest revision that every entry VM has applied or has lost its lease under. It is 0 for one
	// lease length after an election, because the leases of the previous leader are unknown.
	InForce uint64 `json:"in_force"`
}

func (r JoinReply) failure() *fault.Wire { return r.Fault }

func (r RenewReply) failure() *fault.Wire { return r.Fault }

func (r ViewReply) failure() *fault.Wire { return r.Fault }

func (r ProposeReply) failure() *fault.Wire { return r.Fault }

func (r InForceReply) failure() *fault.Wire { return r.Fault }

func (r BookingReply) failure() *fault.Wire { return r.Fault }

func (r GroupReply) failure() *fault.Wire { return r.Fault }

func (r GroupChangeReply) failure() *fault.Wire { return r.Fault }

func (r StatusReply) failure() *fault.Wire { return r.Fault }
