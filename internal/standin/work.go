package standin

import (
	"context"
	"encoding/json"
	"errors"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/wisteriamux/wisteriamux/internal/upstreamapi"
)

const maxBodyBytes = 1 << 20

// Item is the search result of a stand-in. It names the shard and snapshot that were actually searched, so that the
// load generator can check the coverage that a response claims.
type Item struct {
	Service    string `json:"service"`
	Shard      int    `json:"shard"`
	Version    uint64 `json:"version"`
	Generation uint64 `json:"generation"`
	Upstream   string `json:"upstream"`
	Query      string `json:"query"`
}

// BookingReply is the result of a booking. Runs is how often the stand-in has run the key so far.
type BookingReply struct {
	Upstream string `json:"upstream"`
	Key      string `json:"key"`
	Runs     int    `json:"runs"`
}

// refusal is the error of a request that was refused before it started. notRun sets the not-run header, and counter
// selects the counter of the reason.
type refusal struct {
	status  int
	notRun  bool
	reason  string
	counter func(*Stats) *uint64
}

var (
	refusedLeaving = refusal{http.StatusServiceUnavailable, true, "leaving", func(s *Stats) *uint64 { return &s.RefusedLeaving }}
	refusedShed    = refusal{http.StatusServiceUnavailable, true, "queue is full", func(s *Stats) *uint64 { return &s.RefusedShed }}
	refusedExpired = refusal{http.StatusServiceUnavailable, true, "timeout passed before the start", func(s *Stats) *uint64 { return &s.RefusedExpired }}
	// refusedSnapshot sets no not-run header: status 410 alone makes the entry VM choose another snapshot.
	refusedSnapshot = refusal{http.StatusGone, false, "snapshot not served", func(s *Stats) *uint64 { return &s.RefusedSnapshot }}
)

// errCancelled is returned when the caller closed the stream.
var errCancelled = errors.New("stream closed")

func (r refusal) Error() string { return r.reason }

func (u *Upstream) handleSearch(w http.ResponseWriter, r *http.Request) {
	body, deadline, ok := u.receive(w, r)
	if !ok {
		return
	}
	var request upstreamapi.SearchRequest
	if err := json.Unmarshal(body, &request); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	item, err := u.snapshotItem(r.Header, request)
	if err == nil {
		err = u.runSearch(r.Context(), deadline)
	}
	if err != nil {
		u.respondError(w, err)
		return
	}
	encoded, err := json.Marshal(item)
	if err != nil {
		http.Error(w, err.Error(), http.StatusInternalServerError)
		return
	}
	reply := upstreamapi.SearchResponse{Version: item.Version, Generation: item.Generation, Items: []json.RawMessage{encoded}}
	u.respond(r.Context(), w, reply)
}

func (u *Upstream) handleBook(w http.ResponseWriter, r *http.Request) {
	_, deadline, ok := u.receive(w, r)
	if !ok {
		return
	}
	key := r.Header.Get(upstreamapi.HeaderBookingKey)
	runs, err := u.runBooking(r.Context(), deadline, key)
	if err != nil {
		u.respondError(w, err)
		return
	}
	u.respond(r.Context(), w, BookingReply{Upstream: u.config.Announcement.Name, Key: key, Runs: runs})
}

// receive simulates the network delay and reads the body. The body must be read to its end: only then does the server
// watch the connection and cancel the request's context when the stream closes.
func (u *Upstream) receive(w http.ResponseWriter, r *http.Request) (body []byte, deadline time.Time, ok bool) {
	if !sleep(r.Context(), u.config.OneWayDelay) {
		return nil, deadline, false
	}
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxBodyBytes))
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return nil, deadline, false
	}
	if u.config.CrashMarker != "" && strings.Contains(string(body), u.config.CrashMarker) {
		u.config.Crash()
		return nil, deadline, false
	}
	u.countReceived(time.Now())
	if millis, err := strconv.ParseInt(r.Header.Get(upstreamapi.HeaderTimeoutMillis), 10, 64); err == nil {
		deadline = time.Now().Add(time.Duration(millis) * time.Millisecond)
	}
	return body, deadline, true
}

func (u *Upstream) countReceived(now time.Time) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.stats.Received++
	if u.gracePeriodOver(now) {
		u.stats.ReceivedAfterGrace++
	}
	if u.state == StateDrained {
		u.stats.ReceivedAfterDrained++
	}
}

// gracePeriodOver must be called with mu held.
func (u *Upstream) gracePeriodOver(now time.Time) bool {
	return !u.graceEnds.IsZero() && now.After(u.graceEnds)
}

// snapshotItem returns the search result if the stand-in serves the requested snapshot and shard, and refusedSnapshot
// otherwise.
func (u *Upstream) snapshotItem(header http.Header, request upstreamapi.SearchRequest) (Item, error) {
	version, _ := strconv.ParseUint(header.Get(upstreamapi.HeaderIndexVersion), 10, 64)
	generation, _ := strconv.ParseUint(header.Get(upstreamapi.HeaderShardGeneration), 10, 64)
	own := u.currentAnnouncement()
	if version < own.MinVersion || version > own.MaxVersion || generation != own.Generation || request.Shard != own.Shard {
		return Item{}, refusedSnapshot
	}
	return Item{
		Service: own.Service, Shard: own.Shard, Version: version, Generation: generation, Upstream: own.Name, Query: request.Query,
	}, nil
}

func (u *Upstream) runSearch(ctx context.Context, deadline time.Time) error {
	if err := u.acquireSlot(ctx, deadline); err != nil {
		return err
	}
	defer u.releaseSlot(time.Now())
	u.update(func(s *Stats) { s.SearchesStarted++ })
	if !sleep(ctx, u.serviceTimes.draw(time.Now())) {
		return errCancelled
	}
	u.update(func(s *Stats) { s.Finished++ })
	return nil
}

// runBooking runs a booking and returns how often its key has run. Once started, a booking runs to its end even if the
// stream closes.
func (u *Upstream) runBooking(ctx context.Context, deadline time.Time, key string) (int, error) {
	if err := u.acquireSlot(ctx, deadline); err != nil {
		return 0, err
	}
	defer u.releaseSlot(time.Now())
	u.mu.Lock()
	u.bookings[key]++
	runs := u.bookings[key]
	u.stats.BookingsStarted++
	u.mu.Unlock()
	time.Sleep(u.serviceTimes.draw(time.Now()))
	u.update(func(s *Stats) { s.Finished++ })
	return runs, nil
}

// acquireSlot waits for a slot in order of arrival. It refuses a request whose timeout passed during the wait.
func (u *Upstream) acquireSlot(ctx context.Context, deadline time.Time) error {
	if err := u.enqueue(time.Now()); err != nil {
		return err
	}
	select {
	case u.slots <- struct{}{}:
	case <-ctx.Done():
		u.update(func(s *Stats) { s.Queued-- })
		return errCancelled
	}
	if !deadline.IsZero() && time.Now().After(deadline) {
		<-u.slots
		u.update(func(s *Stats) { s.Queued-- })
		return refusedExpired
	}
	u.update(func(s *Stats) {
		s.Queued--
		s.InFlight++
		s.MaxInFlight = max(s.MaxInFlight, s.InFlight)
	})
	return nil
}

// enqueue counts the request as queued, or refuses it when the grace period is over or the queue is full.
func (u *Upstream) enqueue(now time.Time) error {
	u.mu.Lock()
	defer u.mu.Unlock()
	if u.gracePeriodOver(now) {
		return refusedLeaving
	}
	waiting := u.stats.InFlight + u.stats.Queued - cap(u.slots)
	if u.config.QueueBound > 0 && waiting >= u.config.QueueBound {
		return refusedShed
	}
	u.stats.Queued++
	u.stats.MaxQueued = max(u.stats.MaxQueued, waiting+1)
	return nil
}

func (u *Upstream) releaseSlot(acquiredAt time.Time) {
	u.update(func(s *Stats) {
		s.InFlight--
		s.BusyMillis += float64(time.Since(acquiredAt).Microseconds()) / 1e3
	})
	<-u.slots
}

func (u *Upstream) update(change func(*Stats)) {
	u.mu.Lock()
	defer u.mu.Unlock()
	change(&u.stats)
}

// respondError counts the error and writes the response of a refusal. It writes nothing to a closed stream.
func (u *Upstream) respondError(w http.ResponseWriter, err error) {
	var refused refusal
	if !errors.As(err, &refused) {
		u.update(func(s *Stats) { s.Cancelled++ })
		return
	}
	u.update(func(s *Stats) { *refused.counter(s)++ })
	if refused.notRun {
		w.Header().Set(upstreamapi.HeaderNotRun, "true")
	}
	u.nameRateLimit(w.Header())
	time.Sleep(u.config.OneWayDelay)
	http.Error(w, refused.reason, refused.status)
}

func (u *Upstream) respond(ctx context.Context, w http.ResponseWriter, body any) {
	if !sleep(ctx, u.config.OneWayDelay) {
		return
	}
	u.nameRateLimit(w.Header())
	writeJSON(w, body)
}

func writeJSON(w http.ResponseWriter, body any) {
	data, err := json.Marshal(body)
	if err != nil {
		http.Error(w, err.Error(), http.StatusInternalServerError)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	_, _ = w.Write(data)
}

// sleep waits for the duration. It returns false if the context ended first.
func sleep(ctx context.Context, duration time.Duration) bool {
	if duration <= 0 {
		return ctx.Err() == nil
	}
	timer := time.NewTimer(duration)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}
