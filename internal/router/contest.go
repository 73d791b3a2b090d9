package router

import (
	"maps"
	"slices"
	"time"
)

// contestPeriod is how long an upstream is chosen last whose address a later process reports. By then the control group has removed it if it
// is silent, which takes 10 s and the time until its removal is committed and adopted.
const contestPeriod = 12 * time.Second

// contests holds the upstreams at whose addresses another process that started later is registered. Most of them have ended, but the
// other report may also be wrong, so that they are used if there is no other upstream.
type contests map[location]contest

// contest is the later process at the address of an upstream, and when it no longer counts.
type contest struct {
	by    location
	until time.Time
}

// contestedUpstream is an upstream at whose address a later process has been registered.
type contestedUpstream struct{ upstream, by location }

// add adds the upstreams whose addresses have come to be reported by a later process.
func (c contests) add(now time.Time, all []contestedUpstream) {
	for _, u := range all {
		c[u.upstream] = contest{by: u.by, until: now.Add(contestPeriod)}
	}
}

// demotes reports whether others are chosen before the upstream at the location. A process that has refused a request for the later one shows
// that the later report is wrong.
func (c contests) demotes(at location, now time.Time, taken map[location]bool) bool {
	contested, ok := c[at]
	return ok && now.Before(contested.until) && !taken[contested.by]
}

// retain drops the contests that are over, and those of upstreams that are gone.
func (c contests) retain(now time.Time, registered func(location) bool) {
	maps.DeleteFunc(c, func(at location, contested contest) bool {
		return !now.Before(contested.until) || !registered(at) || !registered(contested.by)
	})
}

func (r *Router) addContests(all []contestedUpstream) {
	if len(all) == 0 {
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.contests.add(time.Now(), all)
}

// addressIndex holds the IDs of the upstreams at each address.
type addressIndex map[string][]string

func (a addressIndex) add(address, id string) { a[address] = append(a[address], id) }

func (a addressIndex) remove(address, id string) {
	if rest := slices.DeleteFunc(a[address], func(other string) bool { return other == id }); len(rest) > 0 {
		a[address] = rest
		return
	}
	delete(a, address)
}

// contestedAt returns the upstreams at whose addresses a process that started later is registered: the upstream with the ID or others at
// its address. Processes of services that the route table does not name have no part in that.
func (b *viewBuilder) contestedAt(id string) (all []contestedUpstream) {
	u := b.upstreams[id]
	for _, otherID := range b.addresses[u.instance.Address] {
		earlier, later := u, b.upstreams[otherID]
		if later.instance.Born < earlier.instance.Born {
			earlier, later = later, earlier
		}
		if earlier.instance.Born < later.instance.Born && b.uses(later.instance.Service) {
			all = append(all, contestedUpstream{upstream: earlier.location(), by: later.location()})
		}
	}
	return all
}

func (b *viewBuilder) uses(service string) bool {
	if b.routes == nil {
		return false
	}
	_, used := b.routes.Service(service)
	return used
}
