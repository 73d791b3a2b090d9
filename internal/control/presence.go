package control

import (
	"sync"
	"time"
)

// presence tracks when each name was last seen. It is safe for concurrent use.
type presence struct {
	// mu guards the fields below.
	mu   sync.Mutex
	term uint64
	// since is when this member entered the term.
	since    time.Time
	lastSeen map[string]time.Time
}

func newPresence() *presence { return &presence{lastSeen: map[string]time.Time{}} }

// enterTerm clears the table in a new term, because the names may have reported to other leaders in the meantime.
func (p *presence) enterTerm(term uint64, now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.term == term {
		return
	}
	p.term = term
	p.since = now
	clear(p.lastSeen)
}

func (p *presence) record(name string, now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.lastSeen[name] = now
}

func (p *presence) remove(name string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	delete(p.lastSeen, name)
}

// silentFor returns the time since the name was last seen, or since the term began if that is later.
func (p *presence) silentFor(name string, now time.Time) time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	last := p.since
	if lastSeen, ok := p.lastSeen[name]; ok && lastSeen.After(last) {
		last = lastSeen
	}
	return now.Sub(last)
}

// settledCount returns how many names were seen within the window, or 0 until settle has passed since the term began,
// since not all names have reported to the new leader before.
func (p *presence) settledCount(window, settle time.Duration, now time.Time) int {
	seen := p.count(window, now)
	p.mu.Lock()
	defer p.mu.Unlock()
	if now.Sub(p.since) < settle {
		return 0
	}
	return seen
}

// count returns how many names were seen within the window, and removes the others.
func (p *presence) count(window time.Duration, now time.Time) int {
	p.mu.Lock()
	defer p.mu.Unlock()
	for name, at := range p.lastSeen {
		if now.Sub(at) > window {
			delete(p.lastSeen, name)
		}
	}
	return len(p.lastSeen)
}
