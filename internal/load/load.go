// Package load generates open-loop load on entry VMs and reports latency, coverage and statuses.
package load

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// Config describes one run.
type Config struct {
	// Targets are the base URLs of entry VMs; requests go to them in turn, as a balancer would send them.
	Targets  []string
	Services []string
	Rate     float64
	Duration time.Duration
	Timeout  time.Duration
}

const (
	maxLatencyMicros   = 120_000_000
	significantFigures = 3
)

// Report is the outcome of a run. Latency counts from the scheduled arrival, so that waiting is not hidden.
type Report struct {
	// mu guards the fields below while the run lasts.
	mu       sync.Mutex
	Latency  *hdrhistogram.Histogram
	Statuses map[int]int
	Included int
	Missing  int
}

// Run sends searches at the configured rate until the duration has passed.
func Run(ctx context.Context, config Config) *Report {
	report := &Report{Latency: hdrhistogram.New(1, maxLatencyMicros, significantFigures), Statuses: map[int]int{}}
	client := &http.Client{Timeout: config.Timeout + time.Second, Transport: &http.Transport{MaxIdleConnsPerHost: 1_000}}
	var running sync.WaitGroup
	interval := time.Duration(float64(time.Second) / config.Rate)
	started := time.Now()
	for n := 0; time.Duration(n)*interval < config.Duration && ctx.Err() == nil; n++ {
		scheduled := started.Add(time.Duration(n) * interval)
		time.Sleep(time.Until(scheduled))
		target := config.Targets[n%len(config.Targets)]
		running.Go(func() { report.send(ctx, client, target, config, scheduled) })
	}
	running.Wait()
	return report
}

func (r *Report) send(ctx context.Context, client *http.Client, target string, config Config, scheduled time.Time) {
	body, _ := json.Marshal(map[string]any{"services": config.Services, "query": "load", "timeout_ms": config.Timeout.Milliseconds()})
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, target+"/v1/search", bytes.NewReader(body))
	if err != nil {
		return
	}
	status, included, missing := exchange(client, request)
	r.mu.Lock()
	defer r.mu.Unlock()
	r.Statuses[status]++
	r.Included += included
	r.Missing += missing
	_ = r.Latency.RecordValue(time.Since(scheduled).Microseconds())
}

func exchange(client *http.Client, request *http.Request) (status, included, missing int) {
	response, err := client.Do(request)
	if err != nil {
		return 0, 0, 0
	}
	defer func() { _ = response.Body.Close() }()
	data, err := io.ReadAll(response.Body)
	if err != nil {
		return 0, 0, 0
	}
	var answer struct {
		Coverage struct {
			Included []json.RawMessage `json:"included"`
			Missing  []json.RawMessage `json:"missing"`
		} `json:"coverage"`
	}
	_ = json.Unmarshal(data, &answer)
	return response.StatusCode, len(answer.Coverage.Included), len(answer.Coverage.Missing)
}
