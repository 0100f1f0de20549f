// Package hsapp assembles a process from its settings, runs it and stops it gracefully.
//
// The injectors in wire.go build the dependencies that the roles share, and each role separately; a process holds any
// set of roles. A graceful stop takes these steps: the readiness check fails, the process keeps serving for the drain
// delay so that the load balancer notices, new jobs are refused, requests in flight are answered, leadership is handed
// over, and only then are links and log closed.
//
// # Usage
//
//	app, err := hsapp.New(settings, logger, hsapp.Clients{})
//	if err := app.Start(); err != nil {
//		return err
//	}
//	err = app.Run(ctx) // until ctx ends or the process fails
package hsapp

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"time"

	"hyssopseam/core/command/hsagent"
	"hyssopseam/core/command/hscontrol"
	"hyssopseam/core/command/hsdispatch"
	"hyssopseam/core/command/hsentry"
	"hyssopseam/core/command/hsmaintenance"
	"hyssopseam/core/command/hsrunner"
	"hyssopseam/core/command/hsspeed"
	"hyssopseam/core/hsmessage"
	"hyssopseam/io/hslog"
	"hyssopseam/io/hsprocess"
	"hyssopseam/io/hsserver"
	"hyssopseam/io/hssettings"
)

// App is one process. Its methods must be called from a single goroutine.
type App struct {
	base    *base
	log     *slog.Logger
	server  *hsserver.Server
	cleanup []func()
}

// Clients holds constructors for the clients of external services. Each client delivers its results to the process.
// A nil function leaves that client out; the runner role requires Endpoint.
type Clients struct {
	Endpoint func(p *hsprocess.Process) hsrunner.Endpoint
	Adviser  func(p *hsprocess.Process) hsdispatch.Adviser
	Machines func(p *hsprocess.Process) hsmaintenance.Machines
}

// New builds the process without opening any listener.
func New(s *hssettings.Settings, logger *slog.Logger, clients Clients) (*App, error) {
	if s.HasRole(hsmessage.RoleRunner) && clients.Endpoint == nil {
		return nil, errors.New("hsapp: the runner role needs an endpoint client")
	}
	b, err := initBase(s, logger)
	if err != nil {
		return nil, fmt.Errorf("hsapp: %w", err)
	}
	if clients.Adviser != nil {
		b.adviser = clients.Adviser(b.process)
	}
	if clients.Machines != nil {
		b.machines = clients.Machines(b.process)
	}
	a := &App{base: b, log: hslog.Part(logger, "app")}
	var (
		control  *hscontrol.Control
		entry    *hsentry.Entry
		agent    *hsagent.Agent
		platform hsserver.AddressSetter
	)
	if s.HasRole(hsmessage.RoleControl) {
		var cleanup func()
		if control, cleanup, err = initControl(b); err != nil {
			return nil, err
		}
		a.cleanup = append(a.cleanup, cleanup)
	}
	if s.HasRole(hsmessage.RoleEntry) {
		entry = initEntry(b)
	}
	if s.HasRole(hsmessage.RoleAgent) {
		role, cleanup := initAgent(b)
		agent = role.agent
		platform = role.platform
		a.cleanup = append(a.cleanup, cleanup)
	}
	b.process.Attach(control, entry, agent)
	if s.HasRole(hsmessage.RoleRunner) {
		b.process.AttachRunner(initRunner(b, clients.Endpoint(b.process)))
	}
	a.registerMetrics()
	if err := a.createServer(platform); err != nil {
		return nil, err
	}
	return a, nil
}

// createServer creates the HTTP server, which listens only after Start.
func (a *App) createServer(platform hsserver.AddressSetter) error {
	s := a.base.settings
	c := hsserver.Config{
		Address: s.HTTP,
		Entry:   s.HasRole(hsmessage.RoleEntry),
		Agent:   s.HasRole(hsmessage.RoleAgent),
	}
	if s.TLS.Enabled() {
		var err error
		if c.TLS, err = httpTLS(s.TLS); err != nil {
			return err
		}
	}
	a.server = hsserver.New(c, a.base.process, a.base.metrics.Handler(), platform, hslog.Part(a.base.log, "http"))
	return nil
}

// registerMetrics adds the metrics that are read when they are collected: from the snapshot, the process's
// counters and those of the links.
func (a *App) registerMetrics() {
	m, p, c := a.base.metrics, a.base.process, &a.base.links.Counters
	fromSnapshot := func(read func(s *hsprocess.Snapshot) float64) func() float64 {
		return func() float64 { return read(p.Snapshot()) }
	}
	m.Gauge("rules_number", "Number of the rule set that the process applies.", fromSnapshot(func(s *hsprocess.Snapshot) float64 { return float64(s.Rules) }))
	m.Gauge("rules_lease_held", "1 while the rules lease lasts.", fromSnapshot(func(s *hsprocess.Snapshot) float64 { return boolToFloat(s.HasRulesLease) }))
	m.Gauge("term", "Current term of the control log.", fromSnapshot(func(s *hsprocess.Snapshot) float64 { return float64(s.Term) }))
	m.Gauge("commit_index", "Index of the last committed entry of the control log.", fromSnapshot(func(s *hsprocess.Snapshot) float64 { return float64(s.Commit) }))
	m.Gauge("log_entries", "Control log entries since the last compaction.", fromSnapshot(func(s *hsprocess.Snapshot) float64 { return float64(s.LogLength) }))
	m.Gauge("pending_requests", "Requests waiting for a reply from the control role.", fromSnapshot(func(s *hsprocess.Snapshot) float64 { return float64(s.Pending) }))
	m.Gauge("agent_tasks", "Grants that the agent holds.", fromSnapshot(func(s *hsprocess.Snapshot) float64 { return float64(s.AgentTasks) }))
	for _, class := range hsspeed.Classes() {
		m.LabeledGauge("work_workers", "Workers by class of speed; 0 on replicas that don't lead and while speeds aren't learned.", "speed", class.String(),
			fromSnapshot(func(s *hsprocess.Snapshot) float64 { return float64(s.WorkersBySpeed[class]) }))
	}
	m.GaugeList("work_share", "Share of each workspace in the capacity that nobody is guaranteed; none on replicas that don't lead and while capacity isn't shared.", "workspace",
		func(add func(label string, value float64)) {
			for _, w := range p.Snapshot().WorkShares {
				if w.Zone == "" {
					add(string(w.Workspace), w.Share)
				}
			}
		})
	m.Gauge("inbox_length", "Inputs queued for the control goroutine.", func() float64 { return float64(p.Backlog()) })
	m.Counter("stray_answers_total", "Replies received for which no request was pending.", fromSnapshot(func(s *hsprocess.Snapshot) float64 { return float64(s.StrayReplies) }))
	m.Counter("control_busy_seconds_total", "Time that the control goroutine spent processing inputs.", func() float64 { return p.BusyTime().Seconds() })
	m.Counter("link_sent_bytes_total", "Bytes sent to other processes.", func() float64 { return float64(c.SentBytes.Load()) })
	m.Counter("link_received_bytes_total", "Bytes received from other processes.", func() float64 { return float64(c.ReceivedBytes.Load()) })
	m.Counter("link_dropped_total", "Messages dropped because they couldn't be queued.", func() float64 { return float64(c.Dropped.Load()) })
	m.Counter("link_replaced_total", "Connections closed because the peer was silent.", func() float64 { return float64(c.ClosedSilent.Load()) })
}

func boolToFloat(b bool) float64 {
	if b {
		return 1
	}
	return 0
}

// Start opens the listeners and starts the control goroutine.
func (a *App) Start() error {
	if err := a.base.links.Listen(); err != nil {
		return err
	}
	go a.base.process.Run()
	if err := a.server.Listen(); err != nil {
		return err
	}
	s := a.base.settings
	a.log.Info("process started", "instance", s.Instance, "zone", s.Zone, "roles", s.Roles, "http", s.HTTP, "link", s.Link)
	return nil
}

// Process returns the running roles.
func (a *App) Process() *hsprocess.Process { return a.base.process }

// LinkBytes returns the bytes sent and received over the links.
func (a *App) LinkBytes() (sent, received int64) {
	c := &a.base.links.Counters
	return c.SentBytes.Load(), c.ReceivedBytes.Load()
}

// Run waits until the context ends and then stops gracefully. It returns an error when the process fails, or when the
// roles haven't drained by the end of the drain timeout.
func (a *App) Run(ctx context.Context) error {
	select {
	case <-ctx.Done():
	case <-a.base.process.Failed():
		a.log.Error("process failed", "error", a.base.process.Err())
		return a.base.process.Err()
	}
	return a.Stop()
}

// TransferLeadership gives up leadership ahead of a stop. Until Stop, requests are forwarded to the next leader.
func (a *App) TransferLeadership() { a.base.process.TransferLeadership() }

// Stop stops the process gracefully, in the steps that the package comment lists.
func (a *App) Stop() error {
	s := a.base.settings
	a.log.Info("process is stopping", "instance", s.Instance)
	a.server.MarkUnready()
	time.Sleep(time.Duration(s.DrainDelay))
	ctx, cancel := context.WithTimeout(context.Background(), time.Duration(s.DrainTimeout))
	defer cancel()
	drainErr := a.base.process.Drain(ctx)
	if drainErr != nil {
		drainErr = fmt.Errorf("hsapp: the roles did not drain within %s: %w", time.Duration(s.DrainTimeout), drainErr)
		a.log.Warn("drain timed out", "error", drainErr)
	}
	err := errors.Join(drainErr, a.server.Shutdown(ctx))
	a.base.links.Close()
	a.base.process.Stop()
	for _, cleanup := range a.cleanup {
		cleanup()
	}
	a.log.Info("process stopped", "instance", s.Instance)
	return err
}
