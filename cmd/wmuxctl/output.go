package main

import (
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/wisteriamux/wisteriamux/internal/fault"
	"github.com/wisteriamux/wisteriamux/internal/security"
)

// options are the flags that all commands share.
type options struct {
	control []string
	json    bool
	timeout time.Duration
	tls     security.Files
	out     io.Writer
}

// The exit codes, as documented in the help of the root command.
const (
	exitInternal    = 1
	exitBadRequest  = 2
	exitConflict    = 3
	exitNotFound    = 4
	exitUnavailable = 5
	exitNotInForce  = 6
)

// notInForceError reports a change that was accepted but did not get into force in time.
type notInForceError struct{ err error }

func (e notInForceError) Error() string {
	return "accepted, but not in force in time: " + e.err.Error()
}

func (e notInForceError) Unwrap() error { return e.err }

// exitCodeOf maps an error to the exit code. An error without a type comes from the parsing of the command line.
func exitCodeOf(err error) int {
	var late notInForceError
	if errors.As(err, &late) {
		return exitNotInForce
	}
	var typed *fault.Error
	if !errors.As(err, &typed) {
		return exitBadRequest
	}
	switch typed.Code {
	case fault.BadRequest, fault.Settings, fault.TooLarge, fault.Forbidden:
		return exitBadRequest
	case fault.Conflict, fault.Fenced:
		return exitConflict
	case fault.NotFound:
		return exitNotFound
	case fault.Unavailable, fault.NotLeader, fault.NotRun:
		return exitUnavailable
	}
	return exitInternal
}

// errorOutput is the form of an error for programs.
type errorOutput struct {
	Code     fault.Code `json:"code"`
	Message  string     `json:"message"`
	ExitCode int        `json:"exit_code"`
}

func (o *options) printError(w io.Writer, err error) {
	if !o.json {
		_, _ = fmt.Fprintln(w, "Error:", err)
		return
	}
	code := fault.CodeOf(err)
	if exitCodeOf(err) == exitBadRequest && code == fault.Internal {
		code = fault.BadRequest
	}
	_ = json.NewEncoder(w).Encode(errorOutput{Code: code, Message: err.Error(), ExitCode: exitCodeOf(err)})
}

// print writes JSON for programs, or else what the function for people writes.
func (o *options) print(value any, people func(w io.Writer)) error {
	if !o.json {
		people(o.out)
		return nil
	}
	encoder := json.NewEncoder(o.out)
	encoder.SetIndent("", "  ")
	return encoder.Encode(value)
}

// printTable writes JSON for programs, or else a table of the rows.
func (o *options) printTable(value any, header string, rows [][]any) error {
	return o.print(value, func(w io.Writer) { writeTable(w, header, rows) })
}

func writeTable(w io.Writer, header string, rows [][]any) {
	table := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	_, _ = fmt.Fprintln(table, strings.ReplaceAll(header, "|", "\t"))
	for _, row := range rows {
		cells := make([]string, 0, len(row))
		for _, cell := range row {
			cells = append(cells, fmt.Sprint(cell))
		}
		_, _ = fmt.Fprintln(table, strings.Join(cells, "\t"))
	}
	_ = table.Flush()
}

// printLine writes JSON for programs, or else one line.
func (o *options) printLine(value any, format string, args ...any) error {
	return o.print(value, func(w io.Writer) { _, _ = fmt.Fprintf(w, format+"\n", args...) })
}
