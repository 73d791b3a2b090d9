// Package directory implements the registration and routing API of a control member for upstreams and operators. It
// answers heartbeats that change nothing from the member's own state and forwards everything else to the leader of the
// control group.
package directory

import (
	"bytes"
	"compress/flate"
	"context"
	"io"
	"log/slog"
	"sync"
	"time"

	"github.com/wisteriamux/wisteriamux/internal/controlrpc"
	"github.com/wisteriamux/wisteriamux/internal/fault"
	"github.com/wisteriamux/wisteriamux/internal/registry"
	"github.com/wisteriamux/wisteriamux/internal/route"
)

const (
	// renewalInterval is the time between two batches of renewals that are forwarded to the leader.
	renewalInterval = time.Second
	// renewalTimeout bounds the forwarding of one batch of renewals.
	renewalTimeout = 2 * time.Second
	// isolatedAfter is the time without contact to a leader after which renewals are refused, so that upstreams switch to
	// a member that reaches the leader.
	isolatedAfter = 3 * time.Second
	// readTimeout and reportTimeout are below the 1 s after which operators and upstreams try another member.
	readTimeout   = 850 * time.Millisecond
	reportTimeout = 850 * time.Millisecond
	// putTimeout is longer because operators wait longer when they send a large document.
	putTimeout = 950 * time.Millisecond
)

// Preview computes the effect that a report would have on the state of this member, without applying it.
type Preview interface {
	Preview(report registry.Report) registry.Effect
	// WithColdEnd returns the report with the end of the cold start, if requests to cold upstreams of the service are limited.
	WithColdEnd(report registry.Report, now time.Time) registry.Report
}

// Directory serves upstreams and operators. It is safe for concurrent use.
type Directory struct {
	localState Preview
	client     *controlrpc.Client
	log        *slog.Logger
	ignored    *ignoredReports

	// mu guards the fields below.
	mu sync.Mutex
	// pendingRenewals holds the IDs of the upstreams whose renewals are not forwarded to the leader yet.
	pendingRenewals map[string]bool
	// leaderReached is the time of the last successful call to the leader.
	leaderReached time.Time
}

// New returns a directory that reads the state of this member and calls the leader through the client.
func New(localState Preview, client *controlrpc.Client, log *slog.Logger) *Directory {
	return &Directory{localState: localState, client: client, log: log, ignored: newIgnoredReports(), pendingRenewals: map[string]bool{}, leaderReached: time.Now()}
}

// Run forwards renewals to the leader until the context ends.
func (d *Directory) Run(ctx context.Context) {
	ticker := time.NewTicker(renewalInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			d.forwardRenewals(ctx)
		}
	}
}

// forwardRenewals sends the pending renewals to the leader. The call is made even without renewals, since it also
// checks that the leader is reachable.
func (d *Directory) forwardRenewals(ctx context.Context) {
	d.mu.Lock()
	ids := make([]string, 0, len(d.pendingRenewals))
	for id := range d.pendingRenewals {
		ids = append(ids, id)
	}
	clear(d.pendingRenewals)
	d.mu.Unlock()
	ctx, cancel := context.WithTimeout(ctx, renewalTimeout)
	defer cancel()
	err := d.client.ReportAlive(ctx, ids)
	d.mu.Lock()
	defer d.mu.Unlock()
	if err == nil {
		d.leaderReached = time.Now()
		return
	}
	for _, id := range ids {
		d.pendingRenewals[id] = true
	}
	d.log.Warn("renewals not forwarded to the control leader", "renewals", len(ids), "code", fault.CodeOf(err), "error", err)
}

// Report processes a report about an upstream. A change is acknowledged once it is durable on a quorum. A report that is ignored is
// acknowledged, too: its sender could do nothing else than repeat it.
func (d *Directory) Report(ctx context.Context, report registry.Report) error {
	report.Rules = registry.IndependentProcesses
	// A departure always goes to the leader, because this member may lag behind and not know the upstream yet.
	if !report.Left {
		report = d.localState.WithColdEnd(report, time.Now())
		switch effect := d.localState.Preview(report); effect {
		case registry.Stale, registry.Departed:
			d.ignored.record(report.Instance, effect.String(), d.log, time.Now())
			return nil
		case registry.Renewal:
			return d.recordRenewal(report.Instance.ID)
		}
	}
	ctx, cancel := context.WithTimeout(ctx, reportTimeout)
	defer cancel()
	ignored, err := d.client.Report(ctx, report)
	if err == nil && ignored != "" {
		d.ignored.record(report.Instance, ignored, d.log, time.Now())
	}
	return err
}

// IgnoredCount returns the number of reports that were acknowledged and ignored for the reason.
func (d *Directory) IgnoredCount(reason registry.Effect) int64 {
	return d.ignored.count(reason.String())
}

func (d *Directory) recordRenewal(id string) error {
	d.mu.Lock()
	defer d.mu.Unlock()
	if silence := time.Since(d.leaderReached); silence > isolatedAfter {
		return fault.New(fault.Unavailable, "directory.renew", "no contact to a control leader for %s", silence)
	}
	d.pendingRenewals[id] = true
	return nil
}

// PutRoutes proposes a route table together with the document that it was parsed from, and returns the version in
// force.
func (d *Directory) PutRoutes(ctx context.Context, table route.Table, source []byte) (uint64, error) {
	if err := table.Validate(); err != nil {
		return 0, err
	}
	ctx, cancel := context.WithTimeout(ctx, putTimeout)
	defer cancel()
	compressed, err := compress(source)
	if err != nil {
		return 0, err
	}
	return d.client.PutRoutes(ctx, table, compressed)
}

// ReadRoutes returns the current route table. It fails unless a quorum confirms that no newer one is in force.
func (d *Directory) ReadRoutes(ctx context.Context) (controlrpc.ReadRoutesReply, error) {
	ctx, cancel := context.WithTimeout(ctx, readTimeout)
	defer cancel()
	reply, err := d.client.ReadRoutes(ctx)
	// A table that was proposed over net/rpc has no document.
	if err != nil || len(reply.Source) == 0 {
		return reply, err
	}
	reply.Source, err = decompress(reply.Source)
	return reply, err
}

// compress compresses a document, because every member keeps it in its log and in memory.
func compress(document []byte) ([]byte, error) {
	var buffer bytes.Buffer
	writer, err := flate.NewWriter(&buffer, flate.BestSpeed)
	if err == nil {
		_, err = writer.Write(document)
	}
	if err == nil {
		err = writer.Close()
	}
	if err != nil {
		return nil, fault.New(fault.Internal, "directory.pack", "compress the route document: %w", err)
	}
	return buffer.Bytes(), nil
}

func decompress(compressed []byte) ([]byte, error) {
	document, err := io.ReadAll(flate.NewReader(bytes.NewReader(compressed)))
	if err != nil {
		return nil, fault.New(fault.Corrupt, "directory.unpack", "decompress the route document: %w", err)
	}
	return document, nil
}
