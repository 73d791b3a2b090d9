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
}

// RenewReply grants a lease that the VM counts from the moment it sent the request.
type RenewReply struct {
	Fault       *fault.Wire
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
	// InForce is the highest revision that every entry VM has applied or has lost its lease under.
	InForce uint64 `json:"in_force"`
}

func (r JoinReply) failure() *fault.Wire { return r.Fault }

func (r RenewReply) failure() *fault.Wire { return r.Fault }

func (r ViewReply) failure() *fault.Wire { return r.Fault }

func (r ProposeReply) failure() *fault.Wire { return r.Fault }

func (r StatusReply) failure() *fault.Wire { return r.Fault }
