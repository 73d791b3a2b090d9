package load

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"
)

// Config configures one run of the load generator.
type Config struct {
	// Targets are the base URLs of the entry VMs. Requests go to them round-robin, as from a load balancer.
	Targets []string
	Mix     Mix
	Profile Profile
	// EvenlySpaced makes the arrivals evenly spaced. Otherwise they are a Poisson process.
	EvenlySpaced bool
	Seed         uint64
	// Timeout is the caller's deadline, relative to the scheduled arrival.
	Timeout time.Duration
	// ClientOneWayDelay is the simulated network delay between callers and entry VMs, in each direction.
	ClientOneWayDelay time.Duration
	// ResendShare is the fraction of bookings that are sent again with the same key through another entry VM.
	ResendShare float64
	// Shards is the number of shards of each search service. If it is nil, responses are not checked for shards that
	// their coverage leaves out.
	Shards map[string]int
	// RunID is the prefix that makes queries and booking keys unique among runs.
	RunID string
}

const (
	// maxResendDelay bounds the random delay between a booking and its resend. It is short enough that some resends
	// arrive before the outcome of the first request is recorded.
	maxResendDelay = 60 * time.Millisecond
	// clientTimeoutMargin is how long past its deadline a caller waits for the response, so that late responses are
	// recorded with their latency.
	clientTimeoutMargin  = 2 * time.Second
	maxIdleConnsPerEntry = 1_000
)

// Run sends requests at their scheduled arrivals until the profile has ended, and waits for all responses.
func Run(ctx context.Context, config Config) []Sample {
	transport := &http.Transport{MaxIdleConnsPerHost: maxIdleConnsPerEntry, MaxIdleConns: 0, DisableCompression: true}
	defer transport.CloseIdleConnections()
	sender := &sender{config: config, client: &http.Client{Timeout: config.Timeout + clientTimeoutMargin, Transport: transport}}
	arrivals := NewArrivals(config.Profile, config.EvenlySpaced, config.Seed)
	random := rand.New(rand.NewPCG(config.Seed, 1))
	started := time.Now()
	var running sync.WaitGroup
	for n := 0; ctx.Err() == nil; n++ {
		at, ok := arrivals.Next()
		if !ok {
			break
		}
		planned := planRequest(config, n, at, random)
		time.Sleep(time.Until(started.Add(at)))
		running.Go(func() { sender.send(ctx, started, planned) })
	}
	running.Wait()
	return sender.samples
}

// plannedRequest is one request. All of its random choices are made before it is sent, so that they don't depend on
// responses.
type plannedRequest struct {
	spec   RequestSpec
	number int
	at     time.Duration
	id     string
	target int
	// resendAfter is the delay after which a booking is sent again; 0 means that it is not.
	resendAfter time.Duration
}

func planRequest(config Config, number int, at time.Duration, random *rand.Rand) plannedRequest {
	p := plannedRequest{
		spec:   config.Mix.Draw(random),
		number: number,
		at:     at,
		id:     fmt.Sprintf("%s-%d", config.RunID, number),
		target: number % len(config.Targets),
	}
	resend := random.Float64() < config.ResendShare
	delay := time.Duration(random.Int64N(int64(maxResendDelay))) + 1
	if resend && p.spec.Class.Booking != "" {
		p.resendAfter = delay
	}
	return p
}

// sender sends planned requests and collects their samples.
type sender struct {
	config Config
	client *http.Client

	// mu guards samples.
	mu      sync.Mutex
	samples []Sample
}

func (s *sender) send(ctx context.Context, started time.Time, p plannedRequest) {
	scheduled := started.Add(p.at)
	if p.spec.Class.Booking == "" {
		s.record(s.search(ctx, p), p, scheduled)
		return
	}
	var resend sync.WaitGroup
	if p.resendAfter > 0 {
		again := p
		again.target = (p.target + 1) % len(s.config.Targets)
		again.at += p.resendAfter
		resend.Go(func() {
			time.Sleep(p.resendAfter)
			s.record(s.book(ctx, again), again, started.Add(again.at))
		})
	}
	s.record(s.book(ctx, p), p, scheduled)
	resend.Wait()
}

// record completes and stores a sample. Latency is measured from the scheduled arrival, so that delays in the generator
// are included (no coordinated omission).
func (s *sender) record(sample Sample, p plannedRequest, scheduled time.Time) {
	sample.At = p.at
	sample.Class = p.spec.Class.Name
	sample.Latency = time.Since(scheduled) + s.config.ClientOneWayDelay
	s.mu.Lock()
	defer s.mu.Unlock()
	s.samples = append(s.samples, sample)
}
