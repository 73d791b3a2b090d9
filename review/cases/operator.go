package main

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"time"
)

const (
	operatorTimeout = time.Second
	// largeOrderTimeout is how long the operator waits for the answer to a large order.
	largeOrderTimeout = 2 * time.Second
	operatorPause     = 200 * time.Millisecond
)

// operator is a stand-in for the users' operator: it sends an order to one node after the other until one answers clearly.
type operator struct {
	name   string
	record *record
	client *http.Client
}

func newOperator(name string, r *record) *operator {
	return &operator{name: name, record: r, client: &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}}
}

// replace sends a configuration to the nodes in turn until one acknowledges it or the context ends.
func (o *operator) replace(ctx context.Context, nodes []string, version int, document []byte) bool {
	timeout := operatorTimeout
	if len(document) > 64<<10 {
		timeout = largeOrderTimeout
	}
	for attempt := 0; ctx.Err() == nil; attempt++ {
		node := nodes[attempt%len(nodes)]
		status, _, err := o.call(ctx, timeout, http.MethodPost, "http://"+node+"/config/replace", document)
		o.record.add("operator %s: version %d (%d bytes) to %s: %s", o.name, version, len(document), node, outcome(status, err))
		if status == http.StatusOK {
			return true
		}
		sleep(ctx, min(time.Duration(attempt+1)*operatorPause, operatorTimeout))
	}
	return false
}

// read asks a node for the configuration and returns its version, or 0 if it does not come.
func (o *operator) read(ctx context.Context, node string) int {
	status, body, err := o.call(ctx, operatorTimeout, http.MethodGet, "http://"+node+"/config/read", nil)
	var document struct {
		Version int `json:"version"`
	}
	if status == http.StatusOK && json.Unmarshal(body, &document) != nil {
		document.Version = 0
	}
	o.record.add("operator %s: read from %s: %s, version %d", o.name, node, outcome(status, err), document.Version)
	return document.Version
}

func (o *operator) call(ctx context.Context, timeout time.Duration, method, url string, body []byte) (status int, answer []byte, err error) {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, method, url, bytes.NewReader(body))
	if err != nil {
		return 0, nil, err
	}
	if len(body) > 0 {
		request.Header.Set("Content-Type", "application/json")
	}
	response, err := o.client.Do(request)
	if err != nil {
		return 0, nil, err
	}
	defer func() { _ = response.Body.Close() }()
	answer, err = io.ReadAll(response.Body)
	return response.StatusCode, answer, err
}

func outcome(status int, err error) string {
	if err != nil {
		return "no answer"
	}
	return fmt.Sprint(status)
}

// sleep waits for the duration or until the context ends.
func sleep(ctx context.Context, d time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(d):
	}
}

// routeSpec is a route of a configuration.
type routeSpec struct {
	Name          string   `json:"name"`
	Host          string   `json:"host"`
	PathPrefix    string   `json:"path_prefix"`
	RouteType     string   `json:"route_type"`
	TimeoutMS     int      `json:"timeout_ms"`
	TargetLatency int      `json:"target_latency_ms"`
	Priority      int      `json:"priority"`
	Service       string   `json:"service,omitempty"`
	Gather        []string `json:"gather,omitempty"`
	MaxAttempts   int      `json:"max_attempts"`
	TopK          int      `json:"top_k,omitempty"`
	MinCoverage   float64  `json:"min_coverage,omitempty"`
}

type serviceSpec struct {
	Name       string `json:"name"`
	HealthPath string `json:"health_path"`
	MaxConns   int    `json:"max_conns"`
	Protocol   string `json:"protocol"`
	TLS        bool   `json:"tls"`
}

type limitSpec struct {
	MaxHeaderBytes  int `json:"max_header_bytes"`
	MaxBodyBytes    int `json:"max_body_bytes"`
	HeaderTimeoutMS int `json:"header_timeout_ms"`
	IdleTimeoutMS   int `json:"idle_timeout_ms"`
}

type configuration struct {
	Version  int           `json:"version"`
	Routes   []routeSpec   `json:"routes"`
	Services []serviceSpec `json:"services"`
	Limits   limitSpec     `json:"limits"`
}

func (c configuration) document() []byte {
	// Marshalling these types cannot fail.
	document, _ := json.Marshal(c)
	return document
}

var usualLimits = limitSpec{MaxHeaderBytes: 16384, MaxBodyBytes: 262144, HeaderTimeoutMS: 3000, IdleTimeoutMS: 15000}
