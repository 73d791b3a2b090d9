package control

import (
	"sync"
	"time"

	"github.com/wisteriamux/wisteriamux/internal/model"
)

// LeaseLength is the length of an entry VM's lease. It bounds how long a VM may act on an old view: a VM without contact
// because its lease ends, and a VM that renews but does not read a newer view because its lease is not extended beyond
// this time after the change. The bound of 5 s for a leaving upstream leaves 1 s for the announcement to be accepted.
const LeaseLength = 4 * time.Second

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

// leave drops the lease of an instance that gave it up before it asked for its removal, so that a planned stop does not
// delay a change until the lease would have ended.
func (t *leaseTable) leave(who holder) {
	t.mu.Lock()
	defer t.mu.Unlock()
	delete(t.leases, who)
}

// renew extends the lease of the instance and returns the time that it has left. behind returns when the first change
// that the VM has not applied was accepted, or false if there is none. It is called under the table's lock: otherwise a
// lease on an older view could begin after inForce reported the newer one.
func (t *leaseTable) renew(who holder, applied uint64, behind func(applied uint64) (time.Time, bool), now time.Time) time.Duration {
	t.mu.Lock()
	defer t.mu.Unlock()
	held := t.leases[who]
	running := held.granted && now.Before(held.expires)
	from := now
	if change, isBehind := behind(applied); isBehind {
		if !running {
			// A lease begins only on the current revision, so that a lapsed VM cannot come back with an old view.
			return 0
		}
		from = change
	}
	if applied < held.applied {
		// An applied revision never moves backwards within an instance, so this renewal was overtaken.
		return held.expires.Sub(now)
	}
	// Both ends are one lease length after a time at which the VM was not behind, and the later one holds.
	expires := from.Add(LeaseLength)
	if running && held.expires.After(expires) {
		expires = held.expires
	}
	t.leases[who] = lease{applied: applied, expires: expires, granted: true}
	return expires.Sub(now)
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
// grace period, since the leases of the previous leader are unknown. An ended lease does not count, because the next
// one begins only on the current revision. Ended leases are dropped.
func (t *leaseTable) inForce(current uint64, now time.Time) uint64 {
	t.mu.Lock()
	defer t.mu.Unlock()
	if now.Before(t.grace) {
		return 0
	}
	for who, held := range t.leases {
		switch {
		case !now.Before(held.expires):
			delete(t.leases, who)
		case held.granted:
			current = min(current, held.applied)
		}
	}
	return current
}
