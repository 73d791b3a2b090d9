package upstreamapi

import (
	"log/slog"
	"net/http"
	"sync"
	"time"

	"github.com/wisteriamux/wisteriamux/internal/fault"
	"github.com/wisteriamux/wisteriamux/internal/ratelimit"
	"github.com/wisteriamux/wisteriamux/internal/registry"
)

// RateLimiter keeps the requests to one upstream process to the rate limit that it names. The entry VM that owns an
// upstream is the only one that sends to it, so that no other VM has to be asked for permits. It is safe for concurrent use.
type RateLimiter struct {
	upstream string
	log      *slog.Logger

	// mu guards the fields below.
	mu     sync.Mutex
	book   *ratelimit.Book
	issuer *ratelimit.Issuer
}

// NewRateLimiter returns the limiter of an upstream that has named no limit yet.
func NewRateLimiter(upstream string, log *slog.Logger) *RateLimiter {
	return &RateLimiter{upstream: upstream, log: log, book: ratelimit.NewBook(), issuer: ratelimit.NewIssuer()}
}

// theUpstream is the key of the only upstream of a limiter.
var theUpstream registry.Process

// take returns a NotRun error with a ratelimit.NoRoomError in its chain if the upstream is at its rate limit.
func (l *RateLimiter) take(now time.Time) error {
	l.mu.Lock()
	defer l.mu.Unlock()
	perSecond, _ := l.book.Known(theUpstream)
	if perSecond == 0 {
		return nil
	}
	grant := l.issuer.Take(now, theUpstream, ratelimit.Demand{PerSecond: perSecond}, 0)
	if grant.Granted {
		return nil
	}
	return fault.New(fault.NotRun, "upstream.post", "%w", &ratelimit.NoRoomError{RetryAfter: grant.RetryAfter})
}

// observe records what a response says about the request rate of the upstream.
func (l *RateLimiter) observe(now time.Time, header http.Header) {
	statement := ratelimit.ParseStatement(header.Values(HeaderRateLimit))
	l.mu.Lock()
	change := l.book.Observe(now, theUpstream, statement)
	l.mu.Unlock()
	if change.BecameUnreadable {
		l.log.Warn("upstream rate limit cannot be read", "upstream", l.upstream, "in_force", change.After, "error", statement.Err)
	}
	if change.Before != change.After {
		l.log.Info("upstream rate limit changed", "upstream", l.upstream, "before", change.Before, "after", change.After)
	}
}
