package main

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"sync"
	"time"
)

const (
	heartbeatInterval = 1200 * time.Millisecond
	ackTimeout        = time.Second
	serverQueue       = 12
)

// server is a stand-in for a backend: it runs slots requests at the same time, queues a few more and rejects the others.
type server struct {
	id, service, zone, address string
	directories                []string
	born                       int64
	slots                      chan struct{}
	waiting                    chan struct{}
	http                       *http.Server
	client                     *http.Client
	record                     *record

	// mu guards the fields below.
	mu       sync.Mutex
	sequence int
	state    string
	work     time.Duration
	// drainAcked is when a node acknowledged that the server is draining, zero before.
	drainAcked time.Time
	arrivals   []arrival
}

// arrival is a request that reached the server.
type arrival struct {
	id string
	at time.Time
}

func startServer(id, service string, number, slots int, work time.Duration, directories []string, r *record) (*server, error) {
	listener, err := net.Listen("tcp", address(number, 8080))
	if err != nil {
		return nil, err
	}
	s := &server{
		id: id, service: service, zone: zone(number), address: listener.Addr().String(), directories: directories, born: time.Now().UnixMilli(),
		slots: make(chan struct{}, slots), waiting: make(chan struct{}, slots+serverQueue), record: r, state: "ready", work: work,
		client: &http.Client{Timeout: ackTimeout, Transport: &http.Transport{DisableKeepAlives: true}},
	}
	s.http = &http.Server{Handler: s, ReadHeaderTimeout: time.Minute}
	go func() { _ = s.http.Serve(listener) }()
	r.add("server %s (%s) at %s started", id, service, s.address)
	return s, nil
}

// beat sends heartbeats until the context ends.
func (s *server) beat(ctx context.Context) {
	for ctx.Err() == nil && !s.ended() {
		s.heartbeat(ctx)
		sleep(ctx, heartbeatInterval)
	}
}

func (s *server) ended() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.state == "gone"
}

// heartbeat sends one heartbeat to the nodes in turn until one acknowledges it.
func (s *server) heartbeat(ctx context.Context) bool {
	s.mu.Lock()
	s.sequence++
	body, _ := json.Marshal(map[string]any{
		"service": s.service, "address": s.address, "zone": s.zone, "version": "v1", "slots": cap(s.slots), "state": s.state,
		"cold_remaining_ms": 0, "sequence": s.sequence, "born": s.born,
	})
	state := s.state
	s.mu.Unlock()
	node, ok := s.post(ctx, "/instances/"+s.id+"/heartbeat", body)
	if ok {
		s.acked(state, node)
	}
	return ok
}

// post sends a call to the nodes in turn until one acknowledges it, and returns that node.
func (s *server) post(ctx context.Context, path string, body []byte) (node string, acked bool) {
	for _, node := range s.directories {
		request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+node+path, bytes.NewReader(body))
		if err != nil {
			return "", false
		}
		request.Header.Set("Content-Type", "application/json")
		response, err := s.client.Do(request)
		if err != nil {
			continue
		}
		_ = response.Body.Close()
		if response.StatusCode/100 == 2 {
			return node, true
		}
	}
	return "", false
}

func (s *server) acked(state, node string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if state == "draining" && s.drainAcked.IsZero() {
		s.drainAcked = time.Now()
		s.record.add("server %s: %s acknowledged that it is draining", s.id, node)
	}
}

// drain makes the server report that it is draining, and returns once that is acknowledged or the context ends.
func (s *server) drain(ctx context.Context) {
	s.mu.Lock()
	s.state = "draining"
	s.mu.Unlock()
	s.record.add("server %s reports draining", s.id)
	for ctx.Err() == nil && !s.heartbeat(ctx) {
		sleep(ctx, operatorPause)
	}
}

// setWork changes how long each request takes that begins from now on.
func (s *server) setWork(work time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.work = work
}

// leave makes the server deregister and exit.
func (s *server) leave(ctx context.Context) {
	s.mu.Lock()
	s.state = "gone"
	body, _ := json.Marshal(map[string]any{"born": s.born})
	s.mu.Unlock()
	s.post(ctx, "/instances/"+s.id+"/deregister", body)
	s.record.add("server %s deregisters and exits", s.id)
	_ = s.http.Close()
}

// crash ends the server: its port is closed and its connections break.
func (s *server) crash() {
	s.mu.Lock()
	s.state = "gone"
	s.mu.Unlock()
	s.record.add("server %s crashes", s.id)
	_ = s.http.Close()
}

// ServeHTTP implements http.Handler.
func (s *server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	id := r.Header.Get("Wisteriamux-Request-Id")
	w.Header().Set("Wisteriamux-Request-Id", id)
	if expected := r.Header.Get("Wisteriamux-Expect-Instance"); expected != "" && expected != s.id {
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	s.mu.Lock()
	s.arrivals = append(s.arrivals, arrival{id: id, at: time.Now()})
	s.mu.Unlock()
	select {
	case s.waiting <- struct{}{}:
		defer func() { <-s.waiting }()
	default:
		s.reject(w, id, "full")
		return
	}
	select {
	case s.slots <- struct{}{}:
		defer func() { <-s.slots }()
	case <-r.Context().Done():
		s.record.add("server %s: %s dropped in the queue", s.id, id)
		return
	}
	s.mu.Lock()
	work := s.work
	s.mu.Unlock()
	s.record.add("server %s: %s runs", s.id, id)
	select {
	case <-time.After(work):
	case <-r.Context().Done():
		s.record.add("server %s: %s dropped while it ran", s.id, id)
		return
	}
	w.Header().Set("Wisteriamux-Server-Stamp", s.id+"."+id)
	_, _ = fmt.Fprintf(w, "%s of %s", id, s.id)
	s.record.add("server %s: %s answered", s.id, id)
}

func (s *server) reject(w http.ResponseWriter, id, reason string) {
	w.Header().Set("Wisteriamux-Not-Executed", "1")
	w.WriteHeader(http.StatusServiceUnavailable)
	s.record.add("server %s: %s rejected, %s", s.id, id, reason)
}

// lateArrivals returns the requests that reached the server later than the bound after its draining was acknowledged.
func (s *server) lateArrivals(bound time.Duration) []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	var late []string
	for _, a := range s.arrivals {
		if !s.drainAcked.IsZero() && a.at.Sub(s.drainAcked) > bound {
			late = append(late, fmt.Sprintf("request %s reached server %s %d ms after the acknowledgement that it drains", a.id, s.id,
				a.at.Sub(s.drainAcked).Milliseconds()))
		}
	}
	return late
}

// drainedAt returns when a node acknowledged that the server is draining.
func (s *server) drainedAt() time.Time {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.drainAcked
}
