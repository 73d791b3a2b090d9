package raftnode

import (
	"net/rpc"
	"sync"
	"time"

	"github.com/wisteriamux/wisteriamux/internal/fault"
	"github.com/wisteriamux/wisteriamux/internal/raft"
	"github.com/wisteriamux/wisteriamux/internal/rpcconn"
	"github.com/wisteriamux/wisteriamux/internal/snapstore"
)

const (
	// peerQueueSize limits the messages that are queued for one peer. Further messages are dropped; the Raft state
	// machine resends those that matter.
	peerQueueSize = 1024
	// maxMessageBatch and maxMessageBatchBytes limit the number and total entry size of the messages in one call.
	maxMessageBatch      = 128
	maxMessageBatchBytes = 1 << 20
	// callTimeout is the time after which a connection without a response is closed. It does not delay elections,
	// because each peer has its own goroutine.
	callTimeout    = time.Second
	redialInterval = 100 * time.Millisecond
)

// transport sends messages to the other members, with one goroutine, queue and connection for each.
type transport struct {
	dial      Dialer
	identity  uint64
	address   string
	snapshots *snapstore.Store
	// onSnapshotFailure is called if a snapshot that is to be sent cannot be read.
	onSnapshotFailure func(to uint64)

	stopping chan struct{}
	workers  sync.WaitGroup

	// mu protects peers.
	mu    sync.Mutex
	peers map[uint64]*peer

	// cacheMu protects cachedSnapshot, the snapshot being sent. It is held while a snapshot is read from disk, so that
	// concurrent peers read it only once.
	cacheMu        sync.Mutex
	cachedSnapshot raft.Snapshot
}

// peer holds the queue and the client connection for one member. Its goroutine owns client.
type peer struct {
	address string
	queue   chan raft.Message
	stop    chan struct{}
	client  *rpc.Client
}

func newTransport(config Config, identity uint64, snapshots *snapstore.Store, onSnapshotFailure func(uint64)) *transport {
	return &transport{
		dial: config.Dial, identity: identity, address: config.Address, snapshots: snapshots, onSnapshotFailure: onSnapshotFailure,
		stopping: make(chan struct{}), peers: map[uint64]*peer{},
	}
}

// send queues a message without blocking. It drops the message if the queue is full or the address is unknown.
func (t *transport) send(message raft.Message, address string) {
	if address == "" {
		return
	}
	p := t.peer(message.To, address)
	select {
	case p.queue <- message:
	default:
	}
}

func (t *transport) peer(id uint64, address string) *peer {
	t.mu.Lock()
	defer t.mu.Unlock()
	p, ok := t.peers[id]
	if ok && p.address == address {
		return p
	}
	if ok {
		close(p.stop)
	}
	p = &peer{address: address, queue: make(chan raft.Message, peerQueueSize), stop: make(chan struct{})}
	t.peers[id] = p
	t.workers.Add(1)
	go t.runPeer(p)
	return p
}

// retainPeers closes the connections to members for which keep returns false.
func (t *transport) retainPeers(keep func(id uint64) bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for id, p := range t.peers {
		if !keep(id) {
			close(p.stop)
			delete(t.peers, id)
		}
	}
}

// close stops all goroutines and waits for them.
func (t *transport) close() {
	close(t.stopping)
	t.workers.Wait()
}

func (t *transport) runPeer(p *peer) {
	defer t.workers.Done()
	defer p.disconnect()
	for {
		select {
		case <-t.stopping:
			return
		case <-p.stop:
			return
		case message := <-p.queue:
			if err := t.sendBatch(p, message); err != nil {
				p.disconnect()
				t.backOff(p)
			}
		}
	}
}

// backOff waits before an unreachable address is dialed again, and drops the messages queued in the meantime.
func (t *transport) backOff(p *peer) {
	timer := time.NewTimer(redialInterval)
	defer timer.Stop()
	select {
	case <-t.stopping:
	case <-p.stop:
	case <-timer.C:
	}
	for len(p.queue) > 0 {
		<-p.queue
	}
}

// sendBatch sends the message together with other queued messages.
func (t *transport) sendBatch(p *peer, first raft.Message) error {
	if first.Kind == raft.MessageSnapshot {
		return t.sendSnapshotChunk(p, first)
	}
	batch := []raft.Message{first}
	size := entriesSize(first)
	for len(batch) < maxMessageBatch && size < maxMessageBatchBytes {
		select {
		case next := <-p.queue:
			if next.Kind == raft.MessageSnapshot {
				if err := t.callStep(p, batch); err != nil {
					return err
				}
				return t.sendSnapshotChunk(p, next)
			}
			batch = append(batch, next)
			size += entriesSize(next)
			continue
		default:
		}
		break
	}
	return t.callStep(p, batch)
}

func entriesSize(message raft.Message) int {
	size := 0
	for _, entry := range message.Entries {
		size += len(entry.Data)
	}
	return size
}

func (t *transport) callStep(p *peer, batch []raft.Message) error {
	return t.call(p, "Step", StepArgs{From: t.identity, Address: t.address, Messages: batch})
}

func (t *transport) sendSnapshotChunk(p *peer, message raft.Message) error {
	snapshot, err := t.snapshot(message.Log)
	if err != nil || message.Chunk.Offset > uint64(len(snapshot.Data)) {
		t.onSnapshotFailure(message.To)
		return nil
	}
	rest := snapshot.Data[message.Chunk.Offset:]
	message.Chunk.Data = rest[:min(len(rest), raft.SnapshotChunkSize)]
	if len(rest) <= raft.SnapshotChunkSize {
		t.releaseSnapshot()
	}
	return t.call(p, "Snapshot", SnapshotArgs{From: t.identity, Address: t.address, Message: message})
}

func (t *transport) snapshot(at raft.Position) (raft.Snapshot, error) {
	t.cacheMu.Lock()
	defer t.cacheMu.Unlock()
	if t.cachedSnapshot.Position == at {
		return t.cachedSnapshot, nil
	}
	snapshot, err := t.snapshots.Load(at)
	if err == nil {
		t.cachedSnapshot = snapshot
	}
	return snapshot, err
}

// releaseSnapshot frees the memory of the cached snapshot after its last chunk.
func (t *transport) releaseSnapshot() {
	t.cacheMu.Lock()
	defer t.cacheMu.Unlock()
	t.cachedSnapshot = raft.Snapshot{}
}

func (t *transport) call(p *peer, method string, args any) error {
	if err := p.connect(t.dial); err != nil {
		return err
	}
	reply := new(StepReply)
	call := p.client.Go(ServiceName+"."+method, args, reply, make(chan *rpc.Call, 1))
	timer := time.NewTimer(callTimeout)
	defer timer.Stop()
	select {
	case <-call.Done:
		return call.Error
	case <-timer.C:
		return fault.New(fault.Unavailable, "raftnode.call", "%s did not respond within %s", p.address, callTimeout)
	case <-p.stop:
		return nil
	case <-t.stopping:
		return nil
	}
}

func (p *peer) connect(dial Dialer) error {
	if p.client != nil {
		return nil
	}
	conn, err := dial(p.address)
	if err != nil {
		return err
	}
	p.client = rpcconn.NewClient(conn)
	return nil
}

func (p *peer) disconnect() {
	if p.client != nil {
		_ = p.client.Close()
		p.client = nil
	}
}
