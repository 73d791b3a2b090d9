// Package fault defines the typed errors of wisteriamux. Every error carries a code from which a caller, an operator or
// another process can tell how to handle it.
package fault

import (
	"errors"
	"fmt"
)

// Code classifies an error by what its receiver can do about it, for example whether a retry is safe.
type Code string

// The error codes. NotRun, OverShare, Overloaded, RateLimited, OverQuota and Unconfirmed guarantee that no upstream ran the request.
const (
	NotRun Code = "not_run"
	// OverShare rejects a request of a caller that exceeds its fair share while the system is overloaded.
	OverShare  Code = "over_share"
	Overloaded Code = "overloaded"
	// RateLimited means that the upstreams that could serve the request are at the rate limits that they have named.
	RateLimited Code = "rate_limited"
	// OverQuota means that the team of the caller has used up its quota.
	OverQuota Code = "over_quota"
	// OutcomeUnknown means that the request may or may not have run.
	OutcomeUnknown Code = "outcome_unknown"
	// Incomplete means that too few shards or upstreams answered in time.
	Incomplete Code = "incomplete"
	Conflict   Code = "conflict"
	// Quarantined rejects a request whose fingerprint is quarantined because such requests crash upstreams.
	Quarantined    Code = "quarantined"
	BadRequest     Code = "bad_request"
	TooLarge       Code = "too_large"
	HeaderTooLarge Code = "header_too_large"
	RequestTimeout Code = "request_timeout"
	NotFound       Code = "not_found"
	Forbidden      Code = "forbidden"
	// Unauthenticated rejects a request whose key belongs to no team.
	Unauthenticated Code = "unauthenticated"
	// Unconfirmed rejects a request because this VM cannot be sure which team the key of the request belongs to.
	Unconfirmed Code = "unconfirmed"
	// UnsupportedMedia and MethodNotAllowed reject a request because of its content type or its method.
	UnsupportedMedia Code = "unsupported_media"
	MethodNotAllowed Code = "method_not_allowed"
	NotLeader        Code = "not_leader"
	// Unsupported means that a process of an older version does not know the call.
	Unsupported Code = "unsupported"
	LeaseLost   Code = "lease_lost"
	// Fenced means that the sender's instance is no longer current.
	Fenced Code = "fenced"
	// Moved means that the owner did not run the request, because the upstream is leaving or has another owner now.
	Moved Code = "moved"
	// Misdirected rejects a request that is meant for another process.
	Misdirected Code = "misdirected"
	// SnapshotRetired means that the upstream no longer serves the index version that the request is pinned to.
	SnapshotRetired Code = "snapshot_retired"
	UpstreamFailed  Code = "upstream_failed"
	UpstreamCrashed Code = "upstream_crashed"
	// ResponseTooLarge means that an upstream's response was given up because it exceeded a limit.
	ResponseTooLarge Code = "response_too_large"
	Cancelled        Code = "cancelled"
	Unavailable      Code = "unavailable"
	StorageFailed    Code = "storage_failed"
	Corrupt          Code = "corrupt"
	Settings         Code = "settings"
	Internal         Code = "internal"
)

// Error is an error with its code, the operation that failed and the cause.
type Error struct {
	Code Code
	Op   string
	Err  error
}

// New returns an Error. It passes format and args to fmt.Errorf, so %w wraps a cause.
func New(code Code, op, format string, args ...any) *Error {
	return &Error{Code: code, Op: op, Err: fmt.Errorf(format, args...)}
}

// Error implements the error interface.
func (e *Error) Error() string {
	return fmt.Sprintf("%s: %s: %v", e.Op, e.Code, e.Err)
}

// Unwrap returns the cause, for errors.Is and errors.As.
func (e *Error) Unwrap() error { return e.Err }

// CodeOf returns the code of the outermost Error in err's chain, or Internal for an error of another type.
func CodeOf(err error) Code {
	var typed *Error
	if errors.As(err, &typed) {
		return typed.Code
	}
	return Internal
}

// Is reports whether err is not nil and CodeOf returns the code for it.
func Is(err error, code Code) bool {
	return err != nil && CodeOf(err) == code
}

// WireError is the form of an Error in an RPC reply. net/rpc transmits a returned error as a plain string, which would
// lose the code.
type WireError struct {
	Code    Code
	Op      string
	Message string
}

// ToWire converts err for an RPC reply. It returns nil for a nil error.
func ToWire(err error) *WireError {
	if err == nil {
		return nil
	}
	var typed *Error
	if errors.As(err, &typed) {
		return &WireError{Code: typed.Code, Op: typed.Op, Message: typed.Err.Error()}
	}
	return &WireError{Code: Internal, Op: "internal", Message: err.Error()}
}

// AsError converts the reply's error back into an Error. It returns nil for a nil receiver.
func (w *WireError) AsError() error {
	if w == nil {
		return nil
	}
	return New(w.Code, w.Op, "%s", w.Message)
}
