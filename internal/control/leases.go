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

// renew extends the lease of the instance and returns the time that it has left. from is the time that the lease
// counts from: now, or the time of the first change that the VM has not applied.
func (t *leaseTable) renew(who holder, applied uint64, from, now time.Time) time.Duration {
	t.mu.Lock()
	defer t.mu.Unlock()
	held := t.leases[who]
	next := lease{applied: max(applied, held.applied), expires: from.Add(LeaseLength), granted: true}
	if applied < held.applied || !next.expires.After(now) {
		// An applied revision never moves backwards within an instance, so this renewal is late and grants nothing.
		return 0
	}
	t.leases[who] = next
	return next.expires.Sub(now)
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

// inForce returns the highest revision, up to that of the view, that no instance is behind. It is 0 during the grace
// period, since the leases of the previous leader are unknown. A lapsed lease still counts: an instance whose removal
// is not in the log could renew at this or at a later leader with an old view. Once ExpireMember is applied, every
// leader refuses that instance. A running lease of an instance that was fenced counts as well.
func (t *leaseTable) inForce(view *model.View, now time.Time) uint64 {
	t.mu.Lock()
	defer t.mu.Unlock()
	if now.Before(t.grace) {
		return 0
	}
	revision := view.Revision
	current := make(map[holder]bool, len(view.Members))
	for _, member := range view.Members {
		who := holder{member.ID, member.Instance}
		current[who] = true
		revision = min(revision, t.leases[who].applied)
	}
	for who, held := range t.leases {
		switch {
		case current[who]:
		case now.Before(held.expires):
			if held.granted {
				revision = min(revision, held.applied)
			}
		default:
			delete(t.leases, who)
		}
	}
	return revision
}
