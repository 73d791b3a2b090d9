// Package controlrpc defines the net/rpc messages of the control service and its client.
package controlrpc

import (
	"github.com/wisteriamux/wisteriamux/internal/controlstate"
	"github.com/wisteriamux/wisteriamux/internal/fault"
	"github.com/wisteriamux/wisteriamux/internal/model"
)

// ServiceName is the net/rpc service name of the control service.
const ServiceName = "Control"

// JoinArgs registers an entry VM.
type JoinArgs struct {
	Member model.Member
}

// JoinReply carries the number of the new instance.
type JoinReply struct {
	Fault    *fault.WireError
	Instance uint64
}

// RenewArgs renews the lease of an entry VM.
type RenewArgs struct {
	ID       string
	Instance uint64
	// Applied is the revision of the view that the VM serves from.
	Applied uint64
	// Served is the newest revision that the VM has ever served. A leader with an older revision refuses the call.
	Served uint64
	// Load is the burn rate and the demand that the VM measured.
	Load Load
}

// Load is the load report of an entry VM. The leader uses it to plan and pace drains.
type Load struct {
	// Burn is the highest recent burn rate of any service-level objective.
	Burn float64
	// Demand is the mean number of busy slots per service, summed over the upstreams that the VM owns.
	Demand map[string]float64
}

// RenewReply grants a lease. The VM measures its duration from the time at which it sent the request.
type RenewReply struct {
	Fault *fault.WireError
	// LeaseMillis is the remaining time of the lease. The lease of a VM that is behind ends one lease duration after the
	// first change that it has not applied. A VM without a valid lease from this leader gets one only if it has applied
	// the current revision. In both cases the VM gets a full lease by reading the view and renewing again.
	LeaseMillis int64
	Revision    uint64
}

// ViewArgs asks for the view if it is newer than Known.
type ViewArgs struct {
	Known uint64
}

// ViewReply carries the view. Unchanged is set instead if Known is the current revision.
type ViewReply struct {
	Fault     *fault.WireError
	Unchanged bool
	View      model.View
}

// ProposeArgs requests that a command is appended to the log.
type ProposeArgs struct {
	Command controlstate.Command
}

// ProposeReply carries the result once the command is durable on a quorum and applied.
type ProposeReply struct {
	Fault  *fault.WireError
	Result controlstate.Result
}

// InForceArgs asks for the highest revision in force, and waits until Revision is in force.
type InForceArgs struct {
	Revision uint64
	// WaitMillis is how long to wait for the revision. The leader limits it to half a second.
	WaitMillis int64
}

// InForceReply carries the highest revision in force.
type InForceReply struct {
	Fault   *fault.WireError
	InForce uint64
}

// BookingArgs asks for the record of a booking key.
type BookingArgs struct {
	Key string
}

// BookingReply carries the record of a booking key.
type BookingReply struct {
	Fault   *fault.WireError
	Booking controlstate.Booking
}

// GroupMember is a member of the control group.
type GroupMember struct {
	// ID is the member ID in hexadecimal. It is stored in the member's data directory.
	ID      string `json:"id"`
	Name    string `json:"name"`
	Address string `json:"address"`
	Role    string `json:"role"`
	// Match is the highest log index that is known to be durable on the member, as in Raft's match index.
	Match             uint64 `json:"match"`
	LastContactMillis int64  `json:"last_contact_ms"`
	// Standby is set for a learner in touch that holds the log and can take a voter's place.
	Standby bool `json:"standby"`
}

// GroupArgs asks for the members of the control group.
type GroupArgs struct{}

// GroupReply lists the members of the control group.
type GroupReply struct {
	Fault   *fault.WireError
	Members []GroupMember
}

// GroupAddArgs adds the member at the address, which joins as a learner at first.
type GroupAddArgs struct {
	Name    string
	Address string
}

// GroupRemoveArgs removes the member with the name or the ID.
type GroupRemoveArgs struct {
	Member string
}

// GroupTransferArgs transfers leadership to the named voter, or to the most up-to-date one if Name is empty.
type GroupTransferArgs struct {
	Name string
}

// GroupChangeReply is returned once the change of the group is committed.
type GroupChangeReply struct {
	Fault *fault.WireError
}

// StatusArgs asks for the status of the control group and the leases.
type StatusArgs struct{}

// MemberStatus is an entry VM with its applied revision and the remaining time of its lease.
type MemberStatus struct {
	model.Member
	Applied     uint64 `json:"applied"`
	LeaseMillis int64  `json:"lease_ms"`
}

// StatusReply describes the control group and the leases.
type StatusReply struct {
	Fault    *fault.WireError `json:"-"`
	ID       string           `json:"id"`
	Leader   string           `json:"leader"`
	Revision uint64           `json:"revision"`
	Version  uint64           `json:"version"`
	Members  []MemberStatus   `json:"members"`
	// InForce is the highest revision that every entry VM with a valid lease has applied. It is 0 for one lease duration
	// after an election, because the leases of the previous leader are unknown.
	InForce uint64 `json:"in_force"`
}

func (r JoinReply) failure() *fault.WireError { return r.Fault }

func (r RenewReply) failure() *fault.WireError { return r.Fault }

func (r ViewReply) failure() *fault.WireError { return r.Fault }

func (r ProposeReply) failure() *fault.WireError { return r.Fault }

func (r InForceReply) failure() *fault.WireError { return r.Fault }

func (r BookingReply) failure() *fault.WireError { return r.Fault }

func (r GroupReply) failure() *fault.WireError { return r.Fault }

func (r GroupChangeReply) failure() *fault.WireError { return r.Fault }

func (r StatusReply) failure() *fault.WireError { return r.Fault }
