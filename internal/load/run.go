package load

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"
)

// Config describes one run.
type Config struct {
	// Targets are the base URLs of entry VMs; requests go to them in turn, as a balancer would send them.
	Targets []string
	Mix     Mix
	Profile Profile
	// EvenlySpaced spaces the arrivals evenly instead of as a Poisson process.
	EvenlySpaced bool
	Seed         uint64
	// Timeout is the caller's deadline, counted from the scheduled arrival.
	Timeout time.Duration
	// ClientOneWayDelay is the network delay between callers and entry VMs.
	ClientOneWayDelay time.Duration
	// ResendShare is the share of bookings that are sent a second time with the same key through another entry VM.
	ResendShare float64
	// Shards holds the number of shards of each search service; with it the completeness of coverage is checked.
	Shards map[string]int
	// RunID makes queries and booking keys unique among runs.
	RunID string
}

const (
	// resendSpread is the longest time between a booking and its resend, so that some resends overtake the outcome.
	resendSpread = 60 * time.Millisecond
	// clientPatience is how much longer than its deadline a caller keeps the connection, so that late answers show.
	clientPatience = 2 * time.Second
	idleConnsEach  = 1_000
)

// Run sends requests at the scheduled arrivals until the profile has ended, and waits for the answers.
func Run(ctx context.Context, config Config) []Sample {
	transport := &http.Transport{MaxIdleConnsPerHost: idleConnsEach, MaxIdleConns: 0, DisableCompression: true}
	defer transport.CloseIdleConnections()
	sender := &sender{config: config, client: &http.Client{Timeout: config.Timeout + clientPatience, Transport: transport}}
	arrivals := NewArrivals(config.Profile, config.EvenlySpaced, config.Seed)
	random := rand.New(rand.NewPCG(config.Seed, 1))
	started := time.Now()
	var running sync.WaitGroup
	for n := 0; ctx.Err() == nil; n++ {
		at, ok := arrivals.Next()
		if !ok {
			break
		}
		planned := plan(config, n, at, random)
		time.Sleep(time.Until(started.Add(at)))
		running.Go(func() { sender.send(ctx, started, planned) })
	}
	running.Wait()
	return sender.samples
}

// planned is one request, fully drawn before it is sent.
type planned struct {
	pick   RequestSpec
	number int
	at     time.Duration
	id     string
	target int
	// resendAfter is set on a booking that is sent again; it is 0 otherwise.
	resendAfter time.Duration
}

func plan(config Config, number int, at time.Duration, random *rand.Rand) planned {
	p := planned{
		pick:   config.Mix.Draw(random),
		number: number,
		at:     at,
		id:     fmt.Sprintf("%s-%d", config.RunID, number),
		target: number % len(config.Targets),
	}
	again := random.Float64() < config.ResendShare
	after := time.Duration(random.Int64N(int64(resendSpread))) + 1
	if again && p.pick.Class.Booking != "" {
		p.resendAfter = after
	}
	return p
}

// sender sends planned requests and keeps their samples.
type sender struct {
	config Config
	client *http.Client

	// mu guards samples.
	mu      sync.Mutex
	samples []Sample
}

func (s *sender) send(ctx context.Context, started time.Time, p planned) {
	scheduled := started.Add(p.at)
	if p.pick.Class.Booking == "" {
		s.add(s.search(ctx, p), p, scheduled)
		return
	}
	var resend sync.WaitGroup
	if p.resendAfter > 0 {
		again := p
		again.target = (p.target + 1) % len(s.config.Targets)
		again.at += p.resendAfter
		resend.Go(func() {
			time.Sleep(p.resendAfter)
			s.add(s.book(ctx, again), again, started.Add(again.at))
		})
	}
	s.add(s.book(ctx, p), p, scheduled)
	resend.Wait()
}

// add completes a sample. Latency counts from the scheduled arrival, so that waiting in the generator is not hidden.
func (s *sender) add(sample Sample, p planned, scheduled time.Time) {
	sample.At = p.at
	sample.Class = p.pick.Class.Name
	sample.Latency = time.Since(scheduled) + s.config.ClientOneWayDelay
	s.mu.Lock()
	defer s.mu.Unlock()
	s.samples = append(s.samples, sample)
}
