package router

import (
	"context"
	"errors"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/wisteriamux/wisteriamux/internal/controlrpc"
	"github.com/wisteriamux/wisteriamux/internal/fault"
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

// Fingerprints identify what the request asks for. They are the same for each try of a caller.
func (r *Request) Fingerprints() suspect.Fingerprints {
	if r.fingerprints.Content != "" {
		return r.fingerprints
	}
	return fingerprintsOf(&r.Request)
}

func fingerprintsOf(request *upstreamconn.Request) suspect.Fingerprints {
	return suspect.FingerprintsOf(request.Caller, request.Body, request.Method, request.Host, request.Target)
}

// closedByUpstream reports whether the upstream has closed the connection of a request that it may have run.
func closedByUpstream(err error) bool {
	var failed *upstreamconn.RequestError
	return errors.As(err, &failed) && failed.Closed
}

// suspicion states whether a request must be sent with caution, and the services whose upstreams have ended under it.
type suspicion struct {
	yes      bool
	services []string
}

// order returns the numbers of all shards in the order in which they are tried: first those whose upstreams have ended, since an
// answer of another one says little. It is drawn at random among these, so that successive tries do not end all upstreams of
// one shard.
func (s suspicion) order(shards []string) []int {
	order := allShards(len(shards))
	if !s.yes {
		return order
	}
	rand.Shuffle(len(order), func(i, j int) { order[i], order[j] = order[j], order[i] })
	named := func(shard int) bool { return slices.Contains(s.services, shards[shard]) }
	slices.SortStableFunc(order, func(a, b int) int {
		switch {
		case named(a) == named(b):
			return 0
		case named(a):
			return -1
		}
		return 1
	})
	return order
}

// checkSuspect returns an error if the request is quarantined, and otherwise whether it is suspected.
func (r *Router) checkSuspect(request suspect.Fingerprints) (suspicion, error) {
	now := time.Now()
	r.mu.Lock()
	defer r.mu.Unlock()
	if wait := r.guard.Refused(now, request); wait > 0 {
		r.counts.Quarantined++
		return suspicion{}, fault.New(fault.Quarantined, "router.check", "fingerprint %s: %w", request.Narrowest(), &suspect.QuarantinedError{RetryAfter: wait})
	}
	suspected, services := r.guard.Suspected(request)
	return suspicion{yes: suspected, services: services}, nil
}

// refuseQuarantined returns an error if another VM's request is quarantined.
func (r *Router) refuseQuarantined(request *upstreamconn.Request) error {
	r.mu.Lock()
	anyQuarantined := r.guard.AnyQuarantined()
	r.mu.Unlock()
	if !anyQuarantined {
		return nil
	}
	_, err := r.checkSuspect(fingerprintsOf(request))
	return err
}

// recordAnswered records that upstreams of the services, except the missing ones, have answered a request with the status.
func (r *Router) recordAnswered(request *Request, status int, services, missing []string) {
	now := time.Now()
	r.mu.Lock()
	wasSuspected := r.guard.Answered(now, request.fingerprints, services, missing)
	due := !r.guard.NextWakeup(now).IsZero()
	r.mu.Unlock()
	if wasSuspected {
		r.log.Info("suspected request answered", "request", request.ID, "caller", request.Caller, "fingerprint", request.fingerprints.Narrowest(),
			"content", request.fingerprints.Content, "status", status, "missing", len(missing))
	}
	if due {
		r.wakeReporter()
	}
}

// maxSummaryBytes bounds the description of a request for operators.
const maxSummaryBytes = 200

func summaryOf(request *upstreamconn.Request) string {
	summary := request.Method + " " + request.Host + request.Target
	return summary[:min(len(summary), maxSummaryBytes)]
}

// checkEnd starts to find out whether an upstream has ended that has closed the connection of a request. A connection is also
// closed by upstreams that go on: because of a limit on connections, a timeout or a reset on the way.
func (r *Router) checkEnd(u *upstream, request *upstreamconn.Request) {
	fingerprints := fingerprintsOf(request)
	end := suspect.End{
		Fingerprint: fingerprints.Content, CallerFingerprint: fingerprints.Caller, Try: request.ID, Service: u.instance.Service,
		Upstream: u.process(), Summary: summaryOf(request), Caller: request.Caller,
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	others, checking := r.endChecks[end.Upstream]
	r.endChecks[end.Upstream] = append(others, end)
	if !checking {
		go r.finishEndCheck(u)
	}
}

func (r *Router) finishEndCheck(u *upstream) {
	ended := r.hasEnded(u)
	now := time.Now()
	r.mu.Lock()
	ends := r.endChecks[u.process()]
	delete(r.endChecks, u.process())
	if ended {
		r.counts.UpstreamEnds++
		for _, end := range ends {
			r.guard.Ended(now, end)
		}
	}
	r.mu.Unlock()
	if !ended {
		return
	}
	for _, end := range ends {
		r.log.Info("upstream ended under request", "upstream", end.Upstream.Instance, "born", end.Upstream.Born, "service", end.Service,
			"request", end.Try, "caller", end.Caller, "fingerprint", end.CallerFingerprint, "content", end.Fingerprint, "in_flight", len(ends))
	}
	r.wakeReporter()
}

// hasEnded reports whether the upstream accepts no connections while another one does.
func (r *Router) hasEnded(u *upstream) bool {
	own := []string{u.instance.Address}
	if r.canConnect(own) {
		time.Sleep(endCheckAgain)
		if r.canConnect(own) {
			return false
		}
	}
	r.mu.Lock()
	recent := r.links.Targets(endCheckTargets / 2)
	r.mu.Unlock()
	others := r.View().addresses(recent, endCheckTargets)
	return r.canConnect(slices.DeleteFunc(others, func(address string) bool { return address == u.instance.Address }))
}

func (r *Router) wakeReporter() {
	select {
	case r.reportDue <- struct{}{}:
	default:
	}
}

const (
	// reportTimeout bounds the delivery of one report to the control group.
	reportTimeout = 2 * time.Second
	// reportRetryDelay is the time after which a report that could not be delivered is sent again.
	reportRetryDelay = 500 * time.Millisecond
	// minReportInterval is the least time between two reports.
	minReportInterval = 20 * time.Millisecond
)

// reportSuspects reports what this VM knows about requests under which upstreams ended to the control group, until the context
// is cancelled. It decides by itself about those for which its own evidence suffices, also while a report is on its way.
func (r *Router) reportSuspects(ctx context.Context) {
	timer := time.NewTimer(0)
	defer timer.Stop()
	delivered := make(chan error, 1)
	delivering := false
	var pausedUntil time.Time
	for {
		select {
		case <-ctx.Done():
			return
		case <-r.reportDue:
		case <-timer.C:
		case err := <-delivered:
			delivering = false
			if err != nil {
				pausedUntil = time.Now().Add(reportRetryDelay)
			}
		}
		r.decideLocally()
		now := time.Now()
		if !delivering && !now.Before(pausedUntil) {
			r.mu.Lock()
			report := r.guard.TakeReport(now)
			r.mu.Unlock()
			if delivering = !report.Empty(); delivering {
				go func() { delivered <- r.deliver(ctx, report) }()
			}
		}
		if next := r.nextSuspectWork(now); !next.IsZero() {
			timer.Reset(max(time.Until(next), time.Until(pausedUntil), minReportInterval))
		}
	}
}

// nextSuspectWork returns when reportSuspects has something to do next, or the zero time.
func (r *Router) nextSuspectWork(now time.Time) time.Time {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.guard.NextWakeup(now)
}

func (r *Router) decideLocally() {
	r.mu.Lock()
	decisions := r.guard.DecideLocally(time.Now())
	r.mu.Unlock()
	for _, decision := range decisions {
		r.log.Warn("request quarantined by this VM", "fingerprint", decision.Fingerprint, "duration", decision.Duration,
			"summary", decision.Evidence.Summary, "upstreams_ended", decision.Evidence.Ends, "tries", decision.Evidence.Tries)
	}
}

// deliver sends a report to the control group.
func (r *Router) deliver(ctx context.Context, report suspect.Report) error {
	ctx, cancel := context.WithTimeout(ctx, reportTimeout)
	defer cancel()
	err := r.control.ReportSuspects(ctx, controlrpc.ReportSuspectsArgs{Watcher: r.config.ID, Report: report})
	if fault.Is(err, fault.Unsupported) {
		// The ends are reported again to the next leader.
		r.log.Info("leader takes no reports of ended upstreams", "ends", len(report.Ends), "error", err)
		return nil
	}
	if err != nil {
		r.log.Warn("ends of upstreams not reported", "ends", len(report.Ends), "answers", len(report.Answers),
			"retry_ms", reportRetryDelay.Milliseconds(), "code", fault.CodeOf(err), "error", err)
		r.mu.Lock()
		r.guard.PutBack(report)
		r.mu.Unlock()
	}
	return err
}

// adoptSuspects applies what the control group knows about requests under which upstreams ended.
func (r *Router) adoptSuspects(reply controlrpc.WatchReply) {
	now := time.Now()
	r.mu.Lock()
	r.guard.AdoptQuarantined(now, reply.Quarantined, reply.QuarantinesWhole)
	if !reply.Provisional && reply.SuspectsDigest != r.suspectsDigest {
		r.suspectsDigest = reply.SuspectsDigest
		r.guard.AdoptCandidates(now, reply.Suspects)
	}
	if reply.Leader != "" && reply.Leader != r.controlLeader {
		r.controlLeader = reply.Leader
		r.guard.ResendAll()
	}
	due := !r.guard.NextWakeup(now).IsZero()
	r.mu.Unlock()
	if len(reply.Quarantined) > 0 || reply.QuarantinesWhole {
		r.log.Info("quarantines adopted", "count", len(reply.Quarantined), "whole", reply.QuarantinesWhole, "revision", reply.Revision)
	}
	if due {
		r.wakeReporter()
	}
}
