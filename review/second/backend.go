package main

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"
)

const (
	heartbeatInterval = 1200 * time.Millisecond
	callTimeout       = time.Second
	recordBytes       = 16
)

// run is a request that a backend has run.
type run struct {
	at       time.Time
	backend  string
	id       string
	method   string
	target   string
	instance string
	tenant   string
	body     string
}

// backend is a stand-in for a server of the users. It registers itself, and runs the requests that are meant for it.
type backend struct {
	id, service, zone string
	born              int64
	work              time.Duration
	respBytes         int
	rec               *record
	controls          []string
	server            *http.Server
	listener          net.Listener
	sequence          atomic.Uint64
	served            atomic.Int64
	acked             atomic.Int64
	slots             chan struct{}
	stop              chan struct{}

	mu   sync.Mutex
	runs []run
}

// newBackend starts a backend that reports to the control members.
func newBackend(rec *record, controls []string, id, service, zone, ip string, work time.Duration) (*backend, error) {
	b, err := startBackend(rec, id, service, zone, ip, work)
	if err != nil {
		return nil, err
	}
	b.controls = controls
	go b.beat()
	return b, nil
}

// startBackend starts a backend that sends no heartbeats by itself.
func startBackend(rec *record, id, service, zone, ip string, work time.Duration) (*backend, error) {
	l, err := net.Listen("tcp", net.JoinHostPort(ip, "0"))
	if err != nil {
		return nil, err
	}
	b := &backend{
		id: id, service: service, zone: zone, born: time.Now().UnixMilli(), work: work, respBytes: 200, rec: rec, listener: l,
		slots: make(chan struct{}, 2), stop: make(chan struct{}),
	}
	b.server = &http.Server{Handler: http.HandlerFunc(b.serve)}
	go func() { _ = b.server.Serve(l) }()
	return b, nil
}

func (b *backend) host() string { return b.listener.Addr().(*net.TCPAddr).IP.String() }

func (b *backend) address() string { return b.listener.Addr().String() }

func (b *backend) close() {
	close(b.stop)
	_ = b.server.Close()
}

// serve runs one request, or rejects it.
func (b *backend) serve(w http.ResponseWriter, r *http.Request) {
	id := r.Header.Get("Wisteriamux-Request-Id")
	w.Header().Set("Wisteriamux-Request-Id", id)
	w.Header().Set("Keep-Alive", "timeout=20")
	switch instance := r.Header.Get("Wisteriamux-Expect-Instance"); {
	case instance != "" && instance != b.id:
		w.Header().Set("Wisteriamux-Not-Executed", "1")
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	case id == "":
		w.Header().Set("Wisteriamux-Not-Executed", "1")
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	select {
	case b.slots <- struct{}{}:
		defer func() { <-b.slots }()
	case <-time.After(400 * time.Millisecond):
		w.Header().Set("Wisteriamux-Not-Executed", "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	case <-r.Context().Done():
		return
	}
	body, _ := io.ReadAll(r.Body)
	b.mu.Lock()
	b.runs = append(b.runs, run{
		at: time.Now(), backend: b.id, id: id, method: r.Method, target: r.RequestURI, instance: r.Header.Get("Wisteriamux-Expect-Instance"),
		tenant: r.Header.Get("Wisteriamux-Tenant"), body: string(body[:min(len(body), 64)]),
	})
	b.mu.Unlock()
	select {
	case <-time.After(b.work):
	case <-r.Context().Done():
		return
	}
	w.Header().Set("Wisteriamux-Server-Stamp", fmt.Sprintf("%s.%s.%d", b.id, id, b.served.Add(1)))
	w.Header().Set("Content-Type", "application/octet-stream")
	answer := bytes.Repeat([]byte(fmt.Sprintf("%-16.16s", b.id)), b.respBytes/recordBytes)
	w.Header().Set("Content-Length", fmt.Sprint(len(answer)))
	_, _ = w.Write(answer)
}

// ran returns the requests that the backend has run.
func (b *backend) ran() []run {
	b.mu.Lock()
	defer b.mu.Unlock()
	return append([]run(nil), b.runs...)
}

// beat sends heartbeats until the backend is closed.
func (b *backend) beat() {
	for n := 0; ; n++ {
		b.heartbeat()
		select {
		case <-b.stop:
			return
		case <-time.After(heartbeatInterval):
		}
	}
}

func (b *backend) heartbeat() {
	document := heartbeatDocument{
		Service: b.service, Address: b.address(), Zone: b.zone, Version: "v1", Slots: cap(b.slots), State: "ready", Sequence: b.sequence.Add(1), Born: b.born,
	}
	body, _ := json.Marshal(document)
	for _, control := range b.controls {
		if status, _, err := post(control, "/instances/"+b.id+"/heartbeat", body); err == nil && status/100 == 2 {
			b.acked.Add(1)
			return
		}
	}
}

// heartbeatDocument is what a backend says of itself.
type heartbeatDocument struct {
	Service         string `json:"service"`
	Address         string `json:"address"`
	Zone            string `json:"zone"`
	Version         string `json:"version"`
	Slots           int    `json:"slots"`
	State           string `json:"state"`
	ColdRemainingMS int64  `json:"cold_remaining_ms"`
	Sequence        uint64 `json:"sequence"`
	Born            int64  `json:"born"`
}

var controlClient = &http.Client{Timeout: callTimeout, Transport: &http.Transport{DisableKeepAlives: true}}

// post sends a call to a control API.
func post(address, path string, body []byte) (status int, answer string, err error) {
	response, err := controlClient.Post("http://"+address+path, "application/json", bytes.NewReader(body))
	if err != nil {
		return 0, "", err
	}
	defer func() { _ = response.Body.Close() }()
	text, err := io.ReadAll(response.Body)
	return response.StatusCode, string(text), err
}

// rawPost returns the bytes of a call that ends its connection.
func rawPost(path string, body []byte) string {
	return fmt.Sprintf("POST %s HTTP/1.1\r\nHost: control\r\nContent-Type: application/json\r\nConnection: close\r\nContent-Length: %d\r\n\r\n%s", path, len(body), body)
}
