package relay

import (
	"bytes"
	"time"

	"github.com/wisteriamux/wisteriamux/internal/gather"
)

const (
	// minReportInterval is the minimum time between two reports of a batch that contain only parts. Parts that arrive
	// within it are merged and sent in one message.
	minReportInterval = 3 * time.Millisecond
	// maxReportDelay is how long a report may be delayed if nothing has ended. The requesting VM considers a relay silent
	// that does not respond within a few times this delay.
	maxReportDelay = 40 * time.Millisecond
)

// reporter decides what the reports of a batch contain and when they are sent. It performs no I/O, takes the time as an
// argument, and is not safe for concurrent use.
type reporter struct {
	top   int
	whole bool
	// pending is the number of attempts that have not ended.
	pending int
	// quietUntil is the time until which parts are held back, since the requesting VM cannot use single parts earlier.
	quietUntil time.Time
	// holdUntil is the time of a report of the parts that have ended by then, if it is before quietUntil.
	holdUntil  time.Time
	lastReport time.Time
	// settled is set once a report has been sent at quietUntil or later, and from the start if no parts are held back.
	settled    bool
	unreported []Ended
	// parts holds the records of the answered attempts in unreported.
	parts [][]byte
	// urgent is set if unreported contains an end after which the requesting VM may send another attempt.
	urgent bool
	// topRecords holds the greatest records of all reported parts.
	topRecords []byte
}

func newReporter(args RunArgs, now time.Time) *reporter {
	return &reporter{
		top: args.Top, whole: args.Whole, pending: len(args.Attempts), lastReport: now, holdUntil: now.Add(args.Hold),
		quietUntil: now.Add(args.Quiet), settled: args.Quiet <= 0,
	}
}

// end records the end of an attempt, and the records of its part if it was answered.
func (r *reporter) end(ended Ended, records []byte) {
	r.pending--
	switch {
	case ended.Outcome != Answered:
		r.urgent = true
	case r.whole:
		ended.Records = gather.Merge([][]byte{records}, r.top)
	default:
		r.parts = append(r.parts, records)
	}
	r.unreported = append(r.unreported, ended)
}

// due reports whether the next report must be sent now and, if not, when to check again.
func (r *reporter) due(now time.Time) (bool, time.Time) {
	if r.pending <= 0 || r.urgent {
		return true, now
	}
	at := r.lastReport.Add(maxReportDelay)
	if len(r.unreported) > 0 {
		held := r.quietUntil
		if r.lastReport.Before(r.holdUntil) {
			held = earlier(held, r.holdUntil)
		}
		at = earlier(at, later(held, r.lastReport.Add(minReportInterval)))
	}
	if !r.settled {
		at = earlier(at, r.quietUntil)
	}
	return !now.Before(at), at
}

func earlier(a, b time.Time) time.Time {
	if b.Before(a) {
		return b
	}
	return a
}

func later(a, b time.Time) time.Time {
	if b.After(a) {
		return b
	}
	return a
}

// report returns the attempts that ended since the last report. Records that rank below the top records of all reported
// parts are omitted, since the requesting VM includes all of those parts in its result.
func (r *reporter) report(now time.Time) BatchReport {
	r.settled = r.settled || !now.Before(r.quietUntil)
	report := BatchReport{Ended: r.unreported, Settled: r.settled}
	if len(r.parts) > 0 {
		fresh := gather.Merge(r.parts, r.top)
		r.topRecords = gather.Merge([][]byte{r.topRecords, fresh}, r.top)
		report.Records = trimBelow(fresh, r.topRecords, r.top)
	}
	r.unreported, r.parts, r.urgent = nil, nil, false
	r.lastReport = now
	return report
}

// trimBelow cuts off the records that are smaller than the last of the greatest. The records are in descending order.
func trimBelow(records, greatest []byte, top int) []byte {
	if len(greatest)/gather.RecordBytes < top || len(greatest) == 0 {
		return records
	}
	least := greatest[len(greatest)-gather.RecordBytes:]
	for at := 0; at+gather.RecordBytes <= len(records); at += gather.RecordBytes {
		if bytes.Compare(records[at:at+gather.RecordBytes], least) < 0 {
			return records[:at]
		}
	}
	return records
}

// finished reports whether every attempt has ended and been reported.
func (r *reporter) finished() bool { return r.pending <= 0 && len(r.unreported) == 0 }
