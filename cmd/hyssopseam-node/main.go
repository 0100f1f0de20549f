// Command hyssopseam-node is the daemon for the platform: it runs the roles that its settings name and serves the
// platform's HTTP interfaces besides its own.
//
// # Usage
//
//	hyssopseam-node --config FILE
//
// It runs until SIGTERM or SIGINT and then stops gracefully. On SIGHUP, and when the settings file has changed, it
// reloads the settings and applies the list of control replicas. It exits 0 after a graceful stop, 1 after a failure,
// and 2 for wrong usage or invalid settings.
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
	"hyssopseam/core/command/hsmaintenance"
	"hyssopseam/core/command/hsrunner"
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
	// memoryLimitPercent is the percentage of the configured memory that is the soft memory limit of the Go runtime.
	memoryLimitPercent = 70
	// watchInterval is the time between two checks of the settings file, which may change without a SIGHUP.
	watchInterval = 5 * time.Second
	// stopTimeout limits how long a stopping front end waits for the requests in flight.
	stopTimeout = 4 * time.Second
)

func main() {
	flags := flag.NewFlagSet("hyssopseam-node", flag.ContinueOnError)
	configPath := flags.String("config", "", "TOML settings file of this process")
	if err := ff.Parse(flags, os.Args[1:]); err != nil {
		os.Exit(exitUsage)
	}
	s, err := hssettings.Load(*configPath)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(exitUsage)
	}
	if err := run(s, *configPath); err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(exitFailure)
	}
}

func run(s *hssettings.Settings, configPath string) error {
	// The handlers come first: a signal that arrives before its handler is installed ends the process.
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	reloadSignals := make(chan os.Signal, 1)
	signal.Notify(reloadSignals, syscall.SIGHUP)
	defer signal.Stop(reloadSignals)
	if s.MemoryMB > 0 {
		debug.SetMemoryLimit(int64(s.MemoryMB) << 20 * memoryLimitPercent / 100)
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
	app, err := hsapp.New(s, logger, newClients(s, logger))
	if err != nil {
		return err
	}
	gateway := hsgateway.New(s.Gateway, app.Process(), hslog.Part(logger, "gateway"))
	go reload(ctx, reloadSignals, configPath, app.Process(), hslog.Part(logger, "node"))
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
	stopCtx, cancel := context.WithTimeout(context.Background(), stopTimeout)
	defer cancel()
	app.TransferLeadership()
	if err := gateway.Stop(stopCtx); err != nil {
		hslog.Part(logger, "node").Warn("requests were still in flight at the stop", "error", err)
	}
	return app.Stop()
}

// newClients returns the constructors of the clients for the platform's services. Connections come from the address of
// the process's own HTTP interface, or from any address when that isn't an IP and port. The policy service and the
// machine API have clients only if the settings name them.
func newClients(s *hssettings.Settings, log *slog.Logger) hsapp.Clients {
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
		c.Machines = func(p *hsprocess.Process) hsmaintenance.Machines {
			return hsmachine.New(s.Gateway.Machines, source, p, hslog.Part(log, "machines"))
		}
	}
	return c
}

// reload reloads the settings on SIGHUP and when the file has changed, until ctx ends. Only the list of control
// replicas is applied; other changes take effect at the next start. Invalid settings are logged and ignored.
func reload(ctx context.Context, reloadSignals <-chan os.Signal, configPath string, p *hsprocess.Process, log *slog.Logger) {
	ticker := time.NewTicker(watchInterval)
	defer ticker.Stop()
	lastModified := modTime(configPath)
	for {
		select {
		case <-ctx.Done():
			return
		case <-reloadSignals:
		case <-ticker.C:
			if modTime(configPath).Equal(lastModified) {
				continue
			}
		}
		lastModified = modTime(configPath)
		s, err := hssettings.Load(configPath)
		if err != nil {
			log.Error("reloading the settings failed", "error", err)
			continue
		}
		log.Info("settings reloaded", "controls", s.Controls)
		p.SetControls(s.Controls)
	}
}

// modTime returns the modification time of a file, or the zero time when it can't be read.
func modTime(path string) time.Time {
	info, err := os.Stat(path)
	if err != nil {
		return time.Time{}
	}
	return info.ModTime()
}
