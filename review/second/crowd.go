package main

import (
	"bytes"
	"fmt"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// crowdClients is the number of clients of the crowd at each front machine, and oddLines the number of short header lines that each
	// of their requests has.
	crowdClients = 700
	oddLines     = 10
	crowdTime    = 85 * time.Second
	// memorySample is the time between two looks at the memory of a process.
	memorySample = 20 * time.Millisecond
)

// crowd plays clients that nobody controls: each sends a small search and, whatever the answer, the next one at once.
func crowd(rec *record, trouble bool) (int, error) {
	s := smallShape()
	s.fronts, s.memoryMB, s.cpuShare = 4, 184, 0.192
	t, err := newSite(rec, s, size{shards: 20, copies: 2, singles: 2, work: 20 * time.Millisecond})
	if err != nil {
		return notRun, err
	}
	done := make(chan struct{})
	defer close(done)
	for _, m := range t.fronts {
		go m.watchMemory(s.memoryMB, done)
	}
	odd := ""
	for n := range oddLines {
		odd += fmt.Sprintf("x%d:\r\n", n)
	}
	var served, refused, other atomic.Int64
	play := func(m *machine) {
		c, err := connect(m.at(t.frontPort))
		if err != nil {
			other.Add(1)
			time.Sleep(100 * time.Millisecond)
			return
		}
		defer c.close()
		switch a := c.send(http.MethodGet, head(http.MethodGet, "/all/x", siteHost, newRequestID(), 2500*time.Millisecond, odd), 4*time.Second); a.status {
		case http.StatusOK:
			served.Add(1)
		case http.StatusServiceUnavailable:
			refused.Add(1)
		default:
			other.Add(1)
		}
	}
	clients := 1
	if trouble {
		clients = crowdClients
	}
	rec.note("%d clients at each of %d front machines", clients, len(t.fronts))
	var wg sync.WaitGroup
	var over atomic.Bool
	end := time.Now().Add(crowdTime)
	for _, m := range t.fronts {
		for range clients {
			wg.Go(func() {
				for !over.Load() {
					play(m)
				}
			})
		}
	}
	for time.Now().Before(end) && t.fallen() < 2 {
		time.Sleep(time.Second)
		var b bytes.Buffer
		for _, m := range t.fronts {
			fmt.Fprintf(&b, " %s %d MB", m.name, m.residentKB()>>10)
		}
		rec.note("%s; %d served, %d refused, %d other", b.String(), served.Load(), refused.Load(), other.Load())
	}
	over.Store(true)
	wg.Wait()
	return t.judgeEnds(), nil
}

// residentKB returns the resident memory of the process, 0 if it does not run.
func (p *process) residentKB() int64 {
	data, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", p.pid()))
	if err != nil {
		return 0
	}
	for line := range strings.SplitSeq(string(data), "\n") {
		if fields := strings.Fields(line); len(fields) >= 2 && fields[0] == "VmRSS:" {
			kb, _ := strconv.ParseInt(fields[1], 10, 64)
			return kb
		}
	}
	return 0
}

func (p *process) pid() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.cmd == nil || p.cmd.Process == nil {
		return 0
	}
	return p.cmd.Process.Pid
}

// watchMemory kills the process whenever it uses more than the memory of its machine, as the platform does, until done is closed.
func (p *process) watchMemory(limitMB int, done <-chan struct{}) {
	for {
		select {
		case <-done:
			return
		case <-time.After(memorySample):
		}
		kb := p.residentKB()
		if kb <= int64(limitMB)<<10 {
			continue
		}
		p.rec.note("%s uses %d MB, its machine has %d MB: killed", p.name, kb>>10, limitMB)
		p.mu.Lock()
		cmd := p.cmd
		p.mu.Unlock()
		_ = cmd.Process.Kill()
		time.Sleep(restartDelay)
	}
}
