package router

import "time"

const (
	// limitTolerance is how much the time limits of first attempts differ, because callers count from before they have a
	// connection.
	limitTolerance = 40 * time.Millisecond
	// limitVotes bounds how many unusual limits in a row make another one usual.
	limitVotes = 12
)

// usualLimit finds the time limit that callers of a route name at their first attempt. Second attempts name what is
// left of it, and thereby tell how long the caller has waited. The limit of most requests wins, because tests and
// earlier configurations bring other limits.
type usualLimit struct {
	limit time.Duration
	votes int
}

func (u *usualLimit) observe(limit time.Duration) {
	switch {
	case limit >= u.limit-limitTolerance && limit <= u.limit+limitTolerance:
		u.limit = max(u.limit, limit)
		u.votes = min(u.votes+1, limitVotes)
	case u.votes > 0:
		u.votes--
	default:
		u.limit = limit
		u.votes = 1
	}
}

// waited returns how long the caller of a request with the limit has waited for earlier attempts.
func (u *usualLimit) waited(limit time.Duration) time.Duration {
	if waited := u.limit - limit; waited > limitTolerance {
		return waited
	}
	return 0
}
