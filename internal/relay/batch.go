package relay

import (
	"bytes"
	"time"

	"github.com/wisteriamux/wisteriamux/internal/gather"
)

const (
	// reportInterval is the least time between two reports of a batch that hold parts only. Parts that arrive within it
	// share a message and are merged.
	reportInterval = 3 * time.Millisecond
	// reportHold is how long a report may be held without news. The asking VM takes a relay for silent that does not
	// answer in a few times that.
	reportHold = 40 * time.Millisecond
)

// batch decides what the reports of one batch hold and when they leave. It performs no I/O, time is an argument, and it
// is not safe for concurrent use.
type batch struct {
	top   int
	whole bool
	// pending counts attempts without an end.
	pending int
	// quiet is until when parts are held back, because the asking VM has no use for single ones yet.
	quiet    time.Time
	reported time.Time
	news     []Ended
	// parts are the records of the answered attempts in news.
	parts [][]byte
	// urgent is set if the news hold an end after which the asking VM sends another attempt.
	urgent bool
	// best are the greatest records of all reported parts.
	best []byte
}

func newBatch(args RunArgs, now time.Time) *batch {
	return &batch{top: args.Top, whole: args.Whole, pending: len(args.Attempts), reported: now, quiet: now.Add(args.Quiet)}
}

// end records the end of an attempt, with the records of a part.
func (b *batch) end(ended Ended, records []byte) {
	b.pending--
	switch {
	case ended.Outcome != Answered:
		b.urgent = true
	case b.whole:
		ended.Records = gather.Merge([][]byte{records}, b.top)
	default:
		b.parts = append(b.parts, records)
	}
	b.news = append(b.news, ended)
}

// due reports whether the next report leaves now, and when to ask again otherwise.
func (b *batch) due(now time.Time) (bool, time.Time) {
	if b.pending <= 0 || b.urgent {
		return true, now
	}
	at := b.reported.Add(reportHold)
	if len(b.news) > 0 {
		at = earlier(at, later(b.quiet, b.reported.Add(reportInterval)))
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

// report returns the news and forgets them. Records that are smaller than the greatest ones of all reported parts are
// left out, since the asking VM uses all of those parts.
func (b *batch) report(now time.Time) BatchReport {
	report := BatchReport{Ended: b.news}
	if len(b.parts) > 0 {
		fresh := gather.Merge(b.parts, b.top)
		b.best = gather.Merge([][]byte{b.best, fresh}, b.top)
		report.Records = atLeast(fresh, b.best, b.top)
	}
	b.news, b.parts, b.urgent = nil, nil, false
	b.reported = now
	return report
}

// atLeast returns those of the falling records that are not smaller than the last of the greatest.
func atLeast(records, greatest []byte, top int) []byte {
	if len(greatest) < top*gather.RecordBytes || len(greatest) == 0 {
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
func (b *batch) finished() bool { return b.pending <= 0 && len(b.news) == 0 }
