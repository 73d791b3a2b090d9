// Package ownership computes which entry VM owns each upstream. The result depends only on the view, so that all entry
// VMs that serve the same revision agree on it without communication.
package ownership

import (
	"sort"

	"github.com/cespare/xxhash/v2"

	"github.com/wisteriamux/wisteriamux/internal/model"
)

// shardsPerOwner is the number of consecutive shards of a service that have the same owner. This keeps the number of
// owners that a query over many shards contacts well below the number of shards.
const shardsPerOwner = 16

// Assign returns the owner of each upstream in the view by the upstream's name. Consecutive replicas of a shard have
// different owners if there are at least two members that are not leaving.
func Assign(view model.View) map[string]model.Member {
	owners := make(map[string]model.Member, len(view.Upstreams))
	members := remainingMembers(view.Members)
	if len(members) == 0 {
		return owners
	}
	replicas := map[model.ShardID]int{}
	rankings := map[string][]model.Member{}
	for _, upstream := range view.Upstreams {
		ranking, ok := rankings[upstream.Service]
		if !ok {
			ranking = rankMembers(upstream.Service, members)
			rankings[upstream.Service] = ranking
		}
		shard := upstream.ShardID()
		position := upstream.Shard/shardsPerOwner + replicas[shard]
		replicas[shard]++
		owners[upstream.Name] = ranking[position%len(ranking)]
	}
	return owners
}

// remainingMembers returns the members that are not leaving. If all are leaving it returns all of them, because every
// upstream needs an owner.
func remainingMembers(members []model.Member) []model.Member {
	var remaining []model.Member
	for _, member := range members {
		if !member.Leaving {
			remaining = append(remaining, member)
		}
	}
	if len(remaining) == 0 {
		return members
	}
	return remaining
}

// rankMembers orders the members by rendezvous hashing for the service, so that a change of the membership moves few
// upstreams.
func rankMembers(service string, members []model.Member) []model.Member {
	ranking := append([]model.Member(nil), members...)
	score := func(member model.Member) uint64 { return xxhash.Sum64String(service + "\x00" + member.ID) }
	sort.Slice(ranking, func(i, j int) bool {
		a, b := score(ranking[i]), score(ranking[j])
		if a != b {
			return a > b
		}
		return ranking[i].ID < ranking[j].ID
	})
	return ranking
}
