package snapshot_test

import (
	"fmt"
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"github.com/wisteriamux/wisteriamux/internal/model"
	_ "github.com/wisteriamux/wisteriamux/internal/rapidseed"
	"github.com/wisteriamux/wisteriamux/internal/snapshot"
)

func TestSnapshot(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "Snapshot")
}

func upstream(shard, shardCount int, generation, minVersion, maxVersion uint64) model.Upstream {
	return model.Upstream{State: model.UpstreamReady, Announcement: model.Announcement{
		Name: fmt.Sprintf("g%d-%d-%d", generation, shard, maxVersion), Service: "s", Shard: shard, ShardCount: shardCount,
		Generation: generation, MinVersion: minVersion, MaxVersion: maxVersion,
	}}
}

var _ = Describe("Choose", func() {
	It("keeps the old shard map until the new one covers as much, so that a repartition loses no coverage", func() {
		var upstreams []model.Upstream
		for shard := range 2 {
			upstreams = append(upstreams, upstream(shard, 2, 1, 1, 5))
		}
		for shard := range 4 {
			plan := snapshot.Choose(upstreams, []string{"s"}, model.SnapshotNewestFull)
			Expect(plan.Missing).To(BeEmpty())
			Expect(plan.Snapshot.Generations["s"]).To(Equal(uint64(1)))
			upstreams = append(upstreams, upstream(shard, 4, 2, 5, 5))
		}
		plan := snapshot.Choose(upstreams, []string{"s"}, model.SnapshotNewestFull)
		Expect(plan.Snapshot.Generations["s"]).To(Equal(uint64(2)))
		Expect(plan.Targets).To(HaveLen(4))
	})

	It("prefers the shard map with the larger share of covered shards when none is complete", func() {
		upstreams := []model.Upstream{upstream(0, 4, 1, 1, 5), upstream(1, 4, 1, 1, 5), upstream(2, 4, 1, 1, 5), upstream(0, 8, 2, 1, 5)}
		plan := snapshot.Choose(upstreams, []string{"s"}, model.SnapshotNewestFull)
		Expect(plan.Targets).To(HaveLen(3))
		Expect(plan.Missing).To(HaveLen(1))
	})

	It("plans only upstreams that serve the pinned snapshot, and chooses a snapshot with full coverage if there is one", func() {
		rapid.Check(GinkgoT(), func(t *rapid.T) {
			var upstreams []model.Upstream
			for range rapid.IntRange(1, 8).Draw(t, "upstreams") {
				generation := rapid.Uint64Range(1, 2).Draw(t, "generation")
				shardCount := int(generation) * 2
				minVersion := rapid.Uint64Range(1, 4).Draw(t, "low")
				upstreams = append(upstreams, upstream(rapid.IntRange(0, shardCount-1).Draw(t, "shard"), shardCount, generation, minVersion, minVersion+rapid.Uint64Range(0, 3).Draw(t, "span")))
			}
			plan := snapshot.Choose(upstreams, []string{"s"}, model.SnapshotNewestFull)
			for _, target := range plan.Targets {
				for _, u := range target.Upstreams {
					if u.Generation != plan.Snapshot.Generations["s"] || plan.Snapshot.Version < u.MinVersion || plan.Snapshot.Version > u.MaxVersion {
						t.Fatalf("%s does not serve %v", u.Name, plan.Snapshot)
					}
				}
			}
			for version := uint64(1); version <= 7 && len(plan.Missing) > 0; version++ {
				for generation := uint64(1); generation <= 2; generation++ {
					covered := map[int]bool{}
					for _, u := range upstreams {
						if u.Generation == generation && u.MinVersion <= version && version <= u.MaxVersion {
							covered[u.Shard] = true
						}
					}
					if len(covered) == int(generation)*2 {
						t.Fatalf("version %d with generation %d has full coverage, but the chosen snapshot %v misses %d shards", version, generation, plan.Snapshot, len(plan.Missing))
					}
				}
			}
		})
	})
})
