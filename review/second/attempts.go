package main

import (
	"math"
	"time"
)

// fatalEnds is the number of ends of a process in a day that are a fault.
const fatalEnds = 3

// attempts plays a change of the configuration after which a route has no limit on its attempts.
func attempts(rec *record, trouble bool) (int, error) {
	t, err := newSite(rec, smallShape(), size{shards: 20, copies: 2, singles: 2, work: 20 * time.Millisecond})
	if err != nil {
		return notRun, err
	}
	next := t.config
	next.Version = 7
	next.Routes = append([]routeDocument(nil), next.Routes...)
	for n := range next.Routes {
		if trouble {
			next.Routes[n].MaxAttempts = math.MaxInt32
		}
		rec.note("version 7: route %s, max_attempts %d", next.Routes[n].Name, next.Routes[n].MaxAttempts)
	}
	if err := t.apply(next); err != nil {
		return notRun, err
	}
	time.Sleep(3 * time.Second)
	for range 20 {
		for _, m := range t.fronts {
			id, a := get(m.at(t.frontPort), "/all/a", siteHost, 2500*time.Millisecond)
			rec.note("sent %s GET /all/a at %s: %s", id, m.name, a.text())
		}
		time.Sleep(300 * time.Millisecond)
	}
	return t.judgeEnds(), nil
}

// judgeEnds returns broken if processes of two front machines, or of a tenth of the machines, ended by themselves three times.
func (t *site) judgeEnds() int {
	for _, m := range t.fronts {
		ends, last := m.ended()
		t.rec.note("%s ended by itself %d times, last: %s", m.name, ends, last)
	}
	if t.fallen() >= max(2, (len(t.machines())+9)/10) {
		return broken
	}
	return held
}

// fallen returns the number of front machines whose process has ended by itself three times.
func (t *site) fallen() int {
	count := 0
	for _, m := range t.fronts {
		if ends, _ := m.ended(); ends >= fatalEnds {
			count++
		}
	}
	return count
}
