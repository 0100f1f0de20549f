// Command hyssopseam-node is the daemon with the platform's front end beside its own interface.
//
// # Usage
//
//	hyssopseam-node --config FILE
//
// It runs until SIGTERM or SIGINT and then stops gracefully. On SIGHUP, and when the file
// has changed, it reads its settings again and puts the control replicas that they name in force. It exits 0 after a graceful stop, 1 after a failure,
// and 2 for wrong usage or settings.
package main

import (
	"context"
	"flag"
	"fmt"
	"log/slog"
	"net/netip"
	"os"
	"os/signal"
	"runtime/debug"
	"syscall"
	"time"

	"github.com/peterbourgon/ff/v3"

	"hyssopseam/core/command/hsdispatch"
	"hyssopseam/core/command/hsrunner"
	"hyssopseam/core/command/hsupkeep"
	"hyssopseam/io/hsapp"
	"hyssopseam/io/hslog"
	"hyssopseam/io/hsprocess"
	"hyssopseam/io/hssettings"
	"hyssopseam/platform/command/hsadviser"
	"hyssopseam/platform/command/hsmachine"
	"hyssopseam/platform/command/hsworker"
	"hyssopseam/platform/hsgateway"
)

const (
	exitFailure = 1
	exitUsage   = 2
	// memoryShare is the part of the memory, in percent, that the runtime keeps its heap within.
	memoryShare = 70
	// watchInterval is the time between two looks at the settings file, which may change without a signal.
	watchInterval = 5 * time.Second
	// stopTime bounds the time until the front end has answered what it took.
	stopTime = 4 * time.Second
)

func main() {
	flags := flag.NewFlagSet("hyssopseam-node", flag.ContinueOnError)
	config := flags.String("config", "", "the TOML settings of this process")
	if err := ff.Parse(flags, os.Args[1:]); err != nil {
		os.Exit(exitUsage)
	}
	s, err := hssettings.Load(*config)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(exitUsage)
	}
	if err := run(s, *config); err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(exitFailure)
	}
}

func run(s *hssettings.Settings, config string) error {
	// First of all: a signal that comes before its handler ends the process.
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	hup := make(chan os.Signal, 1)
	signal.Notify(hup, syscall.SIGHUP)
	defer signal.Stop(hup)
	if s.MemoryMB > 0 {
		debug.SetMemoryLimit(int64(s.MemoryMB) << 20 * memoryShare / 100)
	}
	var level slog.Level
	if s.LogLevel != "" {
		if err := level.UnmarshalText([]byte(s.LogLevel)); err != nil {
			return fmt.Errorf("hyssopseam-node: %w", err)
		}
	}
	out := hslog.NewQueue(os.Stdout)
	defer out.Close()
	logger := hslog.New(out, level)
	app, err := hsapp.New(s, logger, clients(s, logger))
	if err != nil {
		return err
	}
	gateway := hsgateway.New(s.Gateway, app.Process(), hslog.Part(logger, "gateway"))
	go reload(ctx, hup, config, app.Process(), hslog.Part(logger, "node"))
	if err := app.Start(); err != nil {
		return err
	}
	if err := gateway.Listen(); err != nil {
		return err
	}
	select {
	case <-ctx.Done():
	case <-app.Process().Failed():
		return app.Run(ctx)
	}
	bounded, cancel := context.WithTimeout(context.Background(), stopTime)
	defer cancel()
	app.HandOver()
	if err := gateway.Stop(bounded); err != nil {
		hslog.Part(logger, "node").Warn("requests were still under way", "error", err)
	}
	return app.Stop()
}

// clients returns how the clients of the platform are made.
func clients(s *hssettings.Settings, log *slog.Logger) hsapp.Clients {
	var source []byte
	if a, err := netip.ParseAddrPort(s.HTTP); err == nil {
		source = a.Addr().AsSlice()
	}
	c := hsapp.Clients{Endpoint: func(p *hsprocess.Process) hsrunner.Endpoint {
		return hsworker.New(p, source, hslog.Part(log, "worker"))
	}}
	if s.Gateway.Advice != "" {
		c.Adviser = func(p *hsprocess.Process) hsdispatch.Adviser {
			return hsadviser.New(s.Gateway.Advice, source, p, hslog.Part(log, "adviser"))
		}
	}
	if s.Gateway.Machines != "" {
		c.Machines = func(p *hsprocess.Process) hsupkeep.Machines {
			return hsmachine.New(s.Gateway.Machines, source, p, hslog.Part(log, "machines"))
		}
	}
	return c
}

// reload reads the settings again on SIGHUP and when the file has changed. The control replicas that they name
// are put in force; the rest is, at the next start.
func reload(ctx context.Context, hup <-chan os.Signal, config string, p *hsprocess.Process, log *slog.Logger) {
	ticker := time.NewTicker(watchInterval)
	defer ticker.Stop()
	seen := modified(config)
	for {
		select {
		case <-ctx.Done():
			return
		case <-hup:
		case <-ticker.C:
			if modified(config).Equal(seen) {
				continue
			}
		}
		seen = modified(config)
		s, err := hssettings.Load(config)
		if err != nil {
			log.Error("settings can't be used", "error", err)
			continue
		}
		log.Info("settings were read again", "controls", s.Controls)
		p.Learn(s.Controls)
	}
}

// modified returns when the file was last changed; the zero time when that can't be told.
func modified(path string) time.Time {
	info, err := os.Stat(path)
	if err != nil {
		return time.Time{}
	}
	return info.ModTime()
}
