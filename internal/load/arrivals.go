// Package load generates open-loop load on entry VMs, runs the load experiment against stand-in upstreams, and compares
// the responses that callers received with what the stand-ins actually ran.
package load

import (
	"math/rand/v2"
	"time"
)

// Point is the arrival rate per second at a time. Between two points the rate is interpolated linearly.
type Point struct {
	At   time.Duration
	Rate float64
}

// Profile is an arrival rate over time. Its points are ordered by time.
type Profile []Point

// ConstantRate returns a profile with a constant rate.
func ConstantRate(rate float64, length time.Duration) Profile {
	return Profile{{At: 0, Rate: rate}, {At: length, Rate: rate}}
}

// Spike returns a profile that rises from base to factor times base within ramp, holds the peak and falls back to base
// within ramp.
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

// Duration returns the length of the profile, the time of its last point.
func (p Profile) Duration() time.Duration { return p[len(p)-1].At }

// Rate returns the arrival rate per second at a time, and 0 after the end of the profile.
func (p Profile) Rate(at time.Duration) float64 {
	for n := 1; n < len(p); n++ {
		from, to := p[n-1], p[n]
		if at > to.At {
			continue
		}
		if to.At == from.At {
			return to.Rate
		}
		fraction := float64(at-from.At) / float64(to.At-from.At)
		return from.Rate + fraction*(to.Rate-from.Rate)
	}
	return 0
}

func (p Profile) maxRate() float64 {
	maxRate := 0.0
	for _, point := range p {
		maxRate = max(maxRate, point.Rate)
	}
	return maxRate
}

// Arrivals generates arrival times. They depend only on the profile and the seed, never on responses (open loop).
type Arrivals struct {
	profile      Profile
	evenlySpaced bool
	random       *rand.Rand
	now          time.Duration
}

// NewArrivals returns a generator of Poisson arrivals, or of evenly spaced ones.
func NewArrivals(profile Profile, evenlySpaced bool, seed uint64) *Arrivals {
	return &Arrivals{profile: profile, evenlySpaced: evenlySpaced, random: rand.New(rand.NewPCG(seed, 0))}
}

// Next returns the next arrival time. It returns false once the profile has ended.
func (a *Arrivals) Next() (time.Duration, bool) {
	if a.evenlySpaced {
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

// nextPoisson samples a Poisson process with a varying rate by thinning: it draws arrivals at the highest rate of the
// profile and keeps each with the probability that its current rate requires.
func (a *Arrivals) nextPoisson() (time.Duration, bool) {
	maxRate := a.profile.maxRate()
	if maxRate <= 0 {
		return 0, false
	}
	for {
		a.now += time.Duration(a.random.ExpFloat64() / maxRate * float64(time.Second))
		if a.now >= a.profile.Duration() {
			return 0, false
		}
		if a.random.Float64()*maxRate < a.profile.Rate(a.now) {
			return a.now, true
		}
	}
}
