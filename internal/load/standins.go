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

// StandinTotals is what all stand-ins did since they started.
type StandinTotals struct {
	Searches           uint64
	Cancelled          uint64
	RequestsAfterGrace uint64
	// UpstreamsLeaving counts stand-ins that asked to leave, Drained those of them that were told that they are drained.
	UpstreamsLeaving int
	UpstreamsDrained int
	// MaxConnections is the highest number of connections that any stand-in had open at a time.
	MaxConnections int
	// Slots holds the time for which slots were held and the number of slots of each service.
	Slots map[string]SlotUse
}

// SlotUse is the use of the slots of one service.
type SlotUse struct {
	BusyMillis float64
	Slots      int
}

// FleetClient reads and controls the stand-ins of several fleet processes.
type FleetClient struct {
	urls   []string
	client *http.Client
	// home maps each stand-in to the URL of its fleet.
	home map[string]string
}

// NewFleetClient returns the fleets at the admin URLs.
func NewFleetClient(urls []string) *FleetClient {
	return &FleetClient{urls: urls, client: &http.Client{Timeout: adminTimeout}, home: map[string]string{}}
}

// Stats returns the counters of all stand-ins.
func (f *FleetClient) Stats(ctx context.Context) ([]standin.Stats, error) {
	var all []standin.Stats
	for _, url := range f.urls {
		var stats []standin.Stats
		if err := f.get(ctx, url+"/admin/stats", &stats); err != nil {
			return nil, err
		}
		for _, one := range stats {
			f.home[one.Name] = url
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
	work := StandinTotals{Slots: map[string]SlotUse{}}
	for _, one := range stats {
		work.Searches += one.SearchesStarted
		work.Cancelled += one.Cancelled
		work.RequestsAfterGrace += one.ReceivedAfterGrace
		if one.State != standin.StateServing {
			work.UpstreamsLeaving++
		}
		if one.ToldDrained {
			work.UpstreamsDrained++
		}
		work.MaxConnections = max(work.MaxConnections, one.MaxConnections)
		use := work.Slots[one.Service]
		work.Slots[one.Service] = SlotUse{use.BusyMillis + one.BusyMillis, use.Slots + one.Slots}
	}
	return work, nil
}

// Bookings returns the runs of each key over all stand-ins.
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

// StartSlowPeriod starts a slow period at one stand-in.
func (f *FleetClient) StartSlowPeriod(ctx context.Context, name string, factor float64, length time.Duration) error {
	request := standin.SlowRequest{Factor: factor, DurationMillis: length.Milliseconds()}
	return f.post(ctx, f.home[name]+"/upstreams/"+name+"/admin/slow", request)
}

// Drain makes one stand-in leave.
func (f *FleetClient) Drain(ctx context.Context, name string) error {
	return f.post(ctx, f.home[name]+"/upstreams/"+name+"/admin/drain", struct{}{})
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
