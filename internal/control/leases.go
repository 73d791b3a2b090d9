package control

import (
	"sync"
	"time"

	"github.com/wisteriamux/wisteriamux/internal/model"
)

// LeaseLength is the length of an entry VM's lease. It bounds how long a VM without contact may act on an old view.
const LeaseLength = 4 * time.Second

// lease is the in-memory lease of one instance.
type lease struct {
	instance uint64
	applied  uint64
	expires  time.Time
}

// leaseTable holds the leases that this leader granted. Leases are not replicated: a new leader treats every member
// of the view as leased for one full lease length from its election.
type leaseTable struct {
	// mu guards the fields below.
	mu     sync.Mutex
	term   uint64
	grace  time.Time
	leases map[string]lease
}

func newLeaseTable() *leaseTable {
	return &leaseTable{leases: map[string]lease{}}
}

// enterTerm forgets the leases of an earlier term and starts the grace period.
func (t *leaseTable) enterTerm(term uint64, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.term == term {
		return
	}
	t.term = term
	t.grace = now.Add(LeaseLength)
	t.leases = map[string]lease{}
}

// renew grants a lease to the instance.
func (t *leaseTable) renew(id string, instance, applied uint64, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.leases[id] = lease{instance: instance, applied: applied, expires: now.Add(LeaseLength)}
}

// remaining returns the applied revision and the remaining time of the member's lease.
func (t *leaseTable) remaining(member model.Member, now time.Time) (applied uint64, left time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	held, ok := t.leases[member.ID]
	if !ok || held.instance != member.Instance {
		return 0, t.grace.Sub(now)
	}
	return held.applied, held.expires.Sub(now)
}
