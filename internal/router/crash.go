package router

import (
	"slices"
	"time"

	"github.com/wisteriamux/wisteriamux/internal/suspect"
	"github.com/wisteriamux/wisteriamux/internal/upstreamconn"
)

const (
	// endCheckAgain is the time after which an upstream that accepts connections is checked once more: its connections may
	// be closed before its port is.
	endCheckAgain = 50 * time.Millisecond
	// endCheckTargets is the number of other upstreams that are tried to find out whether this VM's own links are lost.
	endCheckTargets = 6
)

// endedRequest is a request that was at an upstream when its connection was closed.
type endedRequest struct {
	id, fingerprint string
}

// Fingerprint identifies what the request asks for. It is the same for each try of a caller.
func (r *Request) Fingerprint() string { return fingerprintOf(&r.Request) }

func fingerprintOf(request *upstreamconn.Request) string {
	return suspect.Fingerprint(request.Body, request.Method, request.Host, request.Target)
}

// checkEnd starts to find out whether an upstream has ended that has closed the connection of a request. A connection is also
// closed by upstreams that go on: because of a limit on connections, a timeout or a reset on the way.
func (r *Router) checkEnd(u *upstream, request *upstreamconn.Request) {
	ended := endedRequest{id: request.ID, fingerprint: fingerprintOf(request)}
	closedAt := time.Now()
	r.mu.Lock()
	defer r.mu.Unlock()
	key := u.process()
	others, checking := r.endChecks[key]
	r.endChecks[key] = append(others, ended)
	if !checking {
		go r.finishEndCheck(u, closedAt)
	}
}

func (r *Router) finishEndCheck(u *upstream, closedAt time.Time) {
	ended := r.hasEnded(u, closedAt)
	key := u.process()
	r.mu.Lock()
	requests := r.endChecks[key]
	delete(r.endChecks, key)
	if ended {
		r.counts.UpstreamEnds++
	}
	r.mu.Unlock()
	if !ended {
		return
	}
	for _, request := range requests {
		r.log.Info("upstream ended under request", "upstream", key.Instance, "born", key.Born, "service", u.instance.Service,
			"request", request.id, "fingerprint", request.fingerprint, "in_flight", len(requests))
	}
}

// hasEnded reports whether the upstream accepts no connections while another one can be reached.
func (r *Router) hasEnded(u *upstream, closedAt time.Time) bool {
	own := []string{u.instance.Address}
	if r.canConnect(own) {
		time.Sleep(endCheckAgain)
		if r.canConnect(own) {
			return false
		}
	}
	r.mu.Lock()
	responded := r.links.RespondedSince(closedAt, u.instance.ID)
	recent := r.links.Targets(endCheckTargets / 2)
	r.mu.Unlock()
	if responded {
		return true
	}
	others := r.View().addresses(recent, endCheckTargets)
	return r.canConnect(slices.DeleteFunc(others, func(address string) bool { return address == u.instance.Address }))
}
