package main

import (
	"encoding/json"
	"fmt"
	"net/http"
	"time"
)

// The documents of a configuration, with the fields of the users' protocol.
type (
	configDocument struct {
		Version  int               `json:"version"`
		Routes   []routeDocument   `json:"routes"`
		Services []serviceDocument `json:"services"`
		Limits   map[string]int    `json:"limits"`
	}
	routeDocument struct {
		Name            string   `json:"name"`
		Host            string   `json:"host"`
		PathPrefix      string   `json:"path_prefix"`
		RouteType       string   `json:"route_type"`
		TimeoutMS       int      `json:"timeout_ms"`
		TargetLatencyMS int      `json:"target_latency_ms"`
		Priority        int      `json:"priority"`
		Service         string   `json:"service,omitempty"`
		Gather          []string `json:"gather,omitempty"`
		MaxAttempts     int      `json:"max_attempts"`
		TopK            int      `json:"top_k,omitempty"`
		MinCoverage     float64  `json:"min_coverage,omitempty"`
	}
	serviceDocument struct {
		Name       string `json:"name"`
		HealthPath string `json:"health_path"`
		MaxConns   int    `json:"max_conns"`
		Protocol   string `json:"protocol"`
		TLS        bool   `json:"tls"`
	}
)

// usualLimits are the limits of the users' configurations.
func usualLimits() map[string]int {
	return map[string]int{"max_header_bytes": 16384, "max_body_bytes": 262144, "header_timeout_ms": 3000, "idle_timeout_ms": 15000}
}

func serviceOf(name string) serviceDocument {
	return serviceDocument{Name: name, HealthPath: "/health", MaxConns: 100, Protocol: "h1"}
}

// apply sends a configuration to one control member after the other until it is acknowledged.
func (c *cluster) apply(document configDocument) error {
	body, err := json.Marshal(document)
	if err != nil {
		return err
	}
	deadline := time.Now().Add(20 * time.Second)
	for time.Now().Before(deadline) {
		for _, control := range c.controls() {
			status, answer, err := post(control, "/config/replace", body)
			if err == nil && status == http.StatusOK {
				c.rec.note("configuration %d acknowledged", document.Version)
				return nil
			}
			if status == http.StatusBadRequest {
				return fmt.Errorf("configuration %d refused: %s", document.Version, answer)
			}
		}
		time.Sleep(200 * time.Millisecond)
	}
	return fmt.Errorf("configuration %d not acknowledged", document.Version)
}

// awaitReady waits until all front machines are ready.
func (c *cluster) awaitReady() error {
	deadline := time.Now().Add(20 * time.Second)
	for _, m := range c.fronts {
		for {
			response, err := controlClient.Get("http://" + m.at(c.readyPort) + "/ready")
			if err == nil {
				_ = response.Body.Close()
				if response.StatusCode == http.StatusOK {
					break
				}
			}
			if time.Now().After(deadline) {
				return fmt.Errorf("%s is not ready", m.name)
			}
			time.Sleep(100 * time.Millisecond)
		}
	}
	return nil
}
