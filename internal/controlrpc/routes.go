package controlrpc

import (
	"cmp"
	"context"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/wisteriamux/wisteriamux/internal/fault"
	"github.com/wisteriamux/wisteriamux/internal/registry"
	"github.com/wisteriamux/wisteriamux/internal/route"
	"github.com/wisteriamux/wisteriamux/internal/suspect"
)

// MaxWatchWait bounds how long the leader holds a watch. It is below attemptTimeout, so that a client notices a frozen
// or isolated leader within one watch.
const MaxWatchWait = 600 * time.Millisecond

// CallTimeout bounds the call of one member, so that a client tries the next one after that time.
const CallTimeout = attemptTimeout

// WatchArgs asks for the changes after the revision Known, and waits for a change for up to WaitMillis.
type WatchArgs struct {
	Known      uint64
	WaitMillis int64
	// Watcher is the ID of the calling entry VM, so that the leader can count the entry VMs that share budgets. Other
	// callers leave it empty.
	Watcher string
	// RelayAddress is where the entry VM accepts relayed batches from other entry VMs, or empty if it does not.
	// FailureDomain is the failure domain of the entry VM.
	RelayAddress  string
	FailureDomain string
	// PeersDigest is the digest from the last reply.
	PeersDigest uint64
	// FollowsSuspects is set by entry VMs that want to know which requests are candidates for a quarantine. SuspectsDigest is
	// the digest from the last reply.
	FollowsSuspects bool
	SuspectsDigest  uint64
	// TableVersion is the version of the route table that the entry VM holds. 0 requests whole tables.
	TableVersion uint64
	// onSend is called before each call of a member, see OnSend. The leader does not get it.
	onSend func()
}

// OnSend returns the arguments with a function that is called before each call of a member. A retry then asks for an immediate
// reply, because the caller has waited already.
func (a WatchArgs) OnSend(f func()) WatchArgs {
	a.onSend = f
	return a
}

// forAttempt prepares the arguments for a call of a member, where 0 is the first.
func (a WatchArgs) forAttempt(attempt int) any {
	if a.onSend == nil {
		return a
	}
	a.onSend()
	if attempt > 0 {
		a.WaitMillis = 0
	}
	return a
}

// Peer is an entry VM that accepts relayed batches from other entry VMs.
type Peer struct {
	ID            string
	FailureDomain string
	Address       string
}

// CommonPeersPerDomain is the number of entry VMs of each failure domain that the lists of all entry VMs have in common,
// themselves included.
const CommonPeersPerDomain = 4

// SplitCommon sorts the peers by a hash of their IDs and returns the first CommonPeersPerDomain of each failure domain, and
// the others. The control group and the entry VMs must agree on the result.
func SplitCommon(peers []Peer) (common, others []Peer) {
	slices.SortFunc(peers, func(a, b Peer) int {
		return cmp.Or(cmp.Compare(xxhash.Sum64String(a.ID), xxhash.Sum64String(b.ID)), cmp.Compare(a.ID, b.ID))
	})
	taken := map[string]int{}
	for _, peer := range peers {
		if taken[peer.FailureDomain]++; taken[peer.FailureDomain] <= CommonPeersPerDomain {
			common = append(common, peer)
			continue
		}
		others = append(others, peer)
	}
	return common, others
}

// WatchReply carries the changes after the known revision.
type WatchReply struct {
	Fault    *fault.WireError
	Revision uint64
	// Table is the route table if it was replaced after Known, or nil.
	Table     *route.Table
	Instances registry.Delta
	// TableChange replaces Table if the leader still has the table of the version in the request. It is never part of a provisional
	// reply.
	TableChange *route.TableChange
	// Members are the addresses of the control members. Leader is the address of the leader, or empty if it is unknown.
	// Members other than the leader set them, too, so that a client that knows only some members finds the others.
	Members []string
	Leader  string
	// Provisional is set if the reply comes from a member that is not the leader, so that no quorum has confirmed it.
	Provisional bool
	// Watchers is the number of processes that have watched recently, or 0 while the leader does not know it yet.
	Watchers int
	// PeersDigest is a digest of the entry VMs that relay for this one. Peers lists them if the digest differs from that
	// in the request.
	PeersDigest uint64
	Peers       []Peer
	// Quarantined lists the quarantines that were added after Known, or all of them if QuarantinesWhole is set.
	Quarantined      []suspect.Quarantined
	QuarantinesWhole bool
	// SuspectsDigest is a digest of the candidates for a quarantine. Suspects lists them if the digest differs from that in
	// the request.
	SuspectsDigest uint64
	Suspects       []suspect.Candidate
	// Held is the time between the arrival of the watch at the leader and the start of its read barrier. The reply contains
	// every change that was acknowledged before that. 0 if the leader does not tell.
	Held time.Duration
	// Evacuated lists the evacuated failure domains if EvacuationsWhole is set, which it is if they changed after Known. gob does not
	// tell an empty list from an absent one.
	Evacuated        []string
	EvacuationsWhole bool
	// MaybeEvacuated lists, in a provisional reply, failure domains whose evacuation the member has stored, whether or not a quorum has.
	MaybeEvacuated []string
}

// ReportSuspectsArgs carries what an entry VM knows about requests under which upstreams ended.
type ReportSuspectsArgs struct {
	// Watcher is the ID of the entry VM.
	Watcher string
	Report  suspect.Report
}

// PutRoutesArgs requests that the route table is replaced.
type PutRoutesArgs struct {
	Table route.Table
	// Source is the document that the table was parsed from.
	Source []byte
}

// PutRoutesReply carries the version in force after the request.
type PutRoutesReply struct {
	Fault   *fault.WireError
	Version uint64
}

// ReadRoutesArgs asks for the route table in a linearizable read.
type ReadRoutesArgs struct {
	// WithoutSource asks for the table only. The document may contain keys, which only control VMs may hold.
	WithoutSource bool
}

// ReadRoutesReply carries the route table and the document that it was parsed from. Version 0 means that there is none.
type ReadRoutesReply struct {
	Fault   *fault.WireError
	Version uint64
	Table   route.Table
	Source  []byte
}

// ReportArgs carries a report about an upstream.
type ReportArgs struct {
	Report registry.Report
}

// HeardArgs lists the upstreams that have sent a heartbeat to another member since its last call.
type HeardArgs struct {
	IDs []string
	// Rules are the newest rules for reports that the member knows. Earlier versions do not set it.
	Rules registry.Rules
}

// AdmitArgs asks for membership in the control group.
type AdmitArgs struct {
	// ID is the member ID in hexadecimal.
	ID      string
	Name    string
	Address string
}

// DepartArgs tells the leader that a control member is about to stop.
type DepartArgs struct {
	// ID is the member ID in hexadecimal.
	ID string
}

// DepartReply tells how the member may stop.
type DepartReply struct {
	Fault *fault.WireError
	// Replaced is set if another member has taken the vote of the departing one. Otherwise it keeps its vote, or had none.
	Replaced bool
}

// Ack is the reply of a call that returns no result.
type Ack struct {
	Fault *fault.WireError
	// Members and Leader are as in WatchReply. Only Admit and ReportSuspects set them.
	Members []string
	Leader  string
	// Ignored is the effect for which the leader ignored a report, empty if it did not. Only Report sets it.
	Ignored string
}

func (r WatchReply) failure() *fault.WireError      { return r.Fault }
func (r PutRoutesReply) failure() *fault.WireError  { return r.Fault }
func (r ReadRoutesReply) failure() *fault.WireError { return r.Fault }
func (r Ack) failure() *fault.WireError             { return r.Fault }
func (r DepartReply) failure() *fault.WireError     { return r.Fault }

// memberHint is implemented by the replies that name the members and the leader of the group.
type memberHint interface {
	knownMembers() (members []string, leader string)
}

func (r WatchReply) knownMembers() (members []string, leader string) { return r.Members, r.Leader }
func (r Ack) knownMembers() (members []string, leader string)        { return r.Members, r.Leader }

// Watch returns the changes after a revision.
func (c *Client) Watch(ctx context.Context, args WatchArgs) (WatchReply, error) {
	return call[WatchReply](ctx, c, "Watch", args)
}

// WatchAny calls all members concurrently and returns the first successful reply, which may be provisional. A process
// uses it when it starts, so that it does not wait for members that are unreachable.
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
			var reply WatchReply
			if err := c.callOnce(ctx, attemptTimeout, address, "Watch", args, &reply); err != nil {
				// An abandoned call may still write to its reply.
				results <- result{err: err}
				return
			}
			results <- result{reply: reply, err: reply.Fault.AsError()}
		}()
	}
	var last result
	for range addresses {
		if last = <-results; last.err == nil {
			return last.reply, nil
		}
		c.addAddresses(last.reply.Members)
	}
	return last.reply, last.err
}

// PutRoutes requests that the route table is replaced, and returns the version in force.
func (c *Client) PutRoutes(ctx context.Context, table route.Table, source []byte) (uint64, error) {
	reply, err := callWithTimeout[PutRoutesReply](ctx, c, groupTimeout, "PutRoutes", PutRoutesArgs{Table: table, Source: source})
	return reply.Version, err
}

// ReadRoutes returns the route table in a linearizable read.
func (c *Client) ReadRoutes(ctx context.Context) (ReadRoutesReply, error) {
	return call[ReadRoutesReply](ctx, c, "ReadRoutes", ReadRoutesArgs{})
}

// ReadTable returns the route table in a linearizable read, without the document that it was parsed from.
func (c *Client) ReadTable(ctx context.Context) (ReadRoutesReply, error) {
	reply, err := call[ReadRoutesReply](ctx, c, "ReadRoutes", ReadRoutesArgs{WithoutSource: true})
	// A leader of an older version sends the document.
	reply.Source = nil
	return reply, err
}

// Report applies a report about an upstream and returns once it is durable on a quorum, or ignored for the returned reason.
func (c *Client) Report(ctx context.Context, report registry.Report) (ignored string, err error) {
	reply, err := call[Ack](ctx, c, "Report", ReportArgs{Report: report})
	return reply.Ignored, err
}

// ReportAlive calls Heard to report to the leader which upstreams have sent a heartbeat.
func (c *Client) ReportAlive(ctx context.Context, ids []string) error {
	_, err := call[Ack](ctx, c, "Heard", HeardArgs{IDs: ids, Rules: registry.IndependentProcesses})
	return err
}

// ReportSuspects tells the leader about requests under which upstreams ended.
func (c *Client) ReportSuspects(ctx context.Context, args ReportSuspectsArgs) error {
	_, err := call[Ack](ctx, c, "ReportSuspects", args)
	return err
}

// Admit requests membership in the control group from the leader.
func (c *Client) Admit(ctx context.Context, args AdmitArgs) error {
	_, err := callWithTimeout[Ack](ctx, c, groupTimeout, "Admit", args)
	return err
}

// Depart tells the leader that a control member is about to stop, and returns whether another member has taken its vote.
func (c *Client) Depart(ctx context.Context, args DepartArgs) (replaced bool, err error) {
	reply, err := callWithTimeout[DepartReply](ctx, c, groupTimeout, "Depart", args)
	return reply.Replaced, err
}

// SetAddresses replaces the addresses that the client tries. Connections to other addresses stay open until they fail.
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

// addAddresses adds the addresses that a reply named.
func (c *Client) addAddresses(members []string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, address := range members {
		if !slices.Contains(c.addresses, address) {
			c.addresses = append(c.addresses, address)
		}
	}
}

// setPreferred makes the client try the address next if it is one of its addresses.
func (c *Client) setPreferred(address string) {
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
