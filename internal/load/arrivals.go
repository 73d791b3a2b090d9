// Package load generates open-loop load on entry VMs, runs the load experiment against stand-ins, checks what callers
// were told against what the stand-ins did, and measures the slopes behind the capacity page.
package load

import (
	"math/rand/v2"
	"time"
)

// Point fixes the arrival rate at a time; between two points the rate is interpolated linearly.
type Point struct {
	At   time.Duration
	Rate float64
}

// Profile is a rate over time. Its points are ordered by time.
type Profile []Point

// ConstantRate returns a profile with a constant rate.
func ConstantRate(rate float64, length time.Duration) Profile {
	return Profile{{At: 0, Rate: rate}, {At: length, Rate: rate}}
}

// Spike returns a profile that rises from base to factor times base within ramp, holds and returns.
func Spike(base, factor float64, before, ramp, hold, after time.Duration) Profile {
	peak := base * factor
	return Profile{
		{At: 0, Rate: base},
		{At: before, Rate: base},
		{At: before + ramp, Rate: peak},
		{At: before + ramp + hold, Rate: peak},
		{At: before + 2*ramp + hold, Rate: base},
		{At: before + 2*ramp + hold + after, Rate: base},
	}
}

// Duration returns the time of the last point.
func (p Profile) Duration() time.Duration { return p[len(p)-1].At }

// Rate returns the arrivals per second at a time.
func (p Profile) Rate(at time.Duration) float64 {
	for n := 1; n < len(p); n++ {
		from, to := p[n-1], p[n]
		if at > to.At {
			continue
		}
		if to.At == from.At {
			return to.Rate
		}
		share := float64(at-from.At) / float64(to.At-from.At)
		return from.Rate + share*(to.Rate-from.Rate)
	}
	return 0
}

func (p Profile) highest() float64 {
	highest := 0.0
	for _, point := range p {
		highest = max(highest, point.Rate)
	}
	return highest
}

// Arrivals yields arrival times. They depend on the profile and the seed only, never on answers.
type Arrivals struct {
	profile Profile
	even    bool
	random  *rand.Rand
	now     time.Duration
}

// NewArrivals returns Poisson arrivals, or evenly spaced ones.
func NewArrivals(profile Profile, even bool, seed uint64) *Arrivals {
	return &Arrivals{profile: profile, even: even, random: rand.New(rand.NewPCG(seed, 0))}
}

// Next returns the next arrival; false means that the profile has ended.
func (a *Arrivals) Next() (time.Duration, bool) {
	if a.even {
		return a.nextEven()
	}
	return a.nextPoisson()
}

func (a *Arrivals) nextEven() (time.Duration, bool) {
	at := a.now
	rate := a.profile.Rate(at)
	if rate <= 0 || at >= a.profile.Duration() {
		return 0, false
	}
	a.now += time.Duration(float64(time.Second) / rate)
	return at, true
}

// nextPoisson thins a process of the highest rate, which gives a Poisson process of the varying rate.
func (a *Arrivals) nextPoisson() (time.Duration, bool) {
	highest := a.profile.highest()
	if highest <= 0 {
		return 0, false
	}
	for {
		a.now += time.Duration(a.random.ExpFloat64() / highest * float64(time.Second))
		if a.now >= a.profile.Duration() {
			return 0, false
		}
		if a.random.Float64()*highest < a.profile.Rate(a.now) {
			return a.now, true
		}
	}
}
