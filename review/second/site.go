package main

import (
	"fmt"
	"time"
)

const siteHost = "nyra85.example"

// smallShape is a deployment like that of bw-marktsuche, with fewer machines.
func smallShape() shape {
	return shape{cores: 3, fronts: 2, zones: []string{"halle-a", "halle-b"}, memoryMB: 284, cpuShare: 0.4}
}

// site is a cluster with backends and a configuration: a search over shards, and two routes to one service.
type site struct {
	*cluster
	backends []*backend
	shards   []string
	config   configDocument
}

// size is the number of shards of a site, of backends of each shard and of the service.
type size struct {
	shards, copies, singles int
	work                    time.Duration
}

func newSite(rec *record, s shape, z size) (*site, error) {
	c, err := newCluster(rec, s)
	if err != nil {
		return nil, err
	}
	t := &site{cluster: c}
	onExit(t.end)
	return t, t.begin(s, z)
}

func (t *site) begin(s shape, z size) error {
	if err := t.start(); err != nil {
		return err
	}
	t.config = configDocument{Version: 3, Limits: usualLimits()}
	for n := range z.shards {
		t.shards = append(t.shards, fmt.Sprintf("shard%02d", n))
	}
	for _, name := range append([]string{"single"}, t.shards...) {
		t.config.Services = append(t.config.Services, serviceOf(name))
	}
	t.config.Routes = []routeDocument{
		{Name: "r-one", Host: siteHost, PathPrefix: "/one/", RouteType: "safe", TimeoutMS: 10000, TargetLatencyMS: 600, Priority: 2, Service: "single", MaxAttempts: 2},
		{Name: "r-book", Host: siteHost, PathPrefix: "/book/", RouteType: "unsafe", TimeoutMS: 10000, TargetLatencyMS: 600, Priority: 2, Service: "single", MaxAttempts: 2},
	}
	if z.shards > 0 {
		t.config.Routes = append(t.config.Routes, routeDocument{
			Name: "r-all", Host: siteHost, PathPrefix: "/all/", RouteType: "safe", TimeoutMS: 2500, TargetLatencyMS: 150, Priority: 1, Gather: t.shards,
			MaxAttempts: 2, TopK: 10, MinCoverage: 0.89,
		})
	}
	if err := t.apply(t.config); err != nil {
		return err
	}
	add := func(service string, n int) error {
		b, err := newBackend(t.rec, t.controls(), fmt.Sprintf("i-%s-%d", service, n), service, s.zones[n%len(s.zones)], fmt.Sprintf("127.%d.3.%d", t.block, len(t.backends)%250+1), z.work)
		if err == nil {
			t.backends = append(t.backends, b)
		}
		return err
	}
	for n := range z.singles {
		if err := add("single", n); err != nil {
			return err
		}
	}
	for _, shard := range t.shards {
		for n := range z.copies {
			if err := add(shard, n); err != nil {
				return err
			}
		}
	}
	if err := t.awaitReady(); err != nil {
		return err
	}
	time.Sleep(2 * heartbeatInterval)
	t.rec.note("%d backends registered, %d front machines ready", len(t.backends), len(t.fronts))
	return nil
}

func (t *site) end() {
	for _, b := range t.backends {
		b.close()
	}
	t.stop()
}
