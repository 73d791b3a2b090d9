// Package snapshot chooses the index version and the shard maps that a query is pinned to.
package snapshot

import (
	"sort"

	"github.com/wisteriamux/wisteriamux/internal/model"
)

// Reasons why a shard is missing before any sub-request is sent.
const (
	ReasonNoUpstream = "no serving upstream"
	ReasonVersion    = "no upstream serves the pinned version"
)

// Target is one shard of a plan with the upstreams that can serve it at the pinned snapshot.
type Target struct {
	Shard     model.ShardID
	Upstreams []model.Upstream
}

// Plan is a pinned snapshot with its targets and the shards that nothing serves at it.
type Plan struct {
	Snapshot model.Snapshot
	Targets  []Target
	Missing  []model.MissingShard
}

// candidate is the state of one service at one index version.
type candidate struct {
	generation uint64
	shardCount int
	byShard    map[int][]model.Upstream
}

// PolicyOf returns the policy for a query over services with these rules: newest only if every rule says so.
func PolicyOf(rules map[string]model.Rule) model.SnapshotPolicy {
	for _, rule := range rules {
		if rule.Snapshot != model.SnapshotNewest {
			return model.SnapshotNewestFull
		}
	}
	return model.SnapshotNewest
}

// Choose pins one index version for all the services. The policy newest-full prefers the newest version with the
// most covered services; newest takes the newest version that any upstream serves.
func Choose(upstreams []model.Upstream, services []string, policy model.SnapshotPolicy) Plan {
	serving := servingByService(upstreams, services)
	versions := candidateVersions(serving)
	best, bestMissing := uint64(0), -1
	for _, version := range versions {
		missing := 0
		for _, service := range services {
			missing += missingShards(serving[service], at(serving[service], version))
		}
		if bestMissing < 0 || (policy == model.SnapshotNewestFull && missing < bestMissing) {
			best, bestMissing = version, missing
		}
	}
	return planAt(serving, services, best)
}

func servingByService(upstreams []model.Upstream, services []string) map[string][]model.Upstream {
	serving := make(map[string][]model.Upstream, len(services))
	for _, service := range services {
		serving[service] = nil
	}
	for _, upstream := range upstreams {
		if _, wanted := serving[upstream.Service]; wanted && upstream.State == model.UpstreamReady {
			serving[upstream.Service] = append(serving[upstream.Service], upstream)
		}
	}
	return serving
}

// candidateVersions returns the announced upper bounds, newest first. A better version than these does not exist,
// since coverage only changes at the bounds of the announced ranges.
func candidateVersions(serving map[string][]model.Upstream) []uint64 {
	seen := map[uint64]bool{}
	var versions []uint64
	for _, upstreams := range serving {
		for _, upstream := range upstreams {
			if !seen[upstream.MaxVersion] {
				seen[upstream.MaxVersion] = true
				versions = append(versions, upstream.MaxVersion)
			}
		}
	}
	sort.Slice(versions, func(i, j int) bool { return versions[i] > versions[j] })
	return versions
}

// at groups the upstreams that serve the version by shard, under the shard map that covers the largest share of its
// shards; the newer generation wins a tie. While a repartition builds up, the old map stays in use.
func at(upstreams []model.Upstream, version uint64) candidate {
	byGeneration := map[uint64]candidate{}
	for _, upstream := range upstreams {
		if version < upstream.MinVersion || version > upstream.MaxVersion {
			continue
		}
		group, ok := byGeneration[upstream.Generation]
		if !ok {
			group = candidate{generation: upstream.Generation, shardCount: upstream.ShardCount, byShard: map[int][]model.Upstream{}}
		}
		if upstream.Shard >= group.shardCount {
			// An upstream that contradicts its shard map must not count as coverage of it.
			continue
		}
		group.byShard[upstream.Shard] = append(group.byShard[upstream.Shard], upstream)
		byGeneration[upstream.Generation] = group
	}
	var best candidate
	for _, group := range byGeneration {
		if better(group, best) {
			best = group
		}
	}
	return best
}

func better(a, b candidate) bool {
	if covered, other := len(a.byShard)*b.shardCount, len(b.byShard)*a.shardCount; covered != other && b.shardCount > 0 {
		return covered > other
	}
	return a.generation > b.generation
}

// missingShards counts the shards without an upstream. A service that nothing serves at the version counts with the
// largest shard count that is announced, at least one.
func missingShards(all []model.Upstream, group candidate) int {
	if group.shardCount > 0 {
		return group.shardCount - len(group.byShard)
	}
	count := 1
	for _, upstream := range all {
		count = max(count, upstream.ShardCount)
	}
	return count
}

func planAt(serving map[string][]model.Upstream, services []string, version uint64) Plan {
	plan := Plan{Snapshot: model.Snapshot{Version: version, Generations: map[string]uint64{}}}
	for _, service := range services {
		group := at(serving[service], version)
		plan.Snapshot.Generations[service] = group.generation
		shards := max(group.shardCount, missingShards(serving[service], group))
		for shard := range shards {
			id := model.ShardID{Service: service, Shard: shard}
			if upstreams := group.byShard[shard]; len(upstreams) > 0 {
				plan.Targets = append(plan.Targets, Target{Shard: id, Upstreams: upstreams})
				continue
			}
			plan.Missing = append(plan.Missing, model.MissingShard{ShardID: id, Reason: reason(serving[service])})
		}
	}
	return plan
}

func reason(upstreams []model.Upstream) string {
	if len(upstreams) == 0 {
		return ReasonNoUpstream
	}
	return ReasonVersion
}
