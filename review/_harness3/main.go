package main

import (
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"
)

// The exit codes.
const (
	held      = 0
	broken    = 1
	cannotRun = 2
)

// maxDuration is the longest that a case may take.
const maxDuration = 110 * time.Second

// scenario is one case on a running deployment. It returns the exit code and the reason.
type scenario struct {
	agents int
	run    func(d *deployment, trouble string) (int, string)
}

var scenarios = map[string]scenario{}

func main() {
	if len(os.Args) != 3 {
		fmt.Fprintln(os.Stderr, "usage: harness CASE RECORD")
		os.Exit(cannotRun)
	}
	s, ok := scenarios[os.Args[1]]
	if !ok {
		fmt.Fprintln(os.Stderr, "no such case:", os.Args[1])
		os.Exit(cannotRun)
	}
	code, reason := play(s, os.Args[2])
	fmt.Println(reason)
	os.Exit(code)
}

// play runs a scenario and ends everything that it started.
func play(s scenario, path string) (int, string) {
	r, err := newRecord(path)
	if err != nil {
		return cannotRun, err.Error()
	}
	d, err := newDeployment(r, s.agents)
	if d != nil {
		defer d.close()
	}
	if err != nil {
		return cannotRun, err.Error()
	}
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGINT, syscall.SIGTERM)
	type outcome struct {
		code   int
		reason string
	}
	done := make(chan outcome, 1)
	go func() {
		code, reason := s.run(d, os.Getenv("TROUBLE"))
		done <- outcome{code, reason}
	}()
	var o outcome
	select {
	case o = <-done:
	case <-signals:
		o = outcome{cannotRun, "ended by a signal"}
	case <-time.After(maxDuration):
		o = outcome{cannotRun, "the case took too long"}
	}
	r.add("result %d: %s", o.code, o.reason)
	return o.code, o.reason
}
