package standin

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"time"

	"github.com/gorilla/mux"

	"github.com/wisteriamux/wisteriamux/internal/upstreamapi"
)

// SlowRequest is the body of POST /admin/slow. It starts a slow period.
type SlowRequest struct {
	Factor         float64 `json:"factor"`
	DurationMillis int64   `json:"duration_ms"`
}

// RateLimitRequest is the body of POST /admin/ratelimit. It sets the limit that the responses name, empty for none.
type RateLimitRequest struct {
	Text string `json:"text"`
}

// ShardMapRequest is the body of POST /admin/shardmap. It replaces the shard map that the stand-in announces.
type ShardMapRequest struct {
	Generation uint64 `json:"generation"`
	Shard      int    `json:"shard"`
	ShardCount int    `json:"shard_count"`
}

// VersionsRequest is the body of POST /admin/versions. It replaces the range of index versions that the stand-in
// serves.
type VersionsRequest struct {
	Min uint64 `json:"min"`
	Max uint64 `json:"max"`
}

// LoadResponse is the body of the response to GET /load.
type LoadResponse struct {
	InFlight float64 `json:"in_flight"`
	Queued   float64 `json:"queued"`
	Slots    int     `json:"slots"`
}

// loadSample is the load at one point in time.
type loadSample struct {
	at       time.Time
	inFlight int
	queued   int
}

func (u *Upstream) adminRoutes(router *mux.Router) {
	router.HandleFunc("/stats", func(w http.ResponseWriter, _ *http.Request) { writeJSON(w, u.Stats()) }).Methods(http.MethodGet)
	router.HandleFunc("/bookings", func(w http.ResponseWriter, _ *http.Request) { writeJSON(w, u.Bookings()) }).Methods(http.MethodGet)
	router.HandleFunc("/drain", func(w http.ResponseWriter, _ *http.Request) { u.Drain() }).Methods(http.MethodPost)
	router.HandleFunc("/slow", adminPost(u.startSlowPeriod)).Methods(http.MethodPost)
	router.HandleFunc("/ratelimit", adminPost(u.setRateLimit)).Methods(http.MethodPost)
	router.HandleFunc("/shardmap", adminPost(u.setShardMap)).Methods(http.MethodPost)
	router.HandleFunc("/versions", adminPost(u.setVersions)).Methods(http.MethodPost)
}

// adminPost returns a handler that decodes a JSON body and passes it to apply.
func adminPost[R any](apply func(R)) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		var request R
		data, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxBodyBytes))
		if err == nil {
			err = json.Unmarshal(data, &request)
		}
		if err != nil {
			http.Error(w, err.Error(), http.StatusBadRequest)
			return
		}
		apply(request)
	}
}

func (u *Upstream) startSlowPeriod(request SlowRequest) {
	u.serviceTimes.startSlowPeriod(request.Factor, time.Now().Add(time.Duration(request.DurationMillis)*time.Millisecond))
}

func (u *Upstream) setRateLimit(request RateLimitRequest) { u.rateLimit.Store(&request.Text) }

// nameRateLimit adds the rate limit to a response.
func (u *Upstream) nameRateLimit(header http.Header) {
	if text := u.rateLimit.Load(); text != nil && *text != "" {
		header.Set(upstreamapi.HeaderRateLimit, *text)
	}
}

func (u *Upstream) setShardMap(request ShardMapRequest) {
	u.mu.Lock()
	u.announcement.Generation = request.Generation
	u.announcement.Shard = request.Shard
	u.announcement.ShardCount = request.ShardCount
	u.mu.Unlock()
	u.signalChange()
}

func (u *Upstream) setVersions(request VersionsRequest) {
	u.mu.Lock()
	u.announcement.MinVersion = request.Min
	u.announcement.MaxVersion = request.Max
	u.mu.Unlock()
	u.signalChange()
}

// sampleLoad records the load periodically, so that handleLoad can report an outdated value. It returns immediately if
// the configured age is 0.
func (u *Upstream) sampleLoad(ctx context.Context) {
	if u.config.LoadReport.Age <= 0 {
		return
	}
	ticker := time.NewTicker(loadSamplePeriod)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case now := <-ticker.C:
			u.recordLoad(now)
		}
	}
}

func (u *Upstream) recordLoad(now time.Time) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.samples = append(u.samples, loadSample{at: now, inFlight: u.stats.InFlight, queued: u.stats.Queued})
	// The first sample is the newest one that has reached the report age; older ones are not reported again.
	for len(u.samples) > 1 && now.Sub(u.samples[1].at) >= u.config.LoadReport.Age {
		u.samples = u.samples[1:]
	}
}

// handleLoad reports the load as it was the configured age ago, multiplied by the configured factor. It reports zero
// until a sample has reached that age.
func (u *Upstream) handleLoad(w http.ResponseWriter, _ *http.Request) {
	u.mu.Lock()
	sample := loadSample{inFlight: u.stats.InFlight, queued: u.stats.Queued}
	if u.config.LoadReport.Age > 0 {
		sample = loadSample{}
		if len(u.samples) > 0 && time.Since(u.samples[0].at) >= u.config.LoadReport.Age {
			sample = u.samples[0]
		}
	}
	u.mu.Unlock()
	factor := u.config.LoadReport.Factor
	writeJSON(w, LoadResponse{
		InFlight: float64(sample.inFlight) * factor,
		Queued:   float64(sample.queued) * factor,
		Slots:    cap(u.slots),
	})
}
