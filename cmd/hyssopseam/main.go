// Command hyssopseam is the command-line client for operators and callers.
//
// # Usage
//
//	hyssopseam rules check|push|show|history [FILE]
//	hyssopseam job submit|get|answer|cancel|list
//	hyssopseam status | workers | dump | explain JOB
//	hyssopseam trace ID LOG...
//	hyssopseam members list|add|remove|replace
//	hyssopseam zone list|evacuate|restore [ZONE]
//	hyssopseam demo [--stay]
//
// Every command that talks to a server takes --server (repeatable; the next is tried on failure) and --json.
// Exit codes: 0 done, 1 failure, 2 wrong usage or bad input, 3 refused and not run, 4 conflict, 5 outcome unknown.
package main

import (
	"context"
	"errors"
	"flag"
	"fmt"
	"io"
	"os"
	"os/signal"
	"syscall"

	"github.com/peterbourgon/ff/v3/ffcli"
)

// Exit codes.
const (
	exitDone     = 0
	exitFailure  = 1
	exitUsage    = 2
	exitNotRun   = 3
	exitConflict = 4
	exitUnknown  = 5
)

// exitError is an error with its exit code.
type exitError struct {
	code int
	text string
}

// Error returns the text of the error.
func (e *exitError) Error() string { return e.text }

func usagef(format string, args ...any) error {
	return &exitError{code: exitUsage, text: fmt.Sprintf(format, args...)}
}

// tool holds the output streams of all commands.
type tool struct {
	out    io.Writer
	errOut io.Writer
}

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	t := &tool{out: os.Stdout, errOut: os.Stderr}
	os.Exit(t.run(ctx, os.Args[1:]))
}

// run parses and runs one command line and returns the exit code.
func (t *tool) run(ctx context.Context, args []string) int {
	root := t.root()
	if err := root.Parse(args); err != nil {
		if !errors.Is(err, flag.ErrHelp) {
			fmt.Fprintln(t.errOut, "hyssopseam:", err)
		}
		return exitUsage
	}
	err := root.Run(ctx)
	var exit *exitError
	switch {
	case err == nil:
		return exitDone
	case errors.Is(err, flag.ErrHelp):
		return exitUsage
	case errors.As(err, &exit):
		fmt.Fprintln(t.errOut, "hyssopseam:", exit.text)
		return exit.code
	}
	fmt.Fprintln(t.errOut, "hyssopseam:", err)
	return exitFailure
}

func (t *tool) root() *ffcli.Command {
	return &ffcli.Command{
		Name:       "hyssopseam",
		ShortUsage: "hyssopseam COMMAND",
		ShortHelp:  "Run jobs, push rules, and show the state of the scheduler.",
		LongHelp: "Examples:\n" +
			"  hyssopseam demo\n" +
			"  hyssopseam rules push --server 127.10.1.2:8100 --operator ama examples/kumasi/rules.txt\n" +
			"  hyssopseam job submit --workspace kejetia --kind counterCheck --shape 1x1worker --class urgent --wait\n" +
			"\nExit codes: 0 done, 1 failure, 2 wrong usage or bad input, 3 refused and not run, 4 conflict, 5 outcome unknown.",
		FlagSet: t.flags("hyssopseam"),
		Subcommands: []*ffcli.Command{
			t.rulesCommand(),
			t.jobCommand(),
			t.viewCommand("status", "the summary of workers, queue, guarantees and rules", "/v1/status", t.printStatus),
			t.explainCommand(),
			t.viewCommand("workers", "the workers", "/v1/workers", t.printWorkers),
			t.viewCommand("dump", "the internal state of the process that answers", "/dump", nil),
			t.traceCommand(),
			t.membersCommand(),
			t.zoneCommand(),
			t.demoCommand(),
		},
		Exec: func(context.Context, []string) error { return flag.ErrHelp },
	}
}

func (t *tool) flags(name string) *flag.FlagSet {
	fs := flag.NewFlagSet(name, flag.ContinueOnError)
	fs.SetOutput(t.errOut)
	return fs
}

// group returns a command that only has subcommands.
func group(name, help string, commands ...*ffcli.Command) *ffcli.Command {
	return &ffcli.Command{
		Name:        name,
		ShortUsage:  "hyssopseam " + name + " COMMAND",
		ShortHelp:   help,
		Subcommands: commands,
		Exec:        func(context.Context, []string) error { return flag.ErrHelp },
	}
}
