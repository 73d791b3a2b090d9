package main

import (
	"context"
	"errors"
	"strings"
	"syscall"
	"time"
)

const (
	// catchUp is the bound catch_up_s: how long a machine counts as lost after its start.
	catchUp = 4 * time.Second
	// tolerated is the number of machines with a disk that may be lost at the same time.
	tolerated = 2
	// replaced is the number of machines that are replaced as planned, not more than may be lost.
	replaced = 2
	// lossAfter is the time from the last removal to the loss, several times catch_up_s.
	lossAfter = 20 * time.Second
	// successorAfter is the time after which the successor of a lost machine starts.
	successorAfter = time.Second
	// afterLoss is how long the operator goes on after the loss, far beyond recovery_s (12 s).
	afterLoss = 40 * time.Second
	// finalReads is how long the operator reads the configuration at the end: the bound stability_window_ms and more.
	finalReads = 8 * time.Second
	joinLimit  = 20 * time.Second
)

// replaceCase replaces two of five core machines as planned, and loses two others later. Their successors start, too. At the end the
// configuration must be readable.
func replaceCase(ctx context.Context, r *record, trouble bool) error {
	c, err := startCluster(clusterConfig{cores: 5, fronts: 1, retryFloor: 54}, r)
	if c != nil {
		defer c.stop()
	}
	if err != nil {
		return err
	}
	o := newOperator("a", r)
	start, cancel := context.WithTimeout(ctx, startTimeout)
	defer cancel()
	if !o.replace(start, c.directories(), 1, smallConfiguration(1).document()) {
		return errors.New("the first configuration was not accepted")
	}
	if err := c.awaitVoters(ctx, 5); err != nil {
		return err
	}
	sleep(ctx, catchUp)

	leaving, lost := c.chooseMachines()
	for range leaving {
		if _, err := c.addCore(); err != nil {
			return err
		}
	}
	sleep(ctx, catchUp)
	for _, m := range leaving {
		c.terminate(m)
		r.add("%s is removed, the successors have run for %s", m.name, catchUp)
	}
	if !o.replace(ctx, c.directories(), 2, smallConfiguration(2).document()) {
		return errors.New("the second configuration was not accepted")
	}
	sleep(ctx, lossAfter)
	if trouble {
		for _, m := range lost {
			c.kill(m)
		}
		sleep(ctx, successorAfter)
		for range lost {
			if _, err := c.addCore(); err != nil {
				return err
			}
		}
	}
	send, stop := context.WithTimeout(ctx, afterLoss)
	defer stop()
	if o.replace(send, c.directories(), 3, smallConfiguration(3).document()) {
		r.add("version 3 is acknowledged")
	}
	for end := time.Now().Add(finalReads); time.Now().Before(end) && ctx.Err() == nil; sleep(ctx, operatorPause) {
		for _, node := range c.directories() {
			if version := o.read(ctx, node); version >= 2 {
				return nil
			}
		}
	}
	r.violate("read back at the end, the configuration does not come from any of the %d running machines: version 2 was acknowledged, and %d machines were lost",
		len(c.directories()), tolerated)
	return nil
}

// chooseMachines returns the core machines to replace, which do not lead, and those to lose.
func (c *cluster) chooseMachines() (leaving, lost []*machine) {
	leader, err := c.leader()
	if err != nil {
		leader = c.cores[0]
	}
	c.record.add("%s leads", leader.name)
	for _, m := range c.cores {
		switch {
		case m == leader:
		case len(leaving) < replaced:
			leaving = append(leaving, m)
		case len(lost) < tolerated:
			lost = append(lost, m)
		}
	}
	return leaving, lost
}

// awaitVoters waits until the control group has the number of voters, according to the log of its members.
func (c *cluster) awaitVoters(ctx context.Context, voters int) error {
	for deadline := time.Now().Add(joinLimit); time.Now().Before(deadline) && ctx.Err() == nil; sleep(ctx, operatorPause) {
		line, err := c.lastLine("membership changed")
		if err != nil {
			return err
		}
		if strings.Count(line, "/voter") == voters {
			c.record.add("the control group has %d voters", voters)
			return nil
		}
	}
	return errNotReady
}

// terminate sends SIGTERM and waits for the end of the process.
func (c *cluster) terminate(m *machine) {
	c.signal(m, syscall.SIGTERM)
	_ = m.command.Wait()
	c.record.add("%s has ended", m.name)
	c.retire(m)
}

// kill ends the process of a machine, which does not come back.
func (c *cluster) kill(m *machine) {
	c.signal(m, syscall.SIGKILL)
	_ = m.command.Wait()
	c.retire(m)
}

// retire closes the links of a machine that is gone.
func (c *cluster) retire(m *machine) {
	m.gone = true
	for _, l := range m.links {
		l.close()
	}
}

// smallConfiguration returns a configuration with one route.
func smallConfiguration(version int) configuration {
	return configuration{
		Version: version, Limits: usualLimits, Services: []serviceSpec{{Name: "fahrer", HealthPath: "/health", MaxConns: 100, Protocol: "h1"}},
		Routes: []routeSpec{{Name: "slips", Host: "pupu76.example", PathPrefix: "/slips/", RouteType: "safe", TimeoutMS: 10000, TargetLatency: 600,
			Priority: 2, Service: "fahrer", MaxAttempts: 2}},
	}
}
