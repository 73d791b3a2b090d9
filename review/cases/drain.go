package main

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"time"
)

const (
	drainMillis = 3000
	// The servers and their slots are those of the service fahrer-app.
	drainServers = 10
	drainSlots   = 3
	// usualWork is the duration of the longer requests of that service, and slowFactor that of the disruption.
	usualWork  = 700 * time.Millisecond
	slowFactor = 12
	// slowFor is how long one server is slow before it crashes. servedOn is how long a server serves after the acknowledgement that
	// it drains: drain_ms and a little longer. It exits then.
	slowFor  = 7500 * time.Millisecond
	servedOn = 5500 * time.Millisecond
	// releaseGap is the time between two servers of a release.
	releaseGap = time.Second
	released   = 5
	// rounds is the number of releases that are tried.
	rounds    = 5
	clients   = 60
	deadline  = 10 * time.Second
	settle    = 4 * time.Second
	clientGap = 4 * time.Millisecond
)

// drainCase replaces servers of a service one after the other while another one is slow and then crashes. No request may reach a
// server later than drain_ms after the acknowledgement that it drains.
func drainCase(ctx context.Context, r *record, trouble bool) error {
	c, err := startCluster(clusterConfig{cores: 3, fronts: 2, retryFloor: 10}, r)
	if c != nil {
		defer c.stop()
	}
	if err != nil {
		return err
	}
	beats, cancel := context.WithCancel(ctx)
	defer cancel()
	p := &drainPlay{cluster: c, record: r, beats: beats}
	defer p.closeAll()
	if err := p.prepare(ctx); err != nil {
		return err
	}
	for round := range rounds {
		if err := p.play(ctx, round, trouble); err != nil {
			return err
		}
		for _, s := range p.all {
			for _, late := range s.lateArrivals(drainMillis * time.Millisecond) {
				r.violate("%s", late)
			}
		}
		if len(r.violations) > 0 {
			return nil
		}
	}
	return nil
}

// drainPlay is the state of the case.
type drainPlay struct {
	cluster *cluster
	record  *record
	// beats ends when the servers stop to send heartbeats.
	beats context.Context
	// ready holds the servers that are not draining, all also those that have ended.
	ready, all []*server
	requests   int
	// leaving waits for the servers that drain.
	leaving sync.WaitGroup
}

func (p *drainPlay) prepare(ctx context.Context) error {
	for range drainServers {
		if _, err := p.add(); err != nil {
			return err
		}
	}
	config := configuration{Version: 1, Limits: usualLimits,
		Services: []serviceSpec{{Name: "fahrer", HealthPath: "/health", MaxConns: 100, Protocol: "h1"}},
		Routes: []routeSpec{{Name: "slips", Host: "pupu76.example", PathPrefix: "/slips/", RouteType: "safe", TimeoutMS: int(deadline.Milliseconds()),
			TargetLatency: 600, Priority: 2, Service: "fahrer", MaxAttempts: 2}},
	}
	start, cancel := context.WithTimeout(ctx, startTimeout)
	defer cancel()
	if !newOperator("a", p.record).replace(start, p.cluster.directories(), 1, config.document()) {
		return fmt.Errorf("the configuration was not accepted")
	}
	if err := p.cluster.awaitReady(); err != nil {
		return err
	}
	sleep(ctx, settle)
	return nil
}

// add starts another server of the service.
func (p *drainPlay) add() (*server, error) {
	n := len(p.all)
	s, err := startServer(fmt.Sprintf("i-%02d", n), "fahrer", firstServer+n, drainSlots, usualWork, p.cluster.directories(), p.record)
	if err != nil {
		return nil, err
	}
	p.all, p.ready = append(p.all, s), append(p.ready, s)
	go s.beat(p.beats)
	return s, nil
}

// play sends requests, makes one server slow, replaces others, and lets the slow one crash.
func (p *drainPlay) play(ctx context.Context, round int, trouble bool) error {
	p.record.add("round %d", round+1)
	slow := p.ready[0]
	if trouble {
		slow.setWork(slowFactor * usualWork)
		p.record.add("server %s is %d times slower", slow.id, slowFactor)
	}
	began := time.Now()
	var inFlight sync.WaitGroup
	for range clients {
		front := p.cluster.fronts[p.requests%len(p.cluster.fronts)]
		p.requests++
		id := fmt.Sprintf("%016x", p.requests)
		inFlight.Add(1)
		go func() {
			defer inFlight.Done()
			p.get(front, id)
		}()
		time.Sleep(clientGap)
	}
	leaving := append([]*server{}, p.ready[1:1+released]...)
	for _, s := range leaving {
		if _, err := p.add(); err != nil {
			return err
		}
		s.drain(ctx)
		p.remove(s)
		p.leaving.Go(func() {
			sleep(ctx, time.Until(s.drainedAt().Add(servedOn)))
			s.leave(ctx)
		})
		sleep(ctx, releaseGap)
	}
	sleep(ctx, time.Until(began.Add(slowFor)))
	if trouble {
		slow.crash()
		p.remove(slow)
	}
	inFlight.Wait()
	p.leaving.Wait()
	if trouble {
		if _, err := p.add(); err != nil {
			return err
		}
	}
	sleep(ctx, settle)
	return nil
}

func (p *drainPlay) remove(gone *server) {
	var kept []*server
	for _, s := range p.ready {
		if s != gone {
			kept = append(kept, s)
		}
	}
	p.ready = kept
}

func (p *drainPlay) closeAll() {
	for _, s := range p.all {
		_ = s.http.Close()
	}
}

// get sends one request to a front machine and records the answer.
func (p *drainPlay) get(front *machine, id string) {
	status, err := get(address(front.number, frontPort), "pupu76.example", "/slips/"+id, id, deadline)
	p.record.add("client: %s at %s: %s", id, front.name, outcome(status, err))
}

// get sends a request on a new connection and returns the status of the answer.
func get(node, host, path, id string, limit time.Duration) (int, error) {
	conn, err := net.DialTimeout("tcp", node, time.Second)
	if err != nil {
		return 0, err
	}
	defer func() { _ = conn.Close() }()
	_ = conn.SetDeadline(time.Now().Add(limit))
	if _, err := fmt.Fprintf(conn, "GET %s HTTP/1.1\r\nHost: %s\r\nWisteriamux-Request-Id: %s\r\nWisteriamux-Deadline-Ms: %d\r\n\r\n", path, host, id,
		limit.Milliseconds()); err != nil {
		return 0, err
	}
	response, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		return 0, err
	}
	defer func() { _ = response.Body.Close() }()
	_, err = io.Copy(io.Discard, response.Body)
	return response.StatusCode, err
}
