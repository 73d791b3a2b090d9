package control

import (
	"sync"
	"time"

	"github.com/wisteriamux/wisteriamux/internal/model"
)

// LeaseDuration is the duration of an entry VM's lease. It bounds how long a VM may act on an old view: the lease of a
// VM without contact ends, and the lease of a VM that renews without reading a newer view is not extended beyond
// LeaseDuration after the change. Traffic must stop within 5 s after an upstream announces that it leaves, so 1 s
// remains to accept the announcement.
const LeaseDuration = 4 * time.Second

// leaseHolder identifies one instance of an entry VM.
type leaseHolder struct {
	id       string
	instance uint64
}

// lease is the lease of one instance.
type lease struct {
	applied uint64
	expires time.Time
	// granted is false for an instance that has joined but holds no lease yet.
	granted bool
}

// leaseTable holds the leases that this leader granted. Leases are not replicated: for one LeaseDuration after its
// election, a new leader assumes that every instance holds a lease, whether or not it is in the view, because its
// predecessor may have granted a lease to an instance that has since been fenced.
type leaseTable struct {
	// mu guards the fields below.
	mu   sync.Mutex
	term uint64
	// graceEnd is when every lease of the previous leader has ended.
	graceEnd time.Time
	leases   map[leaseHolder]lease
}

func newLeaseTable() *leaseTable {
	return &leaseTable{leases: map[leaseHolder]lease{}}
}

// enterTerm drops the leases of an earlier term and starts the grace period of a new one.
func (t *leaseTable) enterTerm(term uint64, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.term >= term {
		return
	}
	t.term = term
	t.graceEnd = now.Add(LeaseDuration)
	t.leases = map[leaseHolder]lease{}
}

// join adds a new instance, so that it does not expire before its first renewal.
func (t *leaseTable) join(holder leaseHolder, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.leases[holder] = lease{expires: now.Add(LeaseDuration)}
}

// release drops the lease of an instance that has stopped using it before it requested its own removal. A planned stop
// therefore does not delay changes until the lease would have ended.
func (t *leaseTable) release(holder leaseHolder) {
	t.mu.Lock()
	defer t.mu.Unlock()
	delete(t.leases, holder)
}

// renew extends the lease of the instance and returns the remaining time. firstChangeAfter returns when the first
// change that the VM has not applied was accepted, or false if there is none. It is called with the table's lock held,
// because otherwise a lease on an older view could begin after inForce reported the newer one.
func (t *leaseTable) renew(holder leaseHolder, applied uint64, firstChangeAfter func(applied uint64) (time.Time, bool), now time.Time) time.Duration {
	t.mu.Lock()
	defer t.mu.Unlock()
	previous := t.leases[holder]
	valid := previous.granted && now.Before(previous.expires)
	start := now
	if changedAt, behind := firstChangeAfter(applied); behind {
		if !valid {
			// A lease begins only on the current revision, so that a VM whose lease has ended cannot resume with an old view.
			return 0
		}
		start = changedAt
	}
	if applied < previous.applied {
		// The applied revision of an instance never decreases, so a later renewal has overtaken this one.
		return previous.expires.Sub(now)
	}
	// Both expiry times are one LeaseDuration after a time at which the VM was up to date, so the later one applies.
	expires := start.Add(LeaseDuration)
	if valid && previous.expires.After(expires) {
		expires = previous.expires
	}
	t.leases[holder] = lease{applied: applied, expires: expires, granted: true}
	return expires.Sub(now)
}

// remaining returns the applied revision and the remaining time of the member's lease. A member without a lease from
// this leader has the rest of the grace period.
func (t *leaseTable) remaining(member model.Member, now time.Time) (applied uint64, timeLeft time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	found, ok := t.leases[leaseHolder{member.ID, member.Instance}]
	if !ok {
		return 0, t.graceEnd.Sub(now)
	}
	return found.applied, found.expires.Sub(now)
}

// inForce returns the highest revision, up to the current one, that every holder of a valid lease has applied. It is 0
// during the grace period, because the leases of the previous leader are unknown. Expired leases do not count and are
// dropped, because the next lease of their holder begins only on the current revision.
func (t *leaseTable) inForce(current uint64, now time.Time) uint64 {
	t.mu.Lock()
	defer t.mu.Unlock()
	if now.Before(t.graceEnd) {
		return 0
	}
	for holder, found := range t.leases {
		switch {
		case !now.Before(found.expires):
			delete(t.leases, holder)
		case found.granted:
			current = min(current, found.applied)
		}
	}
	return current
}
