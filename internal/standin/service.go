package standin

import (
	"hash/fnv"
	"math"
	"math/rand/v2"
	"sync"
	"time"
)

// serviceTimes draws random service times, which are longer after a cold start and in slow periods.
type serviceTimes struct {
	config Config
	start  time.Time

	// mu guards the fields below.
	mu         sync.Mutex
	random     *rand.Rand
	slowUntil  time.Time
	slowFactor float64
	nextSlow   time.Time
}

func newServiceTimes(config Config, start time.Time) *serviceTimes {
	name := fnv.New64a()
	_, _ = name.Write([]byte(config.Announcement.Name))
	s := &serviceTimes{config: config, start: start, random: rand.New(rand.NewPCG(config.Seed, name.Sum64()))}
	s.nextSlow = start.Add(s.untilNextSlow())
	return s
}

// draw returns the service time of a request that starts at the given time.
func (s *serviceTimes) draw(now time.Time) time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.startScheduledPeriods(now)
	factor := 1.0
	if now.Before(s.slowUntil) {
		factor = s.slowFactor
	}
	if cold := s.config.ColdStart; cold.Factor > 0 && now.Sub(s.start) < cold.Length {
		factor *= cold.Factor
	}
	return time.Duration(float64(s.config.ServiceTime) * s.unitSample() * factor)
}

// unitSample draws a value from the configured distribution, scaled to a median of 1.
func (s *serviceTimes) unitSample() float64 {
	switch s.config.Distribution {
	case LogNormal:
		return math.Exp(s.config.Sigma * s.random.NormFloat64())
	case Exponential:
		return s.random.ExpFloat64() / math.Ln2
	default:
		return 1
	}
}

// startScheduledPeriods applies the slow periods whose start time has passed and schedules the next one.
func (s *serviceTimes) startScheduledPeriods(now time.Time) {
	for s.config.SlowPeriods.Interval > 0 && !now.Before(s.nextSlow) {
		s.slowUntil = s.nextSlow.Add(s.config.SlowPeriods.Length)
		s.slowFactor = s.config.SlowPeriods.Factor
		s.nextSlow = s.nextSlow.Add(s.untilNextSlow())
	}
}

// untilNextSlow draws the exponentially distributed time until the next slow period.
func (s *serviceTimes) untilNextSlow() time.Duration {
	return time.Duration(s.random.ExpFloat64() * float64(s.config.SlowPeriods.Interval))
}

// startSlowPeriod starts a slow period immediately.
func (s *serviceTimes) startSlowPeriod(factor float64, until time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.slowFactor = factor
	s.slowUntil = until
}
