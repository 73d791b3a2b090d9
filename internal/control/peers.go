package control

import (
	"cmp"
	"hash/fnv"
	"slices"
	"sync"
	"time"

	"github.com/wisteriamux/wisteriamux/internal/controlrpc"
)

// peersPerDomain bounds the number of peers per failure domain in a watch reply, and thereby the size of the reply in a
// large fleet. A watcher uses only a few of them at a time.
const peersPerDomain = 32

// relayTable holds the addresses at which entry VMs accept relayed batches from other entry VMs. It is safe for
// concurrent use.
type relayTable struct {
	// mu guards byID.
	mu   sync.Mutex
	byID map[string]controlrpc.Peer
}

func newRelayTable() *relayTable { return &relayTable{byID: map[string]controlrpc.Peer{}} }

// record stores the address of a peer, or removes the peer if it accepts no relayed batches.
func (r *relayTable) record(peer controlrpc.Peer) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if peer.Address == "" {
		delete(r.byID, peer.ID)
		return
	}
	r.byID[peer.ID] = peer
}

// list returns the peers for a watcher, and removes the peers that are no longer present.
func (r *relayTable) list(watcher string, present func(id string) bool) []controlrpc.Peer {
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

// samplePeers returns at most perDomain peers of each failure domain, ordered by ID. The first ones are the same for all
// watchers, so that all of them agree on which VM holds what is held once. It selects the others by rendezvous hashing:
// different watchers get different peers, which spreads the load, and a watcher keeps most of its peers when the fleet
// changes.
func samplePeers(all []controlrpc.Peer, watcher string, perDomain int) []controlrpc.Peer {
	sample, others := controlrpc.SplitCommon(all)
	taken := map[string]int{}
	for _, peer := range sample {
		taken[peer.FailureDomain]++
	}
	slices.SortFunc(others, func(a, b controlrpc.Peer) int { return cmp.Compare(peerScore(watcher, a.ID), peerScore(watcher, b.ID)) })
	for _, peer := range others {
		if taken[peer.FailureDomain] < perDomain {
			taken[peer.FailureDomain]++
			sample = append(sample, peer)
		}
	}
	slices.SortFunc(sample, func(a, b controlrpc.Peer) int { return cmp.Compare(a.ID, b.ID) })
	return sample
}

// peerScore returns the rendezvous hash of a watcher and a peer.
func peerScore(watcher, peer string) uint64 {
	h := fnv.New64a()
	_, _ = h.Write([]byte(watcher))
	_, _ = h.Write([]byte{0})
	_, _ = h.Write([]byte(peer))
	return h.Sum64()
}

// peersDigest returns a hash of a list of peers, so that the list is sent only when it has changed. It is 0 for an
// empty list.
func peersDigest(peers []controlrpc.Peer) uint64 {
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

// fillPeers adds the peers of the watcher to the reply unless the watcher already knows them.
func (s *Service) fillPeers(args controlrpc.WatchArgs, reply *controlrpc.WatchReply) {
	if args.Watcher == "" || args.RelayAddress == "" {
		return
	}
	now := s.now()
	peers := s.relayTable.list(args.Watcher, func(id string) bool { return s.watchers.silentFor(id, now) <= watcherTimeout })
	reply.PeersDigest = peersDigest(peers)
	if reply.PeersDigest != args.PeersDigest {
		reply.Peers = peers
	}
}

// recordWatcher records that an entry VM is present and at which address it accepts relayed batches.
func (s *Service) recordWatcher(args controlrpc.WatchArgs, now time.Time) {
	if args.Watcher == "" {
		return
	}
	s.watchers.record(args.Watcher, now)
	s.relayTable.record(controlrpc.Peer{ID: args.Watcher, FailureDomain: args.FailureDomain, Address: args.RelayAddress})
}
