// Package model holds the domain types that the decision packages and the adapters share.
package model

import "time"

// ServiceKind tells which requests a service takes.
type ServiceKind string

// The kinds of a service.
const (
	ServiceSearch  ServiceKind = "search"
	ServiceBooking ServiceKind = "booking"
)

// Region is a geographic region that holds failure domains.
type Region struct {
	Name string `toml:"name" json:"name"`
}

// FailureDomain is a set of VMs that can fail together.
type FailureDomain struct {
	Name   string `toml:"name" json:"name"`
	Region string `toml:"region" json:"region"`
}

// Service is a group of upstreams that hold the shards of one data set.
type Service struct {
	Name string      `toml:"name" json:"name"`
	Kind ServiceKind `toml:"kind" json:"kind"`
}

// InventoryUpstream is an upstream that operators own. Its address and capacity come from its announcement.
type InventoryUpstream struct {
	Name          string `toml:"name" json:"name"`
	Service       string `toml:"service" json:"service"`
	FailureDomain string `toml:"failure_domain" json:"failure_domain"`
}

// Inventory is what operators hand over from their asset register.
type Inventory struct {
	Regions        []Region            `toml:"region" json:"regions"`
	FailureDomains []FailureDomain     `toml:"failure_domain" json:"failure_domains"`
	Services       []Service           `toml:"service" json:"services"`
	Upstreams      []InventoryUpstream `toml:"upstream" json:"upstreams"`
}

// SnapshotPolicy selects the index version that a query is pinned to.
type SnapshotPolicy string

// The snapshot policies.
const (
	SnapshotNewestFull SnapshotPolicy = "newest-full"
	SnapshotNewest     SnapshotPolicy = "newest"
)

// Rule holds the operators' constraints and objectives for the services that match its pattern.
type Rule struct {
	// Service is a name or a path.Match pattern; the first matching rule applies.
	Service string `toml:"service" json:"service"`
	// NeverLoseCoverage forbids every step that would leave a shard without a ready upstream.
	NeverLoseCoverage bool `toml:"never_lose_coverage" json:"never_lose_coverage"`
	// MaxShrink is the largest share of the upstreams that may leave, from 0 to 1.
	MaxShrink float64 `toml:"max_shrink" json:"max_shrink"`
	// PartialAllowed permits an answer that misses shards.
	PartialAllowed bool `toml:"partial_allowed" json:"partial_allowed"`
	// WaitShare is the share of the deadline to wait for the last shard, from 0 to 1.
	WaitShare float64 `toml:"wait_share" json:"wait_share"`
	// Snapshot is the snapshot policy.
	Snapshot SnapshotPolicy `toml:"snapshot" json:"snapshot"`
	// LatencyObjectiveMillis is the latency within which LatencyTarget of the requests must finish.
	LatencyObjectiveMillis int `toml:"latency_objective_ms" json:"latency_objective_ms"`
	// LatencyTarget is the share of requests within the latency objective, for example 0.99.
	LatencyTarget float64 `toml:"latency_target" json:"latency_target"`
	// CoverageTarget is the share of answers with full coverage, for example 0.999.
	CoverageTarget float64 `toml:"coverage_target" json:"coverage_target"`
}

// Configuration is one accepted version of inventory and rules.
type Configuration struct {
	Version   uint64    `json:"version"`
	Inventory Inventory `json:"inventory"`
	Rules     []Rule    `json:"rules"`
}

// Member is an entry VM as registered with control.
type Member struct {
	ID string `json:"id"`
	// Instance is the log index of the registration. A higher instance fences every earlier one of the same ID.
	Instance      uint64 `json:"instance"`
	RPCAddress    string `json:"rpc_address"`
	FailureDomain string `json:"failure_domain"`
	// Leaving is set by a planned stop: the member serves on, but owns no upstreams.
	Leaving bool `json:"leaving,omitempty"`
}

// UpstreamState is the state of an upstream in the replicated view.
type UpstreamState string

// The states of an upstream.
const (
	UpstreamReady    UpstreamState = "ready"
	UpstreamDraining UpstreamState = "draining"
	UpstreamDrained  UpstreamState = "drained"
	UpstreamLost     UpstreamState = "lost"
)

// ShardID names one shard of a service.
type ShardID struct {
	Service string `json:"service"`
	Shard   int    `json:"shard"`
}

// Announcement is what an upstream says about itself.
type Announcement struct {
	Name          string `json:"name"`
	Instance      string `json:"instance"`
	Service       string `json:"service"`
	FailureDomain string `json:"failure_domain"`
	Address       string `json:"address"`
	Shard         int    `json:"shard"`
	ShardCount    int    `json:"shard_count"`
	// Generation identifies the shard map; a repartition raises it.
	Generation uint64 `json:"generation"`
	// MinVersion and MaxVersion bound the index versions that the upstream can serve.
	MinVersion  uint64 `json:"min_version"`
	MaxVersion  uint64 `json:"max_version"`
	Slots       int    `json:"slots"`
	Connections int    `json:"connections"`
	// Draining is set by an upstream that asks to leave.
	Draining bool `json:"draining"`
}

// Upstream is an announced upstream with its state in the view.
type Upstream struct {
	Announcement
	State UpstreamState `json:"state"`
	// Since is the log index of the last transition.
	Since uint64 `json:"since"`
}

// ShardID returns the shard that the upstream serves.
func (u Upstream) ShardID() ShardID { return ShardID{Service: u.Service, Shard: u.Shard} }

// Quarantine is a fingerprint that is refused until a point in time.
type Quarantine struct {
	Fingerprint string    `json:"fingerprint"`
	Until       time.Time `json:"until"`
}

// View is the replicated state that an entry VM serves from. It is immutable once published.
type View struct {
	Revision    uint64        `json:"revision"`
	Config      Configuration `json:"config"`
	Members     []Member      `json:"members"`
	Upstreams   []Upstream    `json:"upstreams"`
	Quarantines []Quarantine  `json:"quarantines"`
}

// Snapshot pins a query to one index version and to one shard map for each service.
type Snapshot struct {
	Version     uint64            `json:"version"`
	Generations map[string]uint64 `json:"generations"`
}

// MissingShard is a shard that an answer does not include.
type MissingShard struct {
	ShardID
	Reason string `json:"reason"`
}

// Coverage states which shards an answer includes and which it does not.
type Coverage struct {
	Included []ShardID      `json:"included"`
	Missing  []MissingShard `json:"missing"`
}

// Full reports whether no shard is missing.
func (c Coverage) Full() bool { return len(c.Missing) == 0 }
