// Command review-2 runs the scripted cases of the second review: it starts the project's programs as processes on
// loopback addresses, plays the platform's workers, clients and operator beside them, disturbs them, and judges a rule
// by what those have seen.
//
// # Usage
//
//	review-2 CASE FOLDER
//
// The record of the run goes to FOLDER/record.txt. The exit code is 0 if the rule held, 1 if it was broken, and 2 if
// the case couldn't run. With TROUBLE=0 in the environment the disruption is left out.
package main

import (
	_ "embed"
	"encoding/json"
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"time"
)

const (
	exitHeld   = 0
	exitBroken = 1
	exitNotRun = 2
	// limit ends a run that takes too long.
	limit = 115 * time.Second
)

// wireNames holds the names that the platform uses for calls and fields.
//
//go:embed wire.json
var wireNames []byte

var wire map[string]string

// errNotRun is wrapped by errors that keep a case from running.
var errNotRun = errors.New("the case couldn't run")

// cases holds the function of each case. It returns the violations of its rule.
var cases = map[string]func(t *test) ([]string, error){
	"beat":     runBeat,
	"ends":     runEnds,
	"frame":    runFrame,
	"member":   runMember,
	"snapshot": runSnapshot,
}

// test is one run of a case.
type test struct {
	record  *recorder
	trouble bool
	folder  string
}

func main() {
	os.Exit(run())
}

func run() int {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: review-2 CASE FOLDER")
		return exitNotRun
	}
	if err := json.Unmarshal(wireNames, &wire); err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	record, err := newRecorder(filepath.Join(os.Args[2], "record.txt"))
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	defer record.close()
	folder, err := os.MkdirTemp("", "hyssopseam-review-")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	if os.Getenv("KEEP") == "" {
		defer func() { _ = os.RemoveAll(folder) }()
	} else {
		fmt.Println("logs:", folder)
	}
	t := &test{record: record, trouble: os.Getenv("TROUBLE") != "0", folder: folder}
	record.note("case %s, trouble %t", os.Args[1], t.trouble)
	type outcome struct {
		violations []string
		err        error
	}
	done := make(chan outcome, 1)
	go func() {
		violations, err := cases[os.Args[1]](t)
		done <- outcome{violations, err}
	}()
	var o outcome
	select {
	case o = <-done:
	case <-time.After(limit):
		o.err = fmt.Errorf("%w: it took longer than %s", errNotRun, limit)
	}
	killAll()
	if o.err != nil {
		record.note("not run: %v", o.err)
		fmt.Println("not run:", o.err)
		return exitNotRun
	}
	for _, v := range o.violations {
		record.note("VIOLATION %s", v)
	}
	if len(o.violations) > 0 {
		fmt.Printf("broken: %d violations, the first: %s\n", len(o.violations), o.violations[0])
		return exitBroken
	}
	record.note("the rule held")
	fmt.Println("held")
	return exitHeld
}
