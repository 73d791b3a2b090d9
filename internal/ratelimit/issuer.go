package ratelimit

import (
	"fmt"
	"math"
	"time"

	"github.com/wisteriamux/wisteriamux/internal/registry"
	"github.com/wisteriamux/wisteriamux/internal/sharedrate"
)

const (
	// usableShare is the fraction of a limit that is granted. The rest allows for the time between a permit and the arrival
	// of its request.
	usableShare = 0.9
	// independentShare is the fraction that is granted by VMs that grant permits independently of each other. Their permits
	// are drawn at random, and the rest allows for chance.
	independentShare = 0.6
	// minPerSecond is granted whatever the limit, so that the end of a very low limit is noticed.
	minPerSecond = 0.25
	// handOver is how long a VM that begins to grant permits for an upstream grants them at half the rate: for a while some
	// VMs may still ask the one that did so before. A VM that was not asked for this long begins anew.
	handOver = 4 * time.Second
	// burstBase and burstSeconds give the number of permits that can accumulate: a number that does not depend on the limit,
	// and those of this many seconds.
	burstBase    = 2.0
	burstSeconds = 0.25
	// maxDrawInterval bounds the time between two draws for a part of a token.
	maxDrawInterval = 100 * time.Millisecond
	// urgentReserve is the number of permits that are kept for the most urgent requests.
	urgentReserve = 1.0
	// firstPermits is what a new bucket holds, so that an upstream with few requests does not refuse the first one.
	firstPermits = 1.0
)

// NoRoomError is returned for a request that was not sent because of the rate limits of upstreams.
type NoRoomError struct {
	// RetryAfter is the time after which there may be room.
	RetryAfter time.Duration
}

// Error implements the error interface.
func (e *NoRoomError) Error() string {
	return fmt.Sprintf("upstreams are at their rate limit, room expected in %d ms", e.RetryAfter.Milliseconds())
}

// Demand describes a request for a permit.
type Demand struct {
	// PerSecond is the limit of the upstream.
	PerSecond float64
	// Rank is the priority of the request, where 0 is the most urgent.
	Rank int
	// Issuers is the number of VMs that grant permits for the upstream independently of each other. Each grants its part.
	Issuers int
	// Deputy is the number of VMs that would grant the permits if the issuer could reach them.
	Deputy int
	// ColdOverage is set if PerSecond is the rate of a cold upstream: the factor by which the requests of a second may exceed it.
	ColdOverage float64
}

const (
	// coldShare is the part of the users' bound that one issuer grants to a cold upstream. The parts of deputies add up to 1.66
	// times that, and all must stay below the bound of a single second, not of 4 s.
	coldShare = 0.5
	// coldBurstBase and coldBurstSeconds give the number of permits for a cold upstream that can accumulate.
	coldBurstBase    = 1.0
	coldBurstSeconds = 0.1
	// coldPause is the time without a request for a permit after which an issuer grants them at half the rate again.
	coldPause = 500 * time.Millisecond
	// coldPauseTokens makes that longer for low rates, at which VMs that were denied return after the time for two tokens at half
	// the rate.
	coldPauseTokens = 4.0
)

// rate returns the number of permits per second that one issuer grants. If some VMs cannot reach each other for long,
// several of them grant permits for an upstream. The parts of deputies are so small that all of them together stay below
// the limit and a half that is allowed: a half, an eighth, a thirty-second part.
func (d Demand) rate() float64 {
	share := usableShare
	switch {
	case d.Issuers > 1:
		share = independentShare
	case d.ColdOverage > 0:
		share = coldShare * d.ColdOverage
	}
	rate := math.Max(share*d.PerSecond, minPerSecond) / math.Max(1, float64(d.Issuers))
	return rate * d.deputyPart()
}

func (d Demand) deputyPart() float64 {
	if d.Deputy > 0 {
		return 2 * math.Pow(4, -float64(d.Deputy))
	}
	return 1
}

// burst returns the number of permits that can accumulate at one of the issuers.
func (d Demand) burst(issuers float64) float64 {
	if d.ColdOverage > 0 {
		return max(1, (coldBurstBase+coldBurstSeconds*d.PerSecond)*d.deputyPart()) / issuers
	}
	return (burstBase + burstSeconds*d.PerSecond) / issuers
}

// Grant is the answer to a request for a permit.
type Grant struct {
	Granted bool
	// RetryAfter is the time after which a permit may be available, if none was granted.
	RetryAfter time.Duration
}

// bucket is the token bucket of one upstream, with the figures of this package as its policy.
type bucket struct {
	sharedrate.Bucket
	// since is when this VM began to grant permits.
	since time.Time
	// urgentRank is the most urgent rank that asked lately, urgentAt when it did so last.
	urgentRank int
	urgentAt   time.Time
}

// Issuer grants the permits of the upstreams whose bucket this VM holds. It is not safe for concurrent use.
type Issuer struct {
	buckets map[registry.Process]*bucket
}

// NewIssuer returns an issuer without any bucket.
func NewIssuer() *Issuer { return &Issuer{buckets: map[registry.Process]*bucket{}} }

// Take grants a permit to send one request now, or tells when to ask again. The draw is a random number from [0, 1): a
// bucket that is too small for a whole token grants its part of a token with the same probability.
func (i *Issuer) Take(now time.Time, key registry.Process, d Demand, draw float64) Grant {
	issuers := float64(max(1, d.Issuers))
	burst := d.burst(issuers)
	b := i.bucket(now, key, math.Min(firstPermits, burst)/issuers)
	rate := d.rate()
	if d.ColdOverage > 0 && now.Sub(b.RefilledAt()) > max(coldPause, secondsDuration(coldPauseTokens/rate)) {
		// Another VM may have granted permits meanwhile, and a second leaves no room for two full rates.
		b.Refill(now, rate, math.Min(firstPermits, burst))
		b.since = now
	}
	if now.Sub(b.since) < handOver {
		rate /= 2
	}
	b.Refill(now, rate, burst)
	needed := math.Min(1+b.reserve(now, d.Rank), math.Max(burst, 1))
	if burst < 1 {
		return b.drawPart(draw, rate)
	}
	if b.Take(needed) {
		return Grant{Granted: true}
	}
	return Grant{RetryAfter: secondsDuration((needed - b.Tokens()) / rate)}
}

// drawPart takes the part of a token that the bucket holds, and grants a permit with the same probability.
func (b *bucket) drawPart(draw, rate float64) Grant {
	granted := draw < b.TakeAll()
	if granted {
		return Grant{Granted: true}
	}
	return Grant{RetryAfter: min(secondsDuration(1/rate), maxDrawInterval)}
}

func secondsDuration(seconds float64) time.Duration {
	return time.Duration(seconds * float64(time.Second))
}

// bucket returns the bucket of the upstream. One that was not used lately begins anew.
func (i *Issuer) bucket(now time.Time, key registry.Process, first float64) *bucket {
	b, ok := i.buckets[key]
	if !ok || now.Sub(b.RefilledAt()) > handOver {
		b = &bucket{Bucket: sharedrate.NewBucket(now, first), since: now, urgentRank: math.MaxInt}
		i.buckets[key] = b
	}
	return b
}

// reserve returns the number of permits that a request of the rank leaves to more urgent ones.
func (b *bucket) reserve(now time.Time, rank int) float64 {
	if rank <= b.urgentRank || now.Sub(b.urgentAt) > handOver {
		b.urgentRank, b.urgentAt = rank, now
		return 0
	}
	return urgentReserve
}

// Retain drops every upstream for which keep returns false.
func (i *Issuer) Retain(keep func(registry.Process) bool) {
	for key := range i.buckets {
		if !keep(key) {
			delete(i.buckets, key)
		}
	}
}
