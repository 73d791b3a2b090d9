package control

import (
	"cmp"
	"hash/fnv"
	"slices"
	"sync"
	"time"

	"github.com/wisteriamux/wisteriamux/internal/controlrpc"
)

// peersPerDomain bounds the entry VMs of one failure domain that a watcher is told of, and with it the size of a watch
// answer in a large fleet. A watcher uses a few of them at a time.
const peersPerDomain = 32

// relays remembers where entry VMs take batches from others. It is safe for concurrent use.
type relays struct {
	// mu guards byID.
	mu   sync.Mutex
	byID map[string]controlrpc.Peer
}

func newRelays() *relays { return &relays{byID: map[string]controlrpc.Peer{}} }

func (r *relays) hear(peer controlrpc.Peer) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if peer.Address == "" {
		delete(r.byID, peer.ID)
		return
	}
	r.byID[peer.ID] = peer
}

// list returns the peers of a watcher among the present ones, and forgets the others.
func (r *relays) list(watcher string, present func(id string) bool) []controlrpc.Peer {
	r.mu.Lock()
	defer r.mu.Unlock()
	var all []controlrpc.Peer
	for id, peer := range r.byID {
		if !present(id) {
			delete(r.byID, id)
			continue
		}
		if id != watcher {
			all = append(all, peer)
		}
	}
	return samplePeers(all, watcher, peersPerDomain)
}

// samplePeers returns at most so many peers of each failure domain, in the order of their IDs. Each watcher gets other
// ones, so that the load is spread, and keeps most of them when peers come and go.
func samplePeers(all []controlrpc.Peer, watcher string, perDomain int) []controlrpc.Peer {
	slices.SortFunc(all, func(a, b controlrpc.Peer) int {
		return cmp.Or(cmp.Compare(a.FailureDomain, b.FailureDomain), cmp.Compare(peerScore(watcher, a.ID), peerScore(watcher, b.ID)))
	})
	var sample []controlrpc.Peer
	taken := map[string]int{}
	for _, peer := range all {
		if taken[peer.FailureDomain]++; taken[peer.FailureDomain] <= perDomain {
			sample = append(sample, peer)
		}
	}
	slices.SortFunc(sample, func(a, b controlrpc.Peer) int { return cmp.Compare(a.ID, b.ID) })
	return sample
}

func peerScore(watcher, peer string) uint64 {
	h := fnv.New64a()
	_, _ = h.Write([]byte(watcher))
	_, _ = h.Write([]byte{0})
	_, _ = h.Write([]byte(peer))
	return h.Sum64()
}

// digestOf identifies a list of peers, so that it is sent only when it has changed. 0 stands for no list.
func digestOf(peers []controlrpc.Peer) uint64 {
	if len(peers) == 0 {
		return 0
	}
	h := fnv.New64a()
	for _, peer := range peers {
		for _, field := range []string{peer.ID, peer.FailureDomain, peer.Address} {
			_, _ = h.Write([]byte(field))
			_, _ = h.Write([]byte{0})
		}
	}
	return h.Sum64()
}

// tellPeers fills in the peers of the watcher if it does not know them.
func (s *Service) tellPeers(args controlrpc.WatchArgs, reply *controlrpc.WatchReply) {
	if args.Watcher == "" || args.RelayAddress == "" {
		return
	}
	now := s.now()
	peers := s.relays.list(args.Watcher, func(id string) bool { return s.watchers.silence(id, now) <= watcherWindow })
	reply.PeersDigest = digestOf(peers)
	if reply.PeersDigest != args.PeersDigest {
		reply.Peers = peers
	}
}

// hearWatcher records that an entry VM is there, and where it takes batches.
func (s *Service) hearWatcher(args controlrpc.WatchArgs, now time.Time) {
	if args.Watcher == "" {
		return
	}
	s.watchers.hear(args.Watcher, now)
	s.relays.hear(controlrpc.Peer{ID: args.Watcher, FailureDomain: args.FailureDomain, Address: args.RelayAddress})
}
