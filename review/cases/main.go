// Package main runs the scripted cases of the review. Each case starts the processes of the deploy file on loopback addresses,
// together with stand-ins for clients, servers and the platform, and checks one rule.
//
// Exit status: 0 if the rule held, 1 if it was broken, 2 if the case could not run.
package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"
)

// caseLimit bounds the duration of a case.
const caseLimit = 118 * time.Second

// cases are the cases by name. A case returns an error if it could not run.
var cases = map[string]func(ctx context.Context, r *record, trouble bool) error{
	"drain":   drainCase,
	"replace": replaceCase,
}

func main() {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: cases drain|replace RECORD")
		os.Exit(2)
	}
	os.Exit(run(os.Args[1], os.Args[2]))
}

func run(name, path string) int {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	ctx, cancel := context.WithTimeout(ctx, caseLimit)
	defer cancel()
	r, err := newRecord(path)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
	trouble := os.Getenv("TROUBLE") != "0"
	r.add("case %s, disruption: %t", name, trouble)
	if err := cases[name](ctx, r, trouble); err != nil {
		r.add("the case could not run: %v", err)
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
	return r.finish()
}
