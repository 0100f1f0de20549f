// Command hyssopseamd is the daemon: it runs the roles that its settings name.
//
// # Usage
//
//	hyssopseamd --config FILE        run until SIGTERM or SIGINT, then stop gracefully
//	hyssopseamd check --config FILE  check the settings
//	hyssopseamd init --config FILE   form a new cluster with this control replica as its first
//
// It exits 0 after a graceful stop, 1 after a failure, and 2 for wrong usage or invalid settings.
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

// usageError marks an error of the command line or the settings, which exits with exitUsage.
type usageError struct{ err error }

// Error returns the text of the wrapped error.
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
	var configPath string
	flags := func(name string) *flag.FlagSet {
		fs := flag.NewFlagSet(name, flag.ContinueOnError)
		fs.StringVar(&configPath, "config", "", "TOML settings file of this process")
		return fs
	}
	withSettings := func(do func(s *hssettings.Settings) error) func(context.Context, []string) error {
		return func(_ context.Context, args []string) error {
			s, err := loadSettings(configPath, args)
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
		Exec:       withSettings(run),
		Subcommands: []*ffcli.Command{
			{
				Name: "check", ShortUsage: "hyssopseamd check --config FILE", ShortHelp: "Check the settings without starting.",
				FlagSet: flags("check"), Exec: withSettings(checkSettings),
			},
			{
				Name: "init", ShortUsage: "hyssopseamd init --config FILE", ShortHelp: "Form a new cluster on the first control replica.",
				FlagSet: flags("init"), Exec: withSettings(formCluster),
			},
		},
	}
}

func loadSettings(configPath string, args []string) (*hssettings.Settings, error) {
	if len(args) > 0 {
		return nil, fmt.Errorf("hyssopseamd: unknown command %q; the commands are check and init", args[0])
	}
	if configPath == "" {
		return nil, errors.New("hyssopseamd: --config FILE is required")
	}
	return hssettings.Load(configPath)
}

func checkSettings(s *hssettings.Settings) error {
	fmt.Printf("%s: the settings are valid; roles %v\n", s.Instance, s.Roles)
	return nil
}

func formCluster(s *hssettings.Settings) error {
	if !s.HasRole(hsmessage.RoleControl) {
		return usageError{errors.New("hyssopseamd: only a process with the control role can form a cluster")}
	}
	id, err := hsdisk.Bootstrap(s.DataFolder, s.Instance, s.Link)
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
