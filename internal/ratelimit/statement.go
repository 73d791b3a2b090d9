// Package ratelimit keeps the request rates that upstreams name for all entry VMs together, and divides each of them
// among the VMs: one VM holds the token bucket of an upstream and grants permits to all VMs, its own requests included.
// It performs no I/O; the time and the random draws are arguments.
package ratelimit

import (
	"strconv"

	"github.com/wisteriamux/wisteriamux/internal/fault"
)

const (
	// maxTextBytes is longer than any sensible limit. Longer texts are not parsed.
	maxTextBytes = 32
	// UnreadablePerSecond is the limit of an upstream whose named limit cannot be read while none is in force: the upstream
	// is in need, and how much it can take is unknown.
	UnreadablePerSecond = 5.0
)

// Statement is what one response says about the request rate of its upstream.
type Statement struct {
	// PerSecond is the number of requests per second that the upstream takes from all VMs together, or 0 if the response
	// names no limit.
	PerSecond float64
	// Err is set if the response names a limit that cannot be read.
	Err error
}

// ParseStatement parses the values of the header that names a limit: no value, or one positive decimal number.
func ParseStatement(values []string) Statement {
	switch {
	case len(values) == 0:
		return Statement{}
	case len(values) > 1:
		return unreadable("%d values, accepted: one", len(values))
	case len(values[0]) > maxTextBytes:
		return unreadable("%d bytes, accepted: at most %d", len(values[0]), maxTextBytes)
	}
	perSecond, err := strconv.ParseFloat(values[0], 64)
	if err != nil || !isDecimal(values[0]) || perSecond <= 0 {
		return unreadable("value %q, accepted: a positive decimal number", values[0])
	}
	return Statement{PerSecond: perSecond}
}

// isDecimal reports whether the text consists of digits and points. strconv.ParseFloat also accepts infinities, NaN,
// signs, exponents and hexadecimal numbers.
func isDecimal(text string) bool {
	for _, c := range text {
		if (c < '0' || c > '9') && c != '.' {
			return false
		}
	}
	return true
}

func unreadable(format string, args ...any) Statement {
	return Statement{Err: fault.New(fault.BadRequest, "ratelimit.parse", "rate limit of an upstream: "+format, args...)}
}
