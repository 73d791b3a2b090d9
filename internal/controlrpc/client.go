package controlrpc

import (
	"context"
	"errors"
	"net"
	"net/rpc"
	"sync"
	"time"

	"github.com/wisteriamux/wisteriamux/internal/controlstate"
	"github.com/wisteriamux/wisteriamux/internal/fault"
	"github.com/wisteriamux/wisteriamux/internal/model"
	"github.com/wisteriamux/wisteriamux/internal/rpcconn"
)

const (
	// dialTimeout is ten times the round trip between regions. It is short because a VM that is down does not answer, and
	// all members are tried in turn.
	dialTimeout = 200 * time.Millisecond
	retryPause  = 50 * time.Millisecond
	// attemptTimeout bounds the call of one member. The connections to a frozen or isolated leader stay open, so only this
	// timeout makes the client try the next member.
	attemptTimeout = time.Second
	// groupTimeout is longer because the leader queries the ID of an added member and commits a log entry.
	groupTimeout = 5 * time.Second
	// inForceWait is how long one call waits for a revision. It is shorter than attemptTimeout.
	inForceWait = 400 * time.Millisecond
)

// Dialer opens a connection to an address.
type Dialer func(address string) (net.Conn, error)

// PlainDialer opens TCP connections without TLS.
func PlainDialer(address string) (net.Conn, error) {
	return net.DialTimeout("tcp", address, dialTimeout)
}

// Client calls the leader of the control group, which it finds by trying the members. It is safe for concurrent use.
type Client struct {
	pool *rpcconn.Pool

	// mu guards the fields below.
	mu        sync.Mutex
	addresses []string
	preferred int
}

// NewClient returns a client that starts with the control members at the addresses.
func NewClient(addresses []string, dial Dialer) *Client {
	return &Client{pool: rpcconn.NewPool(dial), addresses: addresses}
}

// Close closes every connection.
func (c *Client) Close() { c.pool.Close() }

// Join registers an entry VM and returns the number of its new instance.
func (c *Client) Join(ctx context.Context, member model.Member) (uint64, error) {
	reply, err := call[JoinReply](ctx, c, "Join", JoinArgs{Member: member})
	return reply.Instance, err
}

// Renew renews the lease of an entry VM.
func (c *Client) Renew(ctx context.Context, args RenewArgs) (RenewReply, error) {
	return call[RenewReply](ctx, c, "Renew", args)
}

// View returns the current view, or sets unchanged if its revision is still known.
func (c *Client) View(ctx context.Context, known uint64) (view model.View, unchanged bool, err error) {
	reply, err := call[ViewReply](ctx, c, "View", ViewArgs{Known: known})
	return reply.View, reply.Unchanged, err
}

// Propose appends a command to the log and returns its result. A Fault in the result is returned as the error.
func (c *Client) Propose(ctx context.Context, command controlstate.Command) (controlstate.Result, error) {
	reply, err := call[ProposeReply](ctx, c, "Propose", ProposeArgs{Command: command})
	if err != nil {
		return controlstate.Result{}, err
	}
	return reply.Result, reply.Result.Fault.AsError()
}

// Booking returns the record of a booking key.
func (c *Client) Booking(ctx context.Context, key string) (controlstate.Booking, error) {
	reply, err := call[BookingReply](ctx, c, "Booking", BookingArgs{Key: key})
	return reply.Booking, err
}

// WaitInForce returns once the revision is in force on all entry VMs, or with an error when the context ends.
func (c *Client) WaitInForce(ctx context.Context, revision uint64) error {
	args := InForceArgs{Revision: revision, WaitMillis: inForceWait.Milliseconds()}
	for {
		reply, err := call[InForceReply](ctx, c, "InForce", args)
		if err != nil {
			return err
		}
		if reply.InForce >= revision {
			return nil
		}
		if ctx.Err() != nil {
			return fault.New(fault.Unavailable, "control.InForce", "revision %d was accepted, but only revision %d is in force: %w",
				revision, reply.InForce, ctx.Err())
		}
	}
}

// GroupMembers lists the members of the control group as known to the leader.
func (c *Client) GroupMembers(ctx context.Context) ([]GroupMember, error) {
	reply, err := call[GroupReply](ctx, c, "GroupMembers", GroupArgs{})
	return reply.Members, err
}

// GroupAdd adds a control member.
func (c *Client) GroupAdd(ctx context.Context, args GroupAddArgs) error {
	_, err := callWithTimeout[GroupChangeReply](ctx, c, groupTimeout, "GroupAdd", args)
	return err
}

// GroupRemove removes a control member.
func (c *Client) GroupRemove(ctx context.Context, args GroupRemoveArgs) error {
	_, err := callWithTimeout[GroupChangeReply](ctx, c, groupTimeout, "GroupRemove", args)
	return err
}

// GroupTransfer transfers leadership to another voter.
func (c *Client) GroupTransfer(ctx context.Context, args GroupTransferArgs) error {
	_, err := callWithTimeout[GroupChangeReply](ctx, c, groupTimeout, "GroupTransfer", args)
	return err
}

// Status returns the status of the control group as known to the leader.
func (c *Client) Status(ctx context.Context) (StatusReply, error) {
	return call[StatusReply](ctx, c, "Status", StatusArgs{})
}

// reply is implemented by every reply message of the control service. failure returns the error in the message, or nil.
type reply interface {
	failure() *fault.WireError
}

// call tries the members in turn until one answers as the leader or the context ends. Commands are safe to resend,
// because each is idempotent by its ID, key or target state. Each attempt decodes into a new reply, because gob does
// not reset the fields that a message omits, and because an abandoned call may still write to its reply.
func call[R reply](ctx context.Context, c *Client, method string, args any) (R, error) {
	return callWithTimeout[R](ctx, c, attemptTimeout, method, args)
}

func callWithTimeout[R reply](ctx context.Context, c *Client, timeout time.Duration, method string, args any) (R, error) {
	triedLeaders := map[string]bool{}
	for attempt := 0; ; attempt++ {
		address := c.address()
		answer := new(R)
		err := c.callOnce(ctx, timeout, address, method, attemptArgs(args, attempt), answer)
		if err == nil {
			err = (*answer).failure().AsError()
		}
		if err == nil || !retryable(err) {
			return *answer, err
		}
		c.rotateFrom(address)
		if hint, ok := any(*answer).(memberHint); ok && fault.Is(err, fault.NotLeader) {
			members, leader := hint.knownMembers()
			c.addAddresses(members)
			// Isolated members may name each other as the leader, so each hint is followed only once. After that the members
			// are tried in turn.
			if leader != "" && !triedLeaders[leader] {
				triedLeaders[leader] = true
				c.setPreferred(leader)
			}
		}
		if pauseErr := pause(ctx, attempt/len(c.Addresses())); pauseErr != nil {
			var zero R
			return zero, fault.New(fault.Unavailable, "control."+method, "no control leader answered: %w", err)
		}
	}
}

// attemptArgs returns the arguments for an attempt, where 0 is the first.
func attemptArgs(args any, attempt int) any {
	if prepared, ok := args.(interface{ forAttempt(attempt int) any }); ok {
		return prepared.forAttempt(attempt)
	}
	return args
}

func retryable(err error) bool {
	code := fault.CodeOf(err)
	return code == fault.NotLeader || code == fault.Unavailable
}

// pause waits before the next attempt. The wait grows with the number of rounds through all members.
func pause(ctx context.Context, round int) error {
	wait := time.Duration(round) * retryPause
	timer := time.NewTimer(min(wait, 4*retryPause))
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-timer.C:
		return ctx.Err()
	}
}

func (c *Client) address() string {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.addresses[c.preferred%len(c.addresses)]
}

// rotateFrom makes the client try the next address, unless another call has already moved on from this one.
func (c *Client) rotateFrom(from string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.addresses[c.preferred%len(c.addresses)] == from {
		c.preferred++
	}
}

func (c *Client) callOnce(ctx context.Context, timeout time.Duration, address, method string, args, answer any) error {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	conn, err := c.pool.Conn(address)
	if err != nil {
		return fault.New(fault.Unavailable, "control.dial", "%s: %w", address, err)
	}
	call := conn.Go(ServiceName+"."+method, args, answer, make(chan *rpc.Call, 1))
	select {
	case <-ctx.Done():
		c.pool.Drop(address, conn)
		return fault.New(fault.Unavailable, "control."+method, "%s: %w", address, ctx.Err())
	case finished := <-call.Done:
		var unknownMethod rpc.ServerError
		if errors.As(finished.Error, &unknownMethod) {
			// The methods of the service return no errors: a member of an older version does not know this one.
			return fault.New(fault.Unsupported, "control."+method, "%s: %w", address, finished.Error)
		}
		if finished.Error != nil {
			c.pool.Drop(address, conn)
			return fault.New(fault.Unavailable, "control."+method, "%s: %w", address, finished.Error)
		}
		return nil
	}
}
