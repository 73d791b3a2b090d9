package main

import (
	"fmt"
	"os"
	"os/signal"
	"path/filepath"
	"sync"
	"syscall"
	"time"
)

// The exit codes of a case.
const (
	held = iota
	broken
	notRun
)

// longestRun is the time after which a case is given up.
const longestRun = 110 * time.Second

// cases are the script cases by name. Each returns an exit code; an error means that it could not run.
var cases = map[string]func(rec *record, trouble bool) (int, error){
	"newline":  newline,
	"attempts": attempts,
	"foreign":  foreign,
	"late":     late,
}

// cleanup ends what the case has started. It runs once, also if the case is interrupted.
var cleanup struct {
	sync.Mutex
	run func()
}

func onExit(run func()) {
	cleanup.Lock()
	defer cleanup.Unlock()
	cleanup.run = run
}

func runCleanup() {
	cleanup.Lock()
	defer cleanup.Unlock()
	if cleanup.run != nil {
		cleanup.run()
		cleanup.run = nil
	}
}

func main() {
	interrupted := make(chan os.Signal, 1)
	signal.Notify(interrupted, os.Interrupt, syscall.SIGTERM)
	finished := make(chan int, 1)
	go func() { finished <- play() }()
	code := notRun
	select {
	case code = <-finished:
	case <-interrupted:
	case <-time.After(longestRun):
	}
	runCleanup()
	os.Exit(code)
}

func play() int {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: second CASE DIR")
		return notRun
	}
	dir, err := filepath.Abs(os.Args[2])
	if err != nil {
		return notRun
	}
	rec, err := newRecord(dir)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return notRun
	}
	defer rec.close()
	trouble := os.Getenv("TROUBLE") != "0"
	rec.note("case %s, trouble %t", os.Args[1], trouble)
	code, err := cases[os.Args[1]](rec, trouble)
	if err != nil {
		rec.note("could not run: %v", err)
		fmt.Fprintln(os.Stderr, err)
		return notRun
	}
	verdict := map[int]string{held: "the rule held", broken: "the rule was broken"}[code]
	rec.note("%s", verdict)
	fmt.Println(os.Args[1]+":", verdict)
	return code
}
