package load

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"time"

	"github.com/wisteriamux/wisteriamux/internal/fault"
	"github.com/wisteriamux/wisteriamux/internal/standin"
)

const adminTimeout = 5 * time.Second

// StandinTotals is the sum of the counters of all stand-ins since they started.
type StandinTotals struct {
	Searches           uint64
	Cancelled          uint64
	RequestsAfterGrace uint64
	// UpstreamsLeaving counts stand-ins that have started a drain or stopped, UpstreamsDrained those that an entry VM
	// reported as drained.
	UpstreamsLeaving int
	UpstreamsDrained int
	// MaxConnections is the highest number of connections that any one stand-in has had open at the same time.
	MaxConnections int
	// Slots is the slot use of each service.
	Slots map[string]SlotUse
}

// SlotUse is the total time for which the slots of a service were held, and the number of its slots.
type SlotUse struct {
	BusyMillis float64
	Slots      int
}

// FleetClient is a client of the admin endpoints of several fleet processes.
type FleetClient struct {
	urls   []string
	client *http.Client
	// fleetURLs maps the name of each stand-in to the admin URL of its fleet. Stats fills it.
	fleetURLs map[string]string
}

// NewFleetClient returns a client of the fleets with the admin URLs.
func NewFleetClient(urls []string) *FleetClient {
	return &FleetClient{urls: urls, client: &http.Client{Timeout: adminTimeout}, fleetURLs: map[string]string{}}
}

// Stats returns the counters of all stand-ins.
func (f *FleetClient) Stats(ctx context.Context) ([]standin.Stats, error) {
	var all []standin.Stats
	for _, url := range f.urls {
		var stats []standin.Stats
		if err := f.get(ctx, url+"/admin/stats", &stats); err != nil {
			return nil, err
		}
		for _, upstream := range stats {
			f.fleetURLs[upstream.Name] = url
		}
		all = append(all, stats...)
	}
	return all, nil
}

// StandinTotals returns the sum of the stand-ins' counters.
func (f *FleetClient) StandinTotals(ctx context.Context) (StandinTotals, error) {
	stats, err := f.Stats(ctx)
	if err != nil {
		return StandinTotals{}, err
	}
	totals := StandinTotals{Slots: map[string]SlotUse{}}
	for _, upstream := range stats {
		totals.Searches += upstream.SearchesStarted
		totals.Cancelled += upstream.Cancelled
		totals.RequestsAfterGrace += upstream.ReceivedAfterGrace
		if upstream.State != standin.StateServing {
			totals.UpstreamsLeaving++
		}
		if upstream.ToldDrained {
			totals.UpstreamsDrained++
		}
		totals.MaxConnections = max(totals.MaxConnections, upstream.MaxConnections)
		use := totals.Slots[upstream.Service]
		totals.Slots[upstream.Service] = SlotUse{use.BusyMillis + upstream.BusyMillis, use.Slots + upstream.Slots}
	}
	return totals, nil
}

// Bookings returns how often each booking key ran, summed over all stand-ins.
func (f *FleetClient) Bookings(ctx context.Context) (map[string]int, error) {
	all := map[string]int{}
	for _, url := range f.urls {
		runs := map[string]int{}
		if err := f.get(ctx, url+"/admin/bookings", &runs); err != nil {
			return nil, err
		}
		for key, count := range runs {
			all[key] += count
		}
	}
	return all, nil
}

// StartSlowPeriod starts a slow period at the named stand-in. Stats must have been called before.
func (f *FleetClient) StartSlowPeriod(ctx context.Context, name string, factor float64, length time.Duration) error {
	request := standin.SlowRequest{Factor: factor, DurationMillis: length.Milliseconds()}
	return f.post(ctx, f.fleetURLs[name]+"/upstreams/"+name+"/admin/slow", request)
}

// Drain starts a drain of the named stand-in. Stats must have been called before.
func (f *FleetClient) Drain(ctx context.Context, name string) error {
	return f.post(ctx, f.fleetURLs[name]+"/upstreams/"+name+"/admin/drain", struct{}{})
}

func (f *FleetClient) get(ctx context.Context, url string, into any) error {
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return fault.New(fault.Internal, "fleets.get", "%w", err)
	}
	data, err := f.do(request)
	if err != nil {
		return err
	}
	if err := json.Unmarshal(data, into); err != nil {
		return fault.New(fault.Unavailable, "fleets.get", "%s: %w", url, err)
	}
	return nil
}

func (f *FleetClient) post(ctx context.Context, url string, body any) error {
	data, err := json.Marshal(body)
	if err != nil {
		return fault.New(fault.Internal, "fleets.post", "%w", err)
	}
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, url, bytes.NewReader(data))
	if err != nil {
		return fault.New(fault.Internal, "fleets.post", "%w", err)
	}
	_, err = f.do(request)
	return err
}

func (f *FleetClient) do(request *http.Request) ([]byte, error) {
	response, err := f.client.Do(request)
	if err != nil {
		return nil, fault.New(fault.Unavailable, "fleets", "%w", err)
	}
	defer func() { _ = response.Body.Close() }()
	data, err := io.ReadAll(response.Body)
	if err != nil {
		return nil, fault.New(fault.Unavailable, "fleets", "%w", err)
	}
	if response.StatusCode != http.StatusOK {
		return nil, fault.New(fault.Unavailable, "fleets", "%s: status %d", request.URL, response.StatusCode)
	}
	return data, nil
}
