package raftnode

import "github.com/wisteriamux/wisteriamux/internal/fault"

// ServiceName is the name under which Service is registered on the RPC server of the member.
const ServiceName = "Raft"

// Service is the RPC receiver for messages of the other members.
type Service struct {
	node *Node
}

// IdentifyArgs asks for the identity of a data directory.
type IdentifyArgs struct{}

// IdentifyReply names the member that serves an address.
type IdentifyReply struct {
	ID    uint64
	Name  string
	Fault *fault.Wire
}

// Identify returns the identity of this member's data directory.
func (s *Service) Identify(_ IdentifyArgs, reply *IdentifyReply) error {
	reply.ID = s.node.identity
	reply.Name = s.node.config.Name
	return nil
}
