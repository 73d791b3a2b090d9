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

// options holds the flags and the output that all commands share.
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
	exitNoRoute     = 7
	exitNoConfig    = 8
	exitUnknownTeam = 9
	exitUnreachable = 10
)

// notInForceError reports that a change was accepted but was not in force before the timeout.
type notInForceError struct{ err error }

func (e notInForceError) Error() string {
	return "change accepted, but not in force before the timeout: " + e.err.Error()
}

func (e notInForceError) Unwrap() error { return e.err }

// exitCodeOf maps an error to the exit code. Errors other than fault.Error come from cobra's command-line parsing.
func exitCodeOf(err error) int {
	var notInForce notInForceError
	if errors.As(err, &notInForce) {
		return exitNotInForce
	}
	var explain *explainError
	if errors.As(err, &explain) {
		return explain.exitCode
	}
	var faultErr *fault.Error
	if !errors.As(err, &faultErr) {
		return exitBadRequest
	}
	switch faultErr.Code {
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

// errorOutput is the JSON form of an error.
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

// print writes the value as JSON if --json is set, and otherwise calls writeText.
func (o *options) print(value any, writeText func(w io.Writer)) error {
	if !o.json {
		writeText(o.out)
		return nil
	}
	encoder := json.NewEncoder(o.out)
	encoder.SetIndent("", "  ")
	return encoder.Encode(value)
}

// printTable writes the value as JSON if --json is set, and otherwise a table of the rows. The columns of the header
// are separated by "|".
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

// printLine writes the value as JSON if --json is set, and otherwise one formatted line.
func (o *options) printLine(value any, format string, args ...any) error {
	return o.print(value, func(w io.Writer) { _, _ = fmt.Fprintf(w, format+"\n", args...) })
}
