// Command harness plays the scripted cases of the review against the project's own processes.
//
// # Usage
//
//	harness CASE
//
// It writes record.txt into the working directory. It exits with 1 if the rule of the case was broken, 0 if it held, and
// 2 if the case couldn't run. With TROUBLE=0 in the environment it does the same without the disruption.
package main

import (
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"
)

// Exit codes.
const (
	exitHeld   = 0
	exitBroken = 1
	exitFailed = 2
)

// playLimit ends a play that doesn't come to an end by itself.
const playLimit = 115 * time.Second

// result is the outcome of a case.
type result struct {
	broken bool
	what   string
}

// scenario is one case: the deployment that it needs and what it does there.
type scenario struct {
	shape shape
	play  func(d *deployment, trouble bool) (result, error)
}

func main() {
	if len(os.Args) != 2 || scenarios[os.Args[1]].play == nil {
		fmt.Fprintln(os.Stderr, "usage: harness CASE")
		os.Exit(exitFailed)
	}
	os.Exit(run(scenarios[os.Args[1]]))
}

func run(s scenario) int {
	r, err := newRecord("record.txt")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitFailed
	}
	d, err := newDeployment(s.shape, r)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitFailed
	}
	defer d.close()
	type outcome struct {
		result result
		err    error
	}
	interrupted := make(chan os.Signal, 1)
	signal.Notify(interrupted, syscall.SIGINT, syscall.SIGTERM)
	done := make(chan outcome, 1)
	go func() {
		if err := d.start(); err != nil {
			done <- outcome{err: err}
			return
		}
		out, err := s.play(d, os.Getenv("TROUBLE") != "0")
		done <- outcome{out, err}
	}()
	var o outcome
	select {
	case o = <-done:
	case got := <-interrupted:
		o.err = fmt.Errorf("the play was ended by a signal: %s", got)
	case <-time.After(playLimit):
		o.err = fmt.Errorf("the play took longer than %s", playLimit)
	}
	switch {
	case o.err != nil:
		r.add("the case couldn't run: %v", o.err)
		fmt.Println("the case couldn't run:", o.err)
		return exitFailed
	case o.result.broken:
		r.add("BROKEN: %s", o.result.what)
		fmt.Println("broken:", o.result.what)
		return exitBroken
	}
	r.add("held: %s", o.result.what)
	fmt.Println("held:", o.result.what)
	return exitHeld
}
