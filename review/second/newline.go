package main

import (
	"encoding/json"
	"fmt"
	"net/http"
	"time"
)

// newline plays one heartbeat of another writer whose ID, in the path of the call, is that of a backend with a line break behind it.
func newline(rec *record, trouble bool) (int, error) {
	t, err := newSite(rec, smallShape(), size{singles: 2, work: 20 * time.Millisecond})
	if err != nil {
		return notRun, err
	}
	if trouble {
		b := t.backends[0]
		body, _ := json.Marshal(heartbeatDocument{
			Service: b.service, Address: b.address(), Zone: b.zone, Version: "v1", Slots: cap(b.slots), State: "ready", Sequence: 1, Born: b.born,
		})
		path := "/instances/" + b.id + "%0A/heartbeat"
		status, text, err := post(t.controls()[0], path, body)
		rec.note("another writer: POST %s %s: %d %s %v", path, body, status, text, err)
	}
	time.Sleep(3 * time.Second)
	type booking struct{ target, body string }
	sent := map[string]booking{}
	for n := range 40 {
		m := t.fronts[n%len(t.fronts)]
		id, b := newRequestID(), booking{target: fmt.Sprintf("/book/seat-%d", n), body: fmt.Sprintf("passenger %d", n)}
		sent[id] = b
		c, err := connect(m.at(t.frontPort))
		if err != nil {
			return notRun, err
		}
		length := fmt.Sprintf("Content-Length: %d\r\n", len(b.body))
		a := c.send(http.MethodPost, head(http.MethodPost, b.target, siteHost, id, 2*time.Second, length)+b.body, 3*time.Second)
		c.close()
		rec.note("sent %s POST %s %q at %s: %s", id, b.target, b.body, m.name, a.text())
	}
	changed := 0
	for _, b := range t.backends {
		for _, r := range b.ran() {
			rec.note("%s ran %s %s %s %q", r.backend, r.id, r.method, r.target, r.body)
			if s, ok := sent[r.id]; !ok || r.method != http.MethodPost || r.target != s.target || r.body != s.body {
				changed++
			}
		}
	}
	rec.note("%d requests ran that no client sent so", changed)
	if changed > 0 {
		return broken, nil
	}
	return held, nil
}
