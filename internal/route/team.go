package route

import (
	"crypto/sha256"
	"encoding/hex"
	"math"
)

// KeyDigest identifies a key of a team without holding it: keys are secrets, and route tables are sent between processes.
type KeyDigest [sha256.Size]byte

// DigestKey returns the digest of a key.
func DigestKey(key string) KeyDigest { return sha256.Sum256([]byte(key)) }

// emptyKey is the digest of the empty key, which no team may have.
var emptyKey = DigestKey("")

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

// validateTeams checks the teams of a table. Its errors name teams, never keys or their digests.
func validateTeams(teams []Team) error {
	names := map[string]bool{}
	owners := map[KeyDigest]string{}
	for n, team := range teams {
		switch {
		case team.Name == "":
			return invalid("team %d has no name", n+1)
		case !isVisibleASCII(team.Name):
			return invalid("team %d: the name is %q, must consist of visible ASCII characters", n+1, team.Name)
		case names[team.Name]:
			return invalid("team %q is defined twice", team.Name)
		case !isAmount(team.PerSecond) || !isAmount(team.Burst):
			return invalid("team %q: rate is %g and burst is %g, both must be numbers of at least 0", team.Name, team.PerSecond, team.Burst)
		}
		names[team.Name] = true
		for _, key := range team.Keys {
			if key == emptyKey {
				return invalid("team %q has an empty key", team.Name)
			}
			if owner, taken := owners[key]; taken && owner != team.Name {
				return invalid("teams %q and %q share a key", owner, team.Name)
			}
			owners[key] = team.Name
		}
	}
	return nil
}

// isVisibleASCII reports whether the text can be the value of an HTTP header: it has no spaces and no control characters.
func isVisibleASCII(text string) bool {
	for _, c := range []byte(text) {
		if c <= ' ' || c > '~' {
			return false
		}
	}
	return true
}

// isAmount reports whether the number is finite and at least 0.
func isAmount(number float64) bool { return number >= 0 && !math.IsInf(number, 1) }

// ParseKeyDigest parses a digest in hexadecimal. The error does not contain the text, which may be a key.
func ParseKeyDigest(text string) (KeyDigest, error) {
	var digest KeyDigest
	decoded, err := hex.DecodeString(text)
	if err != nil || len(decoded) != len(digest) {
		return digest, invalid("a key digest is not the SHA-256 of a key in hexadecimal, which has %d digits", 2*len(digest))
	}
	copy(digest[:], decoded)
	return digest, nil
}

// String returns the digest in hexadecimal.
func (d KeyDigest) String() string { return hex.EncodeToString(d[:]) }
