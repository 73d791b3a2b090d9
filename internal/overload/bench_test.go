package overload_test

import (
	"strconv"
	"testing"
	"time"

	"github.com/wisteriamux/wisteriamux/internal/overload"
)

// BenchmarkAdmit measures a decision while requests are refused, which is the most expensive case.
func BenchmarkAdmit(b *testing.B) {
	door := &overload.Door{}
	now := time.Unix(1_000_000, 0)
	names := make([]string, 85)
	for n := range names {
		names[n] = strconv.Itoa(n)
	}
	b.ReportAllocs()
	for n := 0; b.Loop(); n++ {
		now = now.Add(7 * time.Millisecond)
		if n%16 == 0 {
			door.RecordLate(now, time.Second, time.Second)
		}
		door.Admit(now, overload.Arrival{Team: names[n%85], Rank: n % 3, Objective: time.Second, Returning: n%4 == 0}, 0.5)
	}
}
