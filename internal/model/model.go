// Package model defines the data types that the I/O-free packages and the packages that do I/O share: the operators'
// configuration, the replicated view of members and upstreams, snapshots and shard coverage.
package model

import (
	"time"

	"github.com/wisteriamux/wisteriamux/internal/suspect"
)

// ServiceKind is the kind of requests that a service accepts.
type ServiceKind string

// The kinds of services.
const (
	ServiceSearch  ServiceKind = "search"
	ServiceBooking ServiceKind = "booking"
)

// Region is a geographic region that contains failure domains.
type Region struct {
	Name string `toml:"name" json:"name"`
}

// FailureDomain is a set of VMs that can fail together.
type FailureDomain struct {
	Name   string `toml:"name" json:"name"`
	Region string `toml:"region" json:"region"`
}

// Service is a group of upstreams that hold the shards and replicas of one data set.
type Service struct {
	Name string      `toml:"name" json:"name"`
	Kind ServiceKind `toml:"kind" json:"kind"`
}

// InventoryUpstream is an upstream that operators have registered. Its address and capacity come from its announcement.
type InventoryUpstream struct {
	Name          string `toml:"name" json:"name"`
	Service       string `toml:"service" json:"service"`
	FailureDomain string `toml:"failure_domain" json:"failure_domain"`
}

// Inventory is the part of the configuration that operators export from their asset register.
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
	// SnapshotNewestFull selects the newest of the versions at which the fewest shards are missing.
	SnapshotNewestFull SnapshotPolicy = "newest-full"
	SnapshotNewest     SnapshotPolicy = "newest"
)

// Rule holds the operators' constraints and service level objectives for the services that match its pattern.
type Rule struct {
	// Service is a service name or a path.Match pattern. The first matching rule applies.
	Service string `toml:"service" json:"service"`
	// NeverLoseCoverage forbids every planned step that would leave a shard without a ready upstream.
	NeverLoseCoverage bool `toml:"never_lose_coverage" json:"never_lose_coverage"`
	// MaxShrink is the largest fraction of a service's upstreams, from 0 to 1, that may leave or be gone at one time.
	MaxShrink float64 `toml:"max_shrink" json:"max_shrink"`
	// PartialAllowed permits a response in which shards are missing.
	PartialAllowed bool `toml:"partial_allowed" json:"partial_allowed"`
	// WaitShare is the fraction of the request's timeout to wait for the last shard, from 0 to 1.
	WaitShare float64 `toml:"wait_share" json:"wait_share"`
	// Snapshot selects the index version of queries.
	Snapshot SnapshotPolicy `toml:"snapshot" json:"snapshot"`
	// LatencyObjectiveMillis is the latency within which the fraction LatencyTarget of the requests must finish, in ms.
	LatencyObjectiveMillis int `toml:"latency_objective_ms" json:"latency_objective_ms"`
	// LatencyTarget is the fraction of requests that must meet the latency objective, for example 0.99.
	LatencyTarget float64 `toml:"latency_target" json:"latency_target"`
	// CoverageTarget is the fraction of responses that must have full coverage, for example 0.999.
	CoverageTarget float64 `toml:"coverage_target" json:"coverage_target"`
}

// Configuration is one accepted version of the inventory and the rules.
type Configuration struct {
	Version   uint64    `json:"version"`
	Inventory Inventory `json:"inventory"`
	Rules     []Rule    `json:"rules"`
}

// Member is an entry VM as registered with the control group.
type Member struct {
	ID string `json:"id"`
	// Instance is the Raft log index of the registration. A higher instance fences every earlier one of the same ID.
	Instance      uint64 `json:"instance"`
	RPCAddress    string `json:"rpc_address"`
	FailureDomain string `json:"failure_domain"`
	// Leaving is set during a planned stop: the member still serves requests but owns no upstreams.
	Leaving bool `json:"leaving,omitempty"`
}

// UpstreamState is the state of an upstream in the replicated view.
type UpstreamState string

// The states of an upstream. A draining upstream finishes its requests but gets no new ones.
const (
	UpstreamReady    UpstreamState = "ready"
	UpstreamDraining UpstreamState = "draining"
	UpstreamDrained  UpstreamState = "drained"
	UpstreamLost     UpstreamState = "lost"
)

// ShardID identifies one shard of a service.
type ShardID struct {
	Service string `json:"service"`
	Shard   int    `json:"shard"`
}

// Announcement is the state that an upstream reports about itself, repeatedly while it runs.
type Announcement struct {
	Name          string `json:"name"`
	Instance      string `json:"instance"`
	Service       string `json:"service"`
	FailureDomain string `json:"failure_domain"`
	Address       string `json:"address"`
	Shard         int    `json:"shard"`
	ShardCount    int    `json:"shard_count"`
	// Generation is the version of the shard map; a repartition increases it.
	Generation uint64 `json:"generation"`
	// MinVersion and MaxVersion are the oldest and the newest index version that the upstream can serve.
	MinVersion uint64 `json:"min_version"`
	MaxVersion uint64 `json:"max_version"`
	// Slots is how many requests the upstream runs concurrently, Connections how many connections it accepts.
	Slots       int `json:"slots"`
	Connections int `json:"connections"`
	// Draining is set by an upstream that asks to be drained.
	Draining bool `json:"draining"`
}

// Upstream is an upstream that has announced itself, with its state in the view.
type Upstream struct {
	Announcement
	State UpstreamState `json:"state"`
	// Since is the Raft log index of the last change of State.
	Since uint64 `json:"since"`
}

// ShardID returns the shard that the upstream serves.
func (u Upstream) ShardID() ShardID { return ShardID{Service: u.Service, Shard: u.Shard} }

// Quarantine rejects requests with a fingerprint until a point in time.
type Quarantine struct {
	Fingerprint string    `json:"fingerprint"`
	Until       time.Time `json:"until"`
	// Since is when the quarantine was recorded, zero if that is not known.
	Since time.Time `json:"since,omitzero"`
	// Evidence is what the quarantine is based on, empty if the entry VM that added it ran the request alone.
	Evidence suspect.Evidence `json:"evidence,omitzero"`
}

// View is a copy of the control group's replicated state, from which an entry VM serves requests. It is immutable once
// published.
type View struct {
	Revision    uint64        `json:"revision"`
	Config      Configuration `json:"config"`
	Members     []Member      `json:"members"`
	Upstreams   []Upstream    `json:"upstreams"`
	Quarantines []Quarantine  `json:"quarantines"`
}

// Snapshot pins a query to one index version and, for each service, to one shard map.
type Snapshot struct {
	Version     uint64            `json:"version"`
	Generations map[string]uint64 `json:"generations"`
}

// MissingShard is a shard without a result in a response.
type MissingShard struct {
	ShardID
	Reason string `json:"reason"`
}

// Coverage lists the shards whose results a response includes and those that are missing.
type Coverage struct {
	Included []ShardID      `json:"included"`
	Missing  []MissingShard `json:"missing"`
}

// Full reports whether the response includes every shard.
func (c Coverage) Full() bool { return len(c.Missing) == 0 }
