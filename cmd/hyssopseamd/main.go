// Command hyssopseamd is the daemon: it holds the roles that its settings name.
//
// # Usage
//
//	hyssopseamd --config FILE        run until SIGTERM or SIGINT, then stop gracefully
//	hyssopseamd check --config FILE  check the settings
//	hyssopseamd init --config FILE   form a new cluster with this control replica as its first
//
// It exits 0 after a graceful stop, 1 after a failure, and 2 for wrong usage or settings.
package main

import (
	"context"
	"errors"
	"flag"
	"fmt"
	"log/slog"
	"os"
	"os/signal"
	"syscall"

	"github.com/peterbourgon/ff/v3/ffcli"

	"hyssopseam/core/hsmessage"
	"hyssopseam/io/hsapp"
	"hyssopseam/io/hsdisk"
	"hyssopseam/io/hslog"
	"hyssopseam/io/hssettings"
)

const (
	exitFailure = 1
	exitUsage   = 2
)

// usageError is a mistake of the operator.
type usageError struct{ err error }

// Error returns the mistake.
func (e usageError) Error() string { return e.err.Error() }

func main() {
	err := command().ParseAndRun(context.Background(), os.Args[1:])
	var usage usageError
	switch {
	case err == nil:
	case errors.Is(err, flag.ErrHelp), errors.As(err, &usage):
		if usage.err != nil {
			fmt.Fprintln(os.Stderr, err)
		}
		os.Exit(exitUsage)
	default:
		fmt.Fprintln(os.Stderr, err)
		os.Exit(exitFailure)
	}
}

func command() *ffcli.Command {
	var config string
	flags := func(name string) *flag.FlagSet {
		fs := flag.NewFlagSet(name, flag.ContinueOnError)
		fs.StringVar(&config, "config", "", "the TOML settings of this process")
		return fs
	}
	with := func(do func(s *hssettings.Settings) error) func(context.Context, []string) error {
		return func(_ context.Context, args []string) error {
			s, err := load(config, args)
			if err != nil {
				return usageError{err}
			}
			return do(s)
		}
	}
	return &ffcli.Command{
		Name:       "hyssopseamd",
		ShortUsage: "hyssopseamd [check|init] --config FILE",
		ShortHelp:  "Run the roles that the settings name.",
		FlagSet:    flags("hyssopseamd"),
		Exec:       with(run),
		Subcommands: []*ffcli.Command{
			{
				Name: "check", ShortUsage: "hyssopseamd check --config FILE", ShortHelp: "Check the settings without starting.",
				FlagSet: flags("check"), Exec: with(check),
			},
			{
				Name: "init", ShortUsage: "hyssopseamd init --config FILE", ShortHelp: "Form a new cluster on the first control replica.",
				FlagSet: flags("init"), Exec: with(form),
			},
		},
	}
}

func load(config string, args []string) (*hssettings.Settings, error) {
	if len(args) > 0 {
		return nil, fmt.Errorf("hyssopseamd: %q is no command; there are check and init", args[0])
	}
	if config == "" {
		return nil, errors.New("hyssopseamd: it needs --config FILE")
	}
	return hssettings.Load(config)
}

func check(s *hssettings.Settings) error {
	fmt.Printf("%s: the settings are right; roles %v\n", s.Instance, s.Roles)
	return nil
}

func form(s *hssettings.Settings) error {
	if !s.Holds(hsmessage.RoleControl) {
		return usageError{errors.New("hyssopseamd: only a process with the control role forms a cluster")}
	}
	id, err := hsdisk.Form(s.DataFolder, s.Instance, s.Link)
	if err != nil {
		return err
	}
	fmt.Printf("%s: formed a new cluster with replica %d\n", s.Instance, id)
	return nil
}

func run(s *hssettings.Settings) error {
	var level slog.Level
	if s.LogLevel != "" {
		if err := level.UnmarshalText([]byte(s.LogLevel)); err != nil {
			return usageError{err}
		}
	}
	app, err := hsapp.New(s, hslog.New(os.Stderr, level), hsapp.Clients{})
	if err != nil {
		return err
	}
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	if err := app.Start(); err != nil {
		return err
	}
	return app.Run(ctx)
}
