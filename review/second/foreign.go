package main

import (
	"encoding/json"
	"fmt"
	"net/http"
	"time"
)

// foreign plays heartbeats of another writer: one for each backend, with its address and a service that no configuration names.
func foreign(rec *record, trouble bool) (int, error) {
	t, err := newSite(rec, smallShape(), size{singles: 4, work: 20 * time.Millisecond})
	if err != nil {
		return notRun, err
	}
	if trouble {
		for n, b := range t.backends {
			body, _ := json.Marshal(heartbeatDocument{
				Service: "metrics-agent", Address: b.address(), Zone: b.zone, Version: "v1", Slots: 1, State: "ready", Sequence: 1, Born: time.Now().UnixMilli(),
			})
			path := fmt.Sprintf("/instances/agent-%d/heartbeat", n)
			status, text, err := post(t.controls()[0], path, body)
			rec.note("another writer: POST %s %s: %d %s %v", path, body, status, text, err)
		}
	}
	time.Sleep(3 * time.Second)
	before := map[string]int64{}
	for _, b := range t.backends {
		before[b.id] = b.acked.Load()
	}
	served, sent := 0, 0
	for n := range 120 {
		m := t.fronts[n%len(t.fronts)]
		id, a := get(m.at(t.frontPort), "/one/a", siteHost, 2500*time.Millisecond)
		rec.note("sent %s GET /one/a at %s: %s", id, m.name, a.text())
		sent++
		if a.status == http.StatusOK {
			served++
		}
		time.Sleep(250 * time.Millisecond)
	}
	for _, b := range t.backends {
		rec.note("%s: sound all the time, %d of its heartbeats acknowledged meanwhile, %d requests run", b.id, b.acked.Load()-before[b.id], len(b.ran()))
	}
	rec.note("%d of %d requests served", served, sent)
	if served == 0 {
		return broken, nil
	}
	return held, nil
}
