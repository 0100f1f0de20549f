// Command hyssopseam-measure takes the measurements in docs/MEASUREMENTS.md and docs/CAPACITY.md.
//
// # Usage
//
//	hyssopseam-measure policy [--sequence kumasi|portLouis|saturated|target] [--seeds N]
//	hyssopseam-measure agents --controls IP:port,... [--count N] [--server IP:port] [--pushes N]
//	hyssopseam-measure load --server IP:port [--callers N] [--time T]
//	hyssopseam-measure sizes
//
// The command policy simulates arrival sequences with the real core on a fake clock; sizes encodes messages and states.
// The commands agents and load need running daemons.
package main

import (
	"context"
	"errors"
	"flag"
	"fmt"
	"os"
	"os/signal"
	"syscall"

	"github.com/peterbourgon/ff/v3/ffcli"
)

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	root := &ffcli.Command{
		Name:        "hyssopseam-measure",
		ShortUsage:  "hyssopseam-measure policy|agents|load|sizes",
		Subcommands: []*ffcli.Command{policyCommand(), agentsCommand(), loadCommand(), sizesCommand()},
		Exec:        func(context.Context, []string) error { return flag.ErrHelp },
	}
	if err := root.ParseAndRun(ctx, os.Args[1:]); err != nil {
		if !errors.Is(err, flag.ErrHelp) {
			fmt.Fprintln(os.Stderr, "hyssopseam-measure:", err)
		}
		os.Exit(1)
	}
}
