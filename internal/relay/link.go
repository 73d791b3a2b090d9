package relay

import (
	"context"
	"log/slog"
	"net/rpc"
	"sync"
	"sync/atomic"
	"time"

	"github.com/wisteriamux/wisteriamux/internal/controlrpc"
	"github.com/wisteriamux/wisteriamux/internal/fault"
	"github.com/wisteriamux/wisteriamux/internal/rpcconn"
)

// Link is the connection to one relay. It is safe for concurrent use.
type Link struct {
	peer controlrpc.Peer
	dial controlrpc.Dialer
	log  *slog.Logger
	// observeOverhead is as in Peers.
	observeOverhead func(time.Duration)
	nextBatch       atomic.Uint64
	// inFlight is the number of batches in progress.
	inFlight atomic.Int64

	// mu guards the fields below.
	mu       sync.Mutex
	health   health
	overhead overhead
	conn     *rpc.Client
	closed   bool
}

func newLink(peer controlrpc.Peer, dial controlrpc.Dialer, log *slog.Logger) *Link {
	return &Link{peer: peer, dial: dial, log: log}
}

// PeerID returns the ID of the relay.
func (l *Link) PeerID() string { return l.peer.ID }

// usable reports whether batches may be sent to the relay, and starts to connect if it is due to be dialled.
func (l *Link) usable(now time.Time) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if !l.closed && l.health.dial(now) {
		go l.connect()
	}
	return l.health.usable()
}

// usableNow is usable without connecting.
func (l *Link) usableNow() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.health.usable()
}

// overdue reports whether the relay is connected and its report overdue.
func (l *Link) overdue() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.health.overdue()
}

// MarkPartitioned takes the relay out of use for attempts, because it has lost its links to the upstreams.
func (l *Link) MarkPartitioned(now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if !now.Before(l.health.partitionedUntil) {
		l.log.Info("relay without links to upstreams", "relay", l.peer.ID, "avoided_ms", partitionedFor.Milliseconds())
	}
	l.health.partitionedUntil = now.Add(partitionedFor)
}

func (l *Link) isPartitioned(now time.Time) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return now.Before(l.health.partitionedUntil)
}

// available reports whether the relay can be called now, or pending if that is not known yet because it is being dialled
// for the first time.
func (l *Link) available(now time.Time) (usable, pending bool) {
	usable = l.usable(now)
	l.mu.Lock()
	defer l.mu.Unlock()
	return usable, !usable && l.health.firstDial()
}

func (l *Link) connect() {
	raw, err := l.dial(l.peer.Address)
	l.mu.Lock()
	defer l.mu.Unlock()
	if err != nil {
		l.health.onFailure(time.Now())
		l.log.Info("relay connection failed", "relay", l.peer.ID, "address", l.peer.Address, "retry_ms", l.health.backoff.Milliseconds(), "error", err)
		return
	}
	if l.closed {
		_ = raw.Close()
		return
	}
	ended := make(chan struct{})
	l.conn = rpcconn.NewClient(rpcconn.OnReadError(rpcconn.WithWriteTimeout(raw), sync.OnceFunc(func() { close(ended) })))
	l.health.onConnected()
	go l.watchShutdown(l.conn, ended)
	l.log.Info("relay connected", "relay", l.peer.ID, "failure_domain", l.peer.FailureDomain, "address", l.peer.Address)
}

// watchShutdown waits until the relay announces its shutdown or the connection ends. After an announced shutdown it drops
// the connection when that ends, or after shutdownLimit, so that the link connects to the restarted process: no batch is
// sent that would notice the end.
func (l *Link) watchShutdown(conn *rpc.Client, ended <-chan struct{}) {
	if err := conn.Call(ServiceName+".Stay", Empty{}, &Empty{}); err != nil {
		l.dropConn(conn, fault.New(fault.Unavailable, "relay.stay", "connection lost: %w", err))
		return
	}
	l.announceShutdown(conn)
	timer := time.NewTimer(shutdownLimit)
	defer timer.Stop()
	select {
	case <-ended:
	case <-timer.C:
	}
	l.dropConn(conn, fault.New(fault.Unavailable, "relay.stay", "the relay has shut down"))
}

func (l *Link) announceShutdown(conn *rpc.Client) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.conn == conn {
		l.health.onShutdown()
		l.log.Info("relay shutting down", "relay", l.peer.ID)
	}
}

// close closes the link. Batches in flight fail.
func (l *Link) close() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.closed = true
	if l.conn != nil {
		_ = l.conn.Close()
	}
}

// dropConn closes a failed connection and schedules the next dial.
func (l *Link) dropConn(conn *rpc.Client, cause error) {
	_ = conn.Close()
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.conn != conn {
		return
	}
	l.conn = nil
	l.health.onFailure(time.Now())
	if !l.closed {
		l.log.Warn("relay lost", "relay", l.peer.ID, "address", l.peer.Address, "retry_ms", l.health.backoff.Milliseconds(), "error", cause)
	}
}

// Batch is a batch of attempts in progress at a relay.
type Batch struct {
	link *Link
	conn *rpc.Client
	id   uint64
}

// Start sends a batch, or returns nil without sending anything if the link has failed in the meantime. A single
// goroutine passes each report to deliver until every attempt has ended, the context is cancelled, the link fails or
// the relay refuses the batch. In the last two cases the final call of deliver gets an error. If the context is
// cancelled, the relay cancels the remaining attempts.
func (l *Link) Start(ctx context.Context, args RunArgs, deliver func(BatchReport, error)) *Batch {
	l.mu.Lock()
	conn := l.conn
	l.mu.Unlock()
	if conn == nil {
		return nil
	}
	args.Batch = l.nextBatch.Add(1)
	b := &Batch{link: l, conn: conn, id: args.Batch}
	l.inFlight.Add(1)
	go func() {
		defer l.inFlight.Add(-1)
		b.run(ctx, args, deliver)
	}()
	return b
}

func (b *Batch) run(ctx context.Context, args RunArgs, deliver func(BatchReport, error)) {
	remaining := len(args.Attempts)
	method, message := "Run", any(args)
	for remaining > 0 {
		var report BatchReport
		begun := time.Now()
		err := b.call(ctx, method, message, &report)
		if ctx.Err() != nil {
			b.Cancel(nil)
			return
		}
		if err == nil {
			err = report.Fault.AsError()
		}
		if err != nil {
			deliver(BatchReport{}, err)
			return
		}
		if method == "Run" {
			b.link.recordOverhead(time.Now(), report.overhead(time.Since(begun), args.Quiet))
		}
		remaining -= len(report.Ended)
		deliver(report, nil)
		method, message = "Next", NextArgs{Batch: b.id}
	}
}

// call makes an RPC and waits for the report it returns. A relay whose report is overdue gets no further batches, and
// the connection is dropped after lostAfter.
func (b *Batch) call(ctx context.Context, method string, args any, report *BatchReport) error {
	call := b.conn.Go(ServiceName+"."+method, args, report, make(chan *rpc.Call, 1))
	timer := time.NewTimer(silentAfter)
	defer timer.Stop()
	late := false
	for {
		select {
		case <-ctx.Done():
			return fault.New(fault.Cancelled, "relay.call", "search ended: %w", ctx.Err())
		case <-timer.C:
			if late {
				err := fault.New(fault.Unavailable, "relay.call", "no report from relay %s within %s", b.link.peer.ID, lostAfter)
				b.link.dropConn(b.conn, err)
				return err
			}
			late = true
			b.link.markSilent(b.conn)
			timer.Reset(lostAfter - silentAfter)
		case <-call.Done:
			if call.Error != nil {
				err := fault.New(fault.Unavailable, "relay.call", "RPC %s to relay %s failed: %w", method, b.link.peer.ID, call.Error)
				b.link.dropConn(b.conn, err)
				return err
			}
			b.link.onReport()
			return nil
		}
	}
}

// Permit asks the peer for a permit. A peer that does not answer in time counts as silent.
func (l *Link) Permit(ctx context.Context, args PermitArgs) (PermitReply, error) {
	l.mu.Lock()
	conn := l.conn
	l.mu.Unlock()
	if conn == nil {
		return PermitReply{}, fault.New(fault.Unavailable, "relay.permit", "no connection to %s", l.peer.ID)
	}
	var reply PermitReply
	call := conn.Go(ServiceName+".Permit", args, &reply, make(chan *rpc.Call, 1))
	timer := time.NewTimer(silentAfter)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return PermitReply{}, fault.New(fault.Cancelled, "relay.permit", "request ended: %w", ctx.Err())
	case <-timer.C:
		l.markSilent(conn)
		return PermitReply{}, fault.New(fault.Unavailable, "relay.permit", "no answer from %s within %s", l.peer.ID, silentAfter)
	case <-call.Done:
		if call.Error != nil {
			return PermitReply{}, fault.New(fault.Unavailable, "relay.permit", "RPC to %s failed: %w", l.peer.ID, call.Error)
		}
		return reply, nil
	}
}

// Cancel cancels the given attempts, or the whole batch if numbers is empty.
func (b *Batch) Cancel(numbers []int) {
	// The reply is empty, and a lost call is noticed by the next batch.
	b.conn.Go(ServiceName+".Cancel", CancelArgs{Batch: b.id, Numbers: numbers}, &Empty{}, make(chan *rpc.Call, 1))
}

func (l *Link) onReport() {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.health.silent {
		l.log.Info("relay answers again", "relay", l.peer.ID)
	}
	l.health.onReport()
}

// markSilent takes the relay out of use until it responds, and starts a probe.
func (l *Link) markSilent(conn *rpc.Client) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.conn != conn || l.health.silent {
		return
	}
	l.health.onOverdue()
	l.log.Warn("relay silent", "relay", l.peer.ID, "address", l.peer.Address, "after_ms", silentAfter.Milliseconds())
	go l.probe(conn)
}

func (l *Link) probe(conn *rpc.Client) {
	call := conn.Go(ServiceName+".Ping", Empty{}, &Empty{}, make(chan *rpc.Call, 1))
	timer := time.NewTimer(lostAfter)
	defer timer.Stop()
	select {
	case <-timer.C:
		l.dropConn(conn, fault.New(fault.Unavailable, "relay.probe", "no response to a ping within %s", lostAfter))
	case <-call.Done:
		if call.Error != nil {
			l.dropConn(conn, fault.New(fault.Unavailable, "relay.probe", "ping failed: %w", call.Error))
			return
		}
		l.onReport()
	}
}
