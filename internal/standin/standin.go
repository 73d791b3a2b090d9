// Package standin is a small upstream for demos, tests and load experiments.
package standin

import (
	"context"
	"encoding/json"
	"fmt"
	"log/slog"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/gorilla/mux"

	"github.com/wisteriamux/wisteriamux/internal/fault"
	"github.com/wisteriamux/wisteriamux/internal/model"
	"github.com/wisteriamux/wisteriamux/internal/upstreamapi"
)

const readHeaderTimeout = 2 * time.Second

// Config describes a stand-in.
type Config struct {
	Announcement model.Announcement
	// EntryURLs are the entry VMs that the stand-in announces itself to, in turn.
	EntryURLs []string
	// ServiceTime is how long each request holds a slot.
	ServiceTime time.Duration
}

// Upstream is a stand-in upstream.
type Upstream struct {
	config Config
	log    *slog.Logger
	slots  chan struct{}

	// mu guards bookings.
	mu       sync.Mutex
	bookings map[string]int
}

// New returns a stand-in.
func New(config Config, log *slog.Logger) *Upstream {
	return &Upstream{config: config, log: log, slots: make(chan struct{}, config.Announcement.Slots), bookings: map[string]int{}}
}

// Run serves and announces until the context ends, then finishes the requests in flight.
func (u *Upstream) Run(ctx context.Context, listener net.Listener) error {
	router := mux.NewRouter()
	router.HandleFunc(upstreamapi.PathSearch, u.handleSearch).Methods(http.MethodPost)
	router.HandleFunc(upstreamapi.PathBook, u.handleBook).Methods(http.MethodPost)
	server := &http.Server{Handler: router, ReadHeaderTimeout: readHeaderTimeout}
	go u.announceLoop(ctx)
	go func() {
		<-ctx.Done()
		_ = server.Shutdown(context.Background())
	}()
	if err := server.Serve(listener); err != http.ErrServerClosed {
		return fault.New(fault.Internal, "standin.serve", "%w", err)
	}
	return nil
}

func (u *Upstream) announceLoop(ctx context.Context) {
	client := &http.Client{Timeout: time.Second}
	for turn := 0; ; turn++ {
		wait := time.Duration(200) * time.Millisecond
		url := u.config.EntryURLs[turn%len(u.config.EntryURLs)]
		response, err := upstreamapi.Announce(ctx, client, url, u.config.Announcement)
		if err == nil {
			wait = time.Duration(response.RenewMillis) * time.Millisecond
		} else {
			u.log.Debug("announcement failed", "entry", url, "error", err)
		}
		select {
		case <-ctx.Done():
			return
		case <-time.After(wait):
		}
	}
}

func (u *Upstream) handleSearch(w http.ResponseWriter, r *http.Request) {
	var request upstreamapi.SearchRequest
	if err := json.NewDecoder(r.Body).Decode(&request); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	version, _ := strconv.ParseUint(r.Header.Get(upstreamapi.HeaderIndexVersion), 10, 64)
	generation, _ := strconv.ParseUint(r.Header.Get(upstreamapi.HeaderShardGeneration), 10, 64)
	own := u.config.Announcement
	if version < own.MinVersion || version > own.MaxVersion || generation != own.Generation {
		http.Error(w, "snapshot not served", http.StatusGone)
		return
	}
	if !u.work(r.Context()) {
		return
	}
	item, _ := json.Marshal(fmt.Sprintf("%s/%d: %s", own.Service, own.Shard, request.Query))
	reply(w, upstreamapi.SearchResponse{Version: version, Generation: generation, Items: []json.RawMessage{item}})
}

func (u *Upstream) handleBook(w http.ResponseWriter, r *http.Request) {
	key := r.Header.Get(upstreamapi.HeaderBookingKey)
	u.mu.Lock()
	u.bookings[key]++
	runs := u.bookings[key]
	u.mu.Unlock()
	if !u.work(context.WithoutCancel(r.Context())) {
		return
	}
	reply(w, map[string]any{"upstream": u.config.Announcement.Name, "key": key, "runs": runs})
}

// work holds a slot for the service time; false means that the request was cancelled.
func (u *Upstream) work(ctx context.Context) bool {
	select {
	case u.slots <- struct{}{}:
		defer func() { <-u.slots }()
	case <-ctx.Done():
		return false
	}
	select {
	case <-time.After(u.config.ServiceTime):
		return true
	case <-ctx.Done():
		return false
	}
}

func reply(w http.ResponseWriter, body any) {
	data, err := json.Marshal(body)
	if err != nil {
		http.Error(w, err.Error(), http.StatusInternalServerError)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	_, _ = w.Write(data)
}
