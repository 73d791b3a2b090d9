package raftnode

import (
	"github.com/wisteriamux/wisteriamux/internal/fault"
	"github.com/wisteriamux/wisteriamux/internal/raft"
)

// ServiceName is the name under which Service must be registered on the member's RPC server.
const ServiceName = "Raft"

// Service is the RPC receiver for messages from the other members.
type Service struct {
	node *Node
}

// IdentifyArgs requests the identity of a member.
type IdentifyArgs struct{}

// IdentifyReply identifies the member that serves an address.
type IdentifyReply struct {
	ID   uint64
	Name string
	// IsVoter is set if the member is a voter of a group.
	IsVoter bool
	Fault   *fault.WireError
}

// StepArgs carries a batch of messages. From and Address allow the receiver to reply to a sender that is not in its
// membership yet.
type StepArgs struct {
	From     uint64
	Address  string
	Messages []raft.Message
}

// StepReply only acknowledges receipt; responses to the messages are sent as separate messages.
type StepReply struct {
	Fault *fault.WireError
}

// SnapshotArgs carries one chunk of a snapshot.
type SnapshotArgs struct {
	From    uint64
	Address string
	Message raft.Message
}

// Identify returns the identity and name of this member, and whether it is a voter.
func (s *Service) Identify(_ IdentifyArgs, reply *IdentifyReply) error {
	reply.ID = s.node.identity
	reply.Name = s.node.config.Name
	reply.IsVoter = s.node.state().group.IsVoter(s.node.identity)
	return nil
}

// Step accepts messages from another member.
func (s *Service) Step(args StepArgs, reply *StepReply) error {
	reply.Fault = fault.ToWire(s.node.enqueueMessages(args))
	return nil
}

// Snapshot accepts a chunk of a snapshot from the leader.
func (s *Service) Snapshot(args SnapshotArgs, reply *StepReply) error {
	batch := StepArgs{From: args.From, Address: args.Address, Messages: []raft.Message{args.Message}}
	reply.Fault = fault.ToWire(s.node.enqueueMessages(batch))
	return nil
}
