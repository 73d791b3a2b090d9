// Package snapshot chooses the snapshot that a query is pinned to: one index version for all services, and a shard map
// (generation) for each service.
package snapshot

import (
	"sort"

	"github.com/wisteriamux/wisteriamux/internal/model"
)

// Reasons for shards that are missing before any sub-request is sent.
const (
	ReasonNoUpstream = "no serving upstream"
	ReasonVersion    = "no upstream serves the pinned version"
)

// Target is a shard of a plan with the upstreams that can serve it at the pinned snapshot.
type Target struct {
	Shard     model.ShardID
	Upstreams []model.Upstream
}

// Plan holds a pinned snapshot, its targets, and the shards that no upstream serves at it.
type Plan struct {
	Snapshot model.Snapshot
	Targets  []Target
	Missing  []model.MissingShard
}

// candidate holds the upstreams of one service that serve one index version under one shard map.
type candidate struct {
	generation uint64
	shardCount int
	byShard    map[int][]model.Upstream
}

// PolicyOf returns the snapshot policy of a query over services with these rules: SnapshotNewest only if every rule
// requests it.
func PolicyOf(rules map[string]model.Rule) model.SnapshotPolicy {
	for _, rule := range rules {
		if rule.Snapshot != model.SnapshotNewest {
			return model.SnapshotNewestFull
		}
	}
	return model.SnapshotNewest
}

// Choose pins one index version for all services. The policy newest-full chooses the version with the fewest missing
// shards, and the newest of these; newest chooses the newest version that any upstream serves.
func Choose(upstreams []model.Upstream, services []string, policy model.SnapshotPolicy) Plan {
	serving := servingByService(upstreams, services)
	versions := candidateVersions(serving)
	best, bestMissing := uint64(0), -1
	for _, version := range versions {
		missing := 0
		for _, service := range services {
			missing += missingShards(serving[service], candidateAt(serving[service], version))
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

// candidateVersions returns the upper bounds of the announced version ranges, newest first. No other version is better,
// since coverage only changes at the bounds of the ranges.
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

// candidateAt returns the upstreams that serve the version under the shard map with the largest share of covered
// shards, or under the newest of several such maps. During a repartition, the old map thus stays in use until the new
// one covers as much.
func candidateAt(upstreams []model.Upstream, version uint64) candidate {
	byGeneration := map[uint64]candidate{}
	for _, upstream := range upstreams {
		if version < upstream.MinVersion || version > upstream.MaxVersion {
			continue
		}
		c, ok := byGeneration[upstream.Generation]
		if !ok {
			c = candidate{generation: upstream.Generation, shardCount: upstream.ShardCount, byShard: map[int][]model.Upstream{}}
		}
		if upstream.Shard >= c.shardCount {
			// An upstream whose shard does not exist in its shard map must not count as coverage.
			continue
		}
		c.byShard[upstream.Shard] = append(c.byShard[upstream.Shard], upstream)
		byGeneration[upstream.Generation] = c
	}
	var best candidate
	for _, c := range byGeneration {
		if coversMore(c, best) {
			best = c
		}
	}
	return best
}

func coversMore(a, b candidate) bool {
	if coveredA, coveredB := len(a.byShard)*b.shardCount, len(b.byShard)*a.shardCount; coveredA != coveredB && b.shardCount > 0 {
		return coveredA > coveredB
	}
	return a.generation > b.generation
}

// missingShards returns the number of shards without an upstream. If no upstream of the service serves the version, it
// is the largest shard count that any of them announces, and at least one.
func missingShards(serving []model.Upstream, c candidate) int {
	if c.shardCount > 0 {
		return c.shardCount - len(c.byShard)
	}
	count := 1
	for _, upstream := range serving {
		count = max(count, upstream.ShardCount)
	}
	return count
}

func planAt(serving map[string][]model.Upstream, services []string, version uint64) Plan {
	plan := Plan{Snapshot: model.Snapshot{Version: version, Generations: map[string]uint64{}}}
	for _, service := range services {
		c := candidateAt(serving[service], version)
		plan.Snapshot.Generations[service] = c.generation
		shards := max(c.shardCount, missingShards(serving[service], c))
		for shard := range shards {
			id := model.ShardID{Service: service, Shard: shard}
			if upstreams := c.byShard[shard]; len(upstreams) > 0 {
				plan.Targets = append(plan.Targets, Target{Shard: id, Upstreams: upstreams})
				continue
			}
			plan.Missing = append(plan.Missing, model.MissingShard{ShardID: id, Reason: missingReason(serving[service])})
		}
	}
	return plan
}

func missingReason(upstreams []model.Upstream) string {
	if len(upstreams) == 0 {
		return ReasonNoUpstream
	}
	return ReasonVersion
}
