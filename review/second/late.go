package main

import (
	"bufio"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"time"
)

const (
	// lateBy is how late the heartbeat of the leaving backend arrives.
	lateBy = 4 * time.Second
	// drainTime is drain_ms of the site, and servesLonger how much longer the leaving backend goes on to serve.
	drainTime    = 3 * time.Second
	servesLonger = 10 * time.Second
)

// late plays a backend whose first heartbeat is held up on its way. The backend is told to leave before it arrives, and deregisters.
func late(rec *record, trouble bool) (int, error) {
	t, err := newSite(rec, smallShape(), size{singles: 2, work: 20 * time.Millisecond})
	if err != nil {
		return notRun, err
	}
	first := t.controls()[0]
	delay := time.Duration(0)
	if trouble {
		delay = lateBy
	}
	slow, err := holdUp(first, delay)
	if err != nil {
		return notRun, err
	}
	defer func() { _ = slow.Close() }()
	leaving, err := startBackend(rec, "i-leaving", "single", "halle-a", t.backends[0].host(), 20*time.Millisecond)
	if err != nil {
		return notRun, err
	}
	defer func() { _ = leaving.server.Close() }()
	body, _ := json.Marshal(heartbeatDocument{
		Service: leaving.service, Address: leaving.address(), Zone: leaving.zone, Version: "v1", Slots: cap(leaving.slots), State: "ready", Sequence: 1, Born: leaving.born,
	})
	begun := time.Now()
	status, _, err := post(slow.Addr().String(), "/instances/"+leaving.id+"/heartbeat", body)
	rec.note("%s: heartbeat %s: %d %v after %d ms", leaving.id, body, status, err, time.Since(begun).Milliseconds())
	body, _ = json.Marshal(map[string]int64{"born": leaving.born})
	status, text, err := post(t.controls()[1], "/instances/"+leaving.id+"/deregister", body)
	if err != nil || status != http.StatusOK {
		rec.note("%s: deregister: %d %s %v", leaving.id, status, text, err)
		return notRun, err
	}
	left := time.Now()
	rec.note("%s: deregister %s: acknowledged", leaving.id, body)
	for n := 0; time.Since(left) < drainTime+servesLonger; n++ {
		m := t.fronts[n%len(t.fronts)]
		id, a := get(m.at(t.frontPort), "/one/a", siteHost, 2500*time.Millisecond)
		rec.note("sent %s GET /one/a at %s: %s", id, m.name, a.text())
		time.Sleep(100 * time.Millisecond)
	}
	reached := 0
	for _, r := range leaving.ran() {
		after := r.at.Sub(left)
		rec.note("%s ran %s, %d ms after it was acknowledged that it is gone", r.backend, r.id, after.Milliseconds())
		if after > drainTime {
			reached++
		}
	}
	rec.note("%d requests reached %s more than %s after its deregistration was acknowledged", reached, leaving.id, drainTime)
	if reached > 0 {
		return broken, nil
	}
	return held, nil
}

// holdUp returns a listener that passes what it gets on to the address, a while later. It keeps the connection open until the answer
// has come.
func holdUp(address string, delay time.Duration) (net.Listener, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	go func() {
		for {
			in, err := l.Accept()
			if err != nil {
				return
			}
			go passLate(in, address, delay)
		}
	}()
	return l, nil
}

func passLate(in net.Conn, address string, delay time.Duration) {
	defer func() { _ = in.Close() }()
	request, err := http.ReadRequest(bufio.NewReader(in))
	if err != nil {
		return
	}
	body, err := io.ReadAll(request.Body)
	if err != nil {
		return
	}
	time.Sleep(delay)
	out, err := net.DialTimeout("tcp", address, time.Second)
	if err != nil {
		return
	}
	defer func() { _ = out.Close() }()
	_ = out.SetDeadline(time.Now().Add(2 * time.Second))
	if _, err := io.WriteString(out, rawPost(request.URL.Path, body)); err == nil {
		_, _ = io.Copy(in, out)
	}
}
