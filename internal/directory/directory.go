// Package directory is what a control member offers to upstreams and operators of routes: it answers renewals from its
// own state and passes everything else to the leader of the control group.
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
	// forwardInterval is the time between two reports of renewals to the leader.
	forwardInterval = time.Second
	// forwardTimeout ends a report to a leader that does not answer.
	forwardTimeout = 2 * time.Second
	// isolatedAfter is how long no leader may have answered before renewals are refused, so that upstreams turn to a
	// member that reaches the leader.
	isolatedAfter = 3 * time.Second
	// readTimeout and reportTimeout stay below the second after which operators and upstreams try another member.
	readTimeout   = 850 * time.Millisecond
	reportTimeout = 850 * time.Millisecond
	// putTimeout is longer, since operators wait longer for a large document.
	putTimeout = 950 * time.Millisecond
)

// Judge tells what a report would change in the state of this member.
type Judge interface {
	Judge(report registry.Report) registry.Verdict
}

// Directory serves upstreams and operators. It is safe for concurrent use.
type Directory struct {
	local  Judge
	client *controlrpc.Client
	log    *slog.Logger

	// mu guards heard and reached.
	mu      sync.Mutex
	heard   map[string]bool
	reached time.Time
}

// New returns a directory on the state of this member and a client of the group.
func New(local Judge, client *controlrpc.Client, log *slog.Logger) *Directory {
	return &Directory{local: local, client: client, log: log, heard: map[string]bool{}, reached: time.Now()}
}

// Run reports renewals to the leader until the context ends.
func (d *Directory) Run(ctx context.Context) {
	ticker := time.NewTicker(forwardInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			d.forward(ctx)
		}
	}
}

func (d *Directory) forward(ctx context.Context) {
	d.mu.Lock()
	ids := make([]string, 0, len(d.heard))
	for id := range d.heard {
		ids = append(ids, id)
	}
	clear(d.heard)
	d.mu.Unlock()
	ctx, cancel := context.WithTimeout(ctx, forwardTimeout)
	defer cancel()
	err := d.client.Heard(ctx, ids)
	d.mu.Lock()
	defer d.mu.Unlock()
	if err == nil {
		d.reached = time.Now()
		return
	}
	for _, id := range ids {
		d.heard[id] = true
	}
	d.log.Warn("no control leader reached", "renewals", len(ids), "code", fault.CodeOf(err), "error", err)
}

// Report takes a report about an upstream. A change is acknowledged once it is durable on a quorum.
func (d *Directory) Report(ctx context.Context, report registry.Report) error {
	// This member may lag behind, so that a departure of an upstream that it does not know yet goes to the leader too.
	if !report.Left {
		switch d.local.Judge(report) {
		case registry.Stale:
			return nil
		case registry.Renewal:
			return d.renew(report.Instance.ID)
		}
	}
	ctx, cancel := context.WithTimeout(ctx, reportTimeout)
	defer cancel()
	return d.client.Report(ctx, report)
}

func (d *Directory) renew(id string) error {
	d.mu.Lock()
	defer d.mu.Unlock()
	if silence := time.Since(d.reached); silence > isolatedAfter {
		return fault.New(fault.Unavailable, "directory.renew", "no control leader was reached for %s", silence)
	}
	d.heard[id] = true
	return nil
}

// PutRoutes orders a table of routes with the document that it was read from.
func (d *Directory) PutRoutes(ctx context.Context, table route.Table, source []byte) (uint64, error) {
	if err := table.Check(); err != nil {
		return 0, err
	}
	ctx, cancel := context.WithTimeout(ctx, putTimeout)
	defer cancel()
	packed, err := pack(source)
	if err != nil {
		return 0, err
	}
	return d.client.PutRoutes(ctx, table, packed)
}

// ReadRoutes returns the newest table of routes. It fails unless a quorum confirms that it is the newest.
func (d *Directory) ReadRoutes(ctx context.Context) (controlrpc.ReadRoutesReply, error) {
	ctx, cancel := context.WithTimeout(ctx, readTimeout)
	defer cancel()
	reply, err := d.client.ReadRoutes(ctx)
	// A table that was ordered over net/rpc has no document.
	if err != nil || len(reply.Source) == 0 {
		return reply, err
	}
	reply.Source, err = unpack(reply.Source)
	return reply, err
}

// pack compresses a document, which the log and the memory of every member hold.
func pack(document []byte) ([]byte, error) {
	var packed bytes.Buffer
	writer, err := flate.NewWriter(&packed, flate.BestSpeed)
	if err == nil {
		_, err = writer.Write(document)
	}
	if err == nil {
		err = writer.Close()
	}
	if err != nil {
		return nil, fault.New(fault.Internal, "directory.pack", "%w", err)
	}
	return packed.Bytes(), nil
}

func unpack(packed []byte) ([]byte, error) {
	document, err := io.ReadAll(flate.NewReader(bytes.NewReader(packed)))
	if err != nil {
		return nil, fault.New(fault.Corrupt, "directory.unpack", "%w", err)
	}
	return document, nil
}
