package controlrpc

import (
	"context"
	"slices"
	"time"

	"github.com/wisteriamux/wisteriamux/internal/fault"
	"github.com/wisteriamux/wisteriamux/internal/registry"
	"github.com/wisteriamux/wisteriamux/internal/route"
)

// MaxWatchWait bounds how long the leader holds a watch. It stays below the time after which a client gives up on a member,
// so that a leader that is frozen or isolated is noticed within one watch.
const MaxWatchWait = 600 * time.Millisecond

// WatchArgs asks for what changed after the revision Known, and waits for a change for up to WaitMillis.
type WatchArgs struct {
	Known      uint64
	WaitMillis int64
	// Watcher identifies an entry VM, so that the leader can count those that share budgets. Others leave it empty.
	Watcher string
	// RelayAddress is where the entry VM takes batches from others, empty if it does not, and FailureDomain its own.
	RelayAddress  string
	FailureDomain string
	// PeersDigest is that of the last reply.
	PeersDigest uint64
}

// Peer is an entry VM that takes batches from others.
type Peer struct {
	ID            string
	FailureDomain string
	Address       string
}

// WatchReply carries what changed.
type WatchReply struct {
	Fault    *fault.Wire
	Revision uint64
	// Table is set when the table of routes came into force after Known.
	Table     *route.Table
	Instances registry.Delta
	// Members are the addresses of the control members, and Leader that of the leader or empty. A member that does not
	// lead fills them in too, so that a client that knows a few members finds the others.
	Members []string
	Leader  string
	// Provisional is set if the answer comes from a member that does not lead, and no quorum confirmed it.
	Provisional bool
	// Watchers is the number of processes that watched lately.
	Watchers int
	// PeersDigest identifies the entry VMs that relay for this one. Peers lists them if the digest differs from that of
	// the question.
	PeersDigest uint64
	Peers       []Peer
}

// PutRoutesArgs orders a table of routes.
type PutRoutesArgs struct {
	Table  route.Table
	Source []byte
}

// PutRoutesReply carries the version in force.
type PutRoutesReply struct {
	Fault   *fault.Wire
	Version uint64
}

// ReadRoutesArgs asks for the table of routes, confirmed by a quorum.
type ReadRoutesArgs struct{}

// ReadRoutesReply carries the table as it was ordered. Version 0 means that there is none.
type ReadRoutesReply struct {
	Fault   *fault.Wire
	Version uint64
	Table   route.Table
	Source  []byte
}

// ReportArgs carries a report about an upstream.
type ReportArgs struct {
	Report registry.Report
}

// HeardArgs tells which upstreams another member has heard of since its last call.
type HeardArgs struct {
	IDs []string
}

// AdmitArgs asks for membership in the control group.
type AdmitArgs struct {
	// ID is the identity of the data directory in hexadecimal.
	ID      string
	Name    string
	Address string
}

// Ack acknowledges a call without a result.
type Ack struct {
	Fault *fault.Wire
	// Members and Leader are those of WatchReply, in the answer to Admit.
	Members []string
	Leader  string
}

func (r WatchReply) failure() *fault.Wire      { return r.Fault }
func (r PutRoutesReply) failure() *fault.Wire  { return r.Fault }
func (r ReadRoutesReply) failure() *fault.Wire { return r.Fault }
func (r Ack) failure() *fault.Wire             { return r.Fault }

// referral is implemented by replies that name the members of the group.
type referral interface {
	refer() (members []string, leader string)
}

func (r WatchReply) refer() (members []string, leader string) { return r.Members, r.Leader }
func (r Ack) refer() (members []string, leader string)        { return r.Members, r.Leader }

// Watch returns what changed after a revision.
func (c *Client) Watch(ctx context.Context, args WatchArgs) (WatchReply, error) {
	return call[WatchReply](ctx, c, "Watch", args)
}

// WatchAny asks all members at once and returns the first answer, which may be provisional. It is for a process that has
// just started, while some members may not answer at all.
func (c *Client) WatchAny(ctx context.Context, args WatchArgs) (WatchReply, error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	type result struct {
		reply WatchReply
		err   error
	}
	addresses := c.Addresses()
	results := make(chan result, len(addresses))
	for _, address := range addresses {
		go func() {
			var r result
			r.err = c.callOnce(ctx, attemptTimeout, address, "Watch", args, &r.reply)
			if r.err == nil {
				r.err = r.reply.Fault.AsError()
			}
			results <- r
		}()
	}
	var last result
	for range addresses {
		if last = <-results; last.err == nil {
			return last.reply, nil
		}
		c.learn(last.reply.Members)
	}
	return last.reply, last.err
}

// PutRoutes orders a table of routes and returns the version in force.
func (c *Client) PutRoutes(ctx context.Context, table route.Table, source []byte) (uint64, error) {
	reply, err := callWithin[PutRoutesReply](ctx, c, groupTimeout, "PutRoutes", PutRoutesArgs{Table: table, Source: source})
	return reply.Version, err
}

// ReadRoutes returns the table of routes, confirmed by a quorum.
func (c *Client) ReadRoutes(ctx context.Context) (ReadRoutesReply, error) {
	return call[ReadRoutesReply](ctx, c, "ReadRoutes", ReadRoutesArgs{})
}

// Report applies a report about an upstream and returns when it is durable on a quorum.
func (c *Client) Report(ctx context.Context, report registry.Report) error {
	_, err := call[Ack](ctx, c, "Report", ReportArgs{Report: report})
	return err
}

// Heard tells the leader which upstreams are alive.
func (c *Client) Heard(ctx context.Context, ids []string) error {
	_, err := call[Ack](ctx, c, "Heard", HeardArgs{IDs: ids})
	return err
}

// Admit asks the leader for membership.
func (c *Client) Admit(ctx context.Context, args AdmitArgs) error {
	_, err := callWithin[Ack](ctx, c, groupTimeout, "Admit", args)
	return err
}

// SetAddresses replaces the addresses that the client tries. Connections to the others stay open until they fail.
func (c *Client) SetAddresses(addresses []string) {
	if len(addresses) == 0 {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	current := c.addresses[c.preferred%len(c.addresses)]
	c.addresses = append([]string(nil), addresses...)
	c.preferred = 0
	for i, address := range c.addresses {
		if address == current {
			c.preferred = i
		}
	}
}

// learn adds the members that a referral names.
func (c *Client) learn(members []string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, address := range members {
		if !slices.Contains(c.addresses, address) {
			c.addresses = append(c.addresses, address)
		}
	}
}

// prefer tries the address next if it is known.
func (c *Client) prefer(address string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if at := slices.Index(c.addresses, address); at >= 0 {
		c.preferred = at
	}
}

// Addresses returns the addresses that the client tries.
func (c *Client) Addresses() []string {
	c.mu.Lock()
	defer c.mu.Unlock()
	return append([]string(nil), c.addresses...)
}
