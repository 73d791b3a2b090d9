package main

import (
	"net/http"
	"time"
)

// options plays requests of clients that ask for the options of the server as a whole.
func options(rec *record, trouble bool) (int, error) {
	t, err := newSite(rec, smallShape(), size{singles: 2, work: 20 * time.Millisecond})
	if err != nil {
		return notRun, err
	}
	targets := []string{"/one/a", "/none/a"}
	if trouble {
		targets = append(targets, "*")
	}
	wrong := 0
	for _, m := range t.fronts {
		for _, target := range targets {
			c, err := connect(m.at(t.frontPort))
			if err != nil {
				return notRun, err
			}
			id := newRequestID()
			a := c.send(http.MethodOptions, head(http.MethodOptions, target, siteHost, id, 2*time.Second, ""), 3*time.Second)
			c.close()
			rec.note("sent %s OPTIONS %s at %s: %s", id, target, m.name, a.text())
			if a.status/100 == 2 && a.header.Get("Wisteriamux-Server-Stamp") == "" {
				wrong++
			}
		}
	}
	for _, b := range t.backends {
		for _, r := range b.ran() {
			rec.note("%s ran %s %s %s", r.backend, r.id, r.method, r.target)
		}
	}
	rec.note("%d successes without the stamp of a backend", wrong)
	if wrong > 0 {
		return broken, nil
	}
	return held, nil
}
