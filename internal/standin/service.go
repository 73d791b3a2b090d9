package standin

import (
	"hash/fnv"
	"math"
	"math/rand/v2"
	"sync"
	"time"
)

// pacer draws service times and keeps the periods in which they are longer.
type pacer struct {
	config Config
	start  time.Time

	// mu guards the fields below.
	mu         sync.Mutex
	random     *rand.Rand
	slowUntil  time.Time
	slowFactor float64
	nextSlow   time.Time
}

func newPacer(config Config, start time.Time) *pacer {
	name := fnv.New64a()
	_, _ = name.Write([]byte(config.Announcement.Name))
	p := &pacer{config: config, start: start, random: rand.New(rand.NewPCG(config.Seed, name.Sum64()))}
	p.nextSlow = start.Add(p.untilNextSlow())
	return p
}

// draw returns the service time of a request that starts now.
func (p *pacer) draw(now time.Time) time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.startPeriods(now)
	factor := 1.0
	if now.Before(p.slowUntil) {
		factor = p.slowFactor
	}
	if cold := p.config.ColdStart; cold.Factor > 0 && now.Sub(p.start) < cold.Length {
		factor *= cold.Factor
	}
	return time.Duration(float64(p.config.ServiceTime) * p.shape() * factor)
}

// shape returns a value with median 1.
func (p *pacer) shape() float64 {
	switch p.config.Distribution {
	case LogNormal:
		return math.Exp(p.config.Sigma * p.random.NormFloat64())
	case Exponential:
		return p.random.ExpFloat64() / math.Ln2
	default:
		return 1
	}
}

func (p *pacer) startPeriods(now time.Time) {
	for p.config.SlowPeriods.Interval > 0 && !now.Before(p.nextSlow) {
		p.slowUntil = p.nextSlow.Add(p.config.SlowPeriods.Length)
		p.slowFactor = p.config.SlowPeriods.Factor
		p.nextSlow = p.nextSlow.Add(p.untilNextSlow())
	}
}

func (p *pacer) untilNextSlow() time.Duration {
	return time.Duration(p.random.ExpFloat64() * float64(p.config.SlowPeriods.Interval))
}

// slow starts a slow period at once.
func (p *pacer) slow(factor float64, until time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.slowFactor = factor
	p.slowUntil = until
}
