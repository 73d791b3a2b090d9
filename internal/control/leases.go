package control

import (
	"sync"
	"time"

	"github.com/wisteriamux/wisteriamux/internal/model"
)

const (
	// LeaseLength is the length of an entry VM's lease. It bounds how long a VM without contact may act on an old view.
	LeaseLength = 4 * time.Second
	// BehindGrace is how long a VM may serve from a view older than an accepted revision and still extend its lease.
	// With LeaseLength it bounds the time to in force at 6 s, which leaves 4 s of the bound of 10 s for an election.
	BehindGrace = 2 * time.Second
)

// holder names one instance of an entry VM.
type holder struct {
	id       string
	instance uint64
}

// lease is the in-memory lease of one instance.
type lease struct {
	applied uint64
	expires time.Time
	// granted is false for an instance that has joined but holds no lease yet.
	granted bool
}

// leaseTable holds the leases that this leader granted. Leases are not replicated: a new leader treats every instance
// as leased for one full lease length from its election, whether the view names it or not, because its predecessor
// may have granted a lease to an instance that was fenced since.
type leaseTable struct {
	// mu guards the fields below.
	mu     sync.Mutex
	term   uint64
	grace  time.Time
	leases map[holder]lease
}

func newLeaseTable() *leaseTable {
	return &leaseTable{leases: map[holder]lease{}}
}

// enterTerm forgets the leases of an earlier term and starts the grace period.
func (t *leaseTable) enterTerm(term uint64, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.term >= term {
		return
	}
	t.term = term
	t.grace = now.Add(LeaseLength)
	t.leases = map[holder]lease{}
}

// join keeps a new instance from expiring before its first renewal.
func (t *leaseTable) join(who holder, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.leases[who] = lease{expires: now.Add(LeaseLength)}
}

// renewal is a request to extend a lease.
type renewal struct {
	who     holder
	applied uint64
	// tolerated is the revision that a VM with a running lease must have applied.
	tolerated uint64
	// revision returns the current revision, which a VM without a running lease must have applied. It is read under
	// the table's lock: otherwise a lease on an older view could begin after inForce reported the newer one.
	revision func() uint64
}

// renew extends the lease of the instance and returns the time that it has left. A VM that is behind keeps what is
// left of its lease: it may serve until then and read the newer view meanwhile.
func (t *leaseTable) renew(asked renewal, now time.Time) time.Duration {
	t.mu.Lock()
	defer t.mu.Unlock()
	held := t.leases[asked.who]
	left := max(held.expires.Sub(now), 0)
	if !held.granted {
		left = 0
	}
	needed := max(asked.tolerated, held.applied)
	if left == 0 {
		needed = asked.revision()
	}
	if asked.applied < needed {
		return left
	}
	t.leases[asked.who] = lease{applied: asked.applied, expires: now.Add(LeaseLength), granted: true}
	return LeaseLength
}

// remaining returns the applied revision and the remaining time of the member's lease.
func (t *leaseTable) remaining(member model.Member, now time.Time) (applied uint64, left time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	held, ok := t.leases[holder{member.ID, member.Instance}]
	if !ok {
		return 0, t.grace.Sub(now)
	}
	return held.applied, held.expires.Sub(now)
}

// inForce returns the highest revision, up to the current one, that no running lease is behind. It is 0 during the
// grace period, since the leases of the previous leader are unknown. Ended leases are dropped.
func (t *leaseTable) inForce(current uint64, now time.Time) uint64 {
	t.mu.Lock()
	defer t.mu.Unlock()
	if now.Before(t.grace) {
		return 0
	}
	for who, held := range t.leases {
		if !now.Before(held.expires) {
			delete(t.leases, who)
			continue
		}
		if held.granted {
			current = min(current, held.applied)
		}
	}
	return current
}
