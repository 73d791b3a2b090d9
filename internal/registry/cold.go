package registry

import "time"

// coldTolerance is the least time by which the end of a cold start must move before it is registered again. Reports that only
// count down differ by the delay of messages.
const coldTolerance = 2 * time.Second

// WithColdEnd returns the report with the end of the cold start, and marks it if that end differs from the registered one.
func (t *Table) WithColdEnd(r Report, now time.Time) Report {
	if r.Left || r.Silent {
		return r
	}
	if r.Instance.ColdMillis > 0 {
		r.Instance.ColdUntil = now.UnixMilli() + r.Instance.ColdMillis
	}
	current, known := t.instances[r.Instance.ID]
	if !known || current.Born != r.Instance.Born {
		return r
	}
	registered := max(current.ColdUntil, now.UnixMilli())
	reported := max(r.Instance.ColdUntil, now.UnixMilli())
	// An upstream that reports the same time left again and again is registered at most once in half of that time.
	tolerance := max(coldTolerance.Milliseconds(), r.Instance.ColdMillis/2)
	r.ColdChanged = reported > registered+tolerance || registered > reported+coldTolerance.Milliseconds()
	return r
}
