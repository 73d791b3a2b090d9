package route

import "crypto/sha256"

// KeyDigest identifies a key of a team without holding it: keys are secrets, and route tables are sent between processes.
type KeyDigest [sha256.Size]byte

// DigestKey returns the digest of a key.
func DigestKey(key string) KeyDigest { return sha256.Sum256([]byte(key)) }

// Team is a group of callers that share keys, a rank and a quota.
type Team struct {
	Name string      `cbor:"1,keyasint"`
	Keys []KeyDigest `cbor:"2,keyasint,omitempty"`
	// Ranked is set if Rank replaces the rank of the route for the team's requests.
	Ranked bool `cbor:"3,keyasint,omitempty"`
	Rank   int  `cbor:"4,keyasint,omitempty"`
	// PerSecond and Burst are the quota of the team over all entry VMs together. A PerSecond of 0 means no limit.
	PerSecond float64 `cbor:"5,keyasint,omitempty"`
	Burst     float64 `cbor:"6,keyasint,omitempty"`
}

// RankOn returns the rank of the team's requests on a route. The team may be nil.
func (t *Team) RankOn(r *Route) int {
	if t != nil && t.Ranked {
		return t.Rank
	}
	return r.Rank
}
