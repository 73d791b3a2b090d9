// Package fault defines the typed errors of wisteriamux. Every failure carries a code that a caller, an operator or
// another process can act on.
package fault

import (
	"errors"
	"fmt"
)

// Code classifies a failure by what the receiver may do about it.
type Code string

// The codes of the project. NotRun, OverShare and Overloaded guarantee that the request did not run anywhere.
const (
	NotRun         Code = "not_run"
	OverShare      Code = "over_share"
	Overloaded     Code = "overloaded"
	OutcomeUnknown Code = "outcome_unknown"
	Incomplete     Code = "incomplete"
	Conflict       Code = "conflict"
	Quarantined    Code = "quarantined"
	BadRequest     Code = "bad_request"
	TooLarge       Code = "too_large"
	HeaderTooLarge Code = "header_too_large"
	RequestTimeout Code = "request_timeout"
	NotFound       Code = "not_found"
	Forbidden      Code = "forbidden"
	// UnsupportedMedia and MethodNotAllowed refuse a request by its content type and its method.
	UnsupportedMedia Code = "unsupported_media"
	MethodNotAllowed Code = "method_not_allowed"
	NotLeader        Code = "not_leader"
	LeaseLost        Code = "lease_lost"
	Fenced           Code = "fenced"
	// Moved means that the owner did not run the request, because the upstream leaves or has another owner now.
	Moved           Code = "moved"
	SnapshotRetired Code = "snapshot_retired"
	UpstreamFailed  Code = "upstream_failed"
	UpstreamCrashed Code = "upstream_crashed"
	Cancelled       Code = "cancelled"
	Unavailable     Code = "unavailable"
	StorageFailed   Code = "storage_failed"
	Corrupt         Code = "corrupt"
	Settings        Code = "settings"
	Internal        Code = "internal"
)

// Error is a failure with its code, the operation that failed and an optional cause.
type Error struct {
	Code Code
	Op   string
	Err  error
}

// New builds an Error; format and args are those of fmt.Errorf and may wrap a cause with %w.
func New(code Code, op, format string, args ...any) *Error {
	return &Error{Code: code, Op: op, Err: fmt.Errorf(format, args...)}
}

// Error implements the error interface.
func (e *Error) Error() string {
	return fmt.Sprintf("%s: %s: %v", e.Op, e.Code, e.Err)
}

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Err }

// CodeOf returns the code of the outermost Error in err's chain, or Internal for an error of another type.
func CodeOf(err error) Code {
	var typed *Error
	if errors.As(err, &typed) {
		return typed.Code
	}
	return Internal
}

// Is reports whether err carries the code.
func Is(err error, code Code) bool {
	return err != nil && CodeOf(err) == code
}

// WireError is the form of an Error inside an RPC reply. net/rpc carries errors as plain strings, which would lose the code.
type WireError struct {
	Code    Code
	Op      string
	Message string
}

// ToWire converts err for an RPC reply; nil stays nil.
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

// AsError converts a Wire back into an error; nil stays nil.
func (w *WireError) AsError() error {
	if w == nil {
		return nil
	}
	return New(w.Code, w.Op, "%s", w.Message)
}
