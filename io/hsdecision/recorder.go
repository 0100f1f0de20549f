// Package hsdecision records decisions on step jobs as log lines and metrics.
//
// Each line names the request, job, run or endpoint that it is about, what the decision was based on, with its version,
// and the outcome, so that a failed request can be traced from its identifier through the logs of all processes. All
// methods return without blocking and are safe for concurrent use.
//
// # Usage
//
//	recorder := hsdecision.New(logger, registerer)
//	recorder.Placed(start, waited)
package hsdecision

import (
	"fmt"
	"log/slog"
	"math"
	"strings"
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"hyssopseam/core/command/hsdispatch"
	"hyssopseam/core/command/hsrunner"
	"hyssopseam/core/command/hsspeed"
	"hyssopseam/core/hscost"
	"hyssopseam/core/hsid"
	"hyssopseam/core/hsmessage"
	"hyssopseam/core/hswork"
)

// Recorder records the decisions of one process.
type Recorder struct {
	log           *slog.Logger
	requests      *prometheus.CounterVec
	startWaits    prometheus.Histogram
	runsEnded     *prometheus.CounterVec
	preempted     prometheus.Counter
	stopped       *prometheus.CounterVec
	held          *prometheus.CounterVec
	stragglers    *prometheus.CounterVec
	late          *prometheus.CounterVec
	thrown        *prometheus.CounterVec
	endpointCalls *prometheus.CounterVec
	speedChanges  *prometheus.CounterVec
}

// New returns a recorder and registers its metrics.
func New(log *slog.Logger, r prometheus.Registerer) *Recorder {
	rc := &Recorder{
		log:      log,
		requests: counter("work_requests_total", "Requests about step jobs, by action and verdict.", "action", "verdict"),
		startWaits: prometheus.NewHistogram(prometheus.HistogramOpts{
			Namespace: "hyssopseam",
			Name:      "work_start_wait_seconds",
			Help:      "Time from when a task is ready until its start is proposed.",
			Buckets:   prometheus.ExponentialBuckets(0.01, 2, 14),
		}),
		runsEnded:     counter("work_runs_ended_total", "Runs ended, by how they ended.", "how"),
		preempted:     prometheus.NewCounter(prometheus.CounterOpts{Namespace: "hyssopseam", Name: "work_preempted_total", Help: "Runs preempted by other jobs."}),
		stopped:       counter("work_runs_stopped_total", "Runs that the leader decided to stop, by reason.", "reason"),
		held:          counter("work_held_total", "Units held back though they may fit on free workers, by reason.", "reason"),
		stragglers:    counter("work_stragglers_total", "Units restarted because a slow worker made them late, and how their jobs ended.", "outcome"),
		late:          counter("work_late_total", "Jobs completed later than their objective, by cause.", "cause"),
		thrown:        counter("work_thrown_core_seconds_total", "Work lost by runs that ended before they were done, in core-seconds with accelerators converted, by reason.", "reason"),
		endpointCalls: counter("work_endpoint_calls_total", "Calls to the endpoint, by kind and verdict.", "kind", "verdict"),
		speedChanges:  counter("work_speed_changes_total", "Changes of the class of speed of workers, by the new class.", "speed"),
	}
	r.MustRegister(rc.requests, rc.startWaits, rc.runsEnded, rc.preempted, rc.stopped, rc.endpointCalls, rc.speedChanges, rc.held, rc.stragglers, rc.late, rc.thrown)
	return rc
}

func counter(name, help string, labels ...string) *prometheus.CounterVec {
	return prometheus.NewCounterVec(prometheus.CounterOpts{Namespace: "hyssopseam", Name: name, Help: help}, labels)
}

// WorkAnswered records the decision on a request. Successful reads are counted but not logged.
func (rc *Recorder) WorkAnswered(id hsid.RequestID, q *hsmessage.WorkRequest, r hsmessage.WorkReply, catalog hswork.Version) {
	rc.requests.WithLabelValues(string(q.Action), string(r.Verdict)).Inc()
	if q.Action == hsmessage.WorkState || q.Action == hsmessage.WorkWaiting || q.Action == hsmessage.WorkGetCatalog {
		if r.Verdict == hsmessage.WorkDone {
			return
		}
	}
	attrs := []any{"request", id, "action", q.Action, "path", q.Path, "verdict", r.Verdict, "catalog", catalog}
	if q.Zone != "" {
		attrs = append(attrs, "zone", q.Zone)
	}
	if q.Catalog != nil {
		attrs = append(attrs, "sent", q.Catalog.Version)
	}
	if q.Submission != nil {
		attrs = append(attrs, "steps", describeSteps(q.Submission))
	}
	rc.log.Info("request decided", attrs...)
}

// describeSteps summarizes what a job requests: for each step the number of tasks, the resources and estimated run time
// of each, and flags such as placement constraints.
func describeSteps(s *hswork.Submission) string {
	var steps []string
	for i := range s.Steps {
		step := &s.Steps[i]
		text := fmt.Sprintf("%dx%dm/%dMiB/%dacc/%s", step.Count, step.Need.Cores, step.Need.Memory/hsid.MiB, step.Need.Accelerators, step.Estimate)
		flags := []struct {
			set  bool
			name string
		}{
			{step.Gang, "gang"}, {step.SameRack, "rack"}, {step.DataRack != "", "data"}, {step.Label != "", "label"},
			{step.Spread > 0, "spread"}, {step.Checkpoints, "saves"}, {step.Speculative, "copies"}, {step.LongRunning, "lasts"}, {step.BestEffort, "fills"},
		}
		for _, f := range flags {
			if f.set {
				text += "+" + f.name
			}
		}
		steps = append(steps, text)
	}
	return strings.Join(steps, " ")
}

// Placed records that the tasks of a unit were placed on workers, and how long the unit had waited.
func (rc *Recorder) Placed(s *hswork.Start, waited time.Duration) {
	rc.startWaits.Observe(waited.Seconds())
	for _, m := range s.Members {
		rc.log.Info("task placed", "run", hswork.RunID{Task: m.Task, Number: s.Number}, "worker", m.Worker, "life", m.EndpointIncarnation, "waited", waited)
	}
}

// RunEnded records the end of a run that is proposed to the control log.
func (rc *Recorder) RunEnded(e *hswork.End, worker hsid.InstanceID) {
	rc.runsEnded.WithLabelValues(string(e.Kind)).Inc()
	rc.log.Info("run ended", "run", e.Run, "how", e.Kind, "worker", worker, "checkpoint", e.Checkpoint)
}

// Stopping records the decision to stop a run.
func (rc *Recorder) Stopping(s hsdispatch.Stop) {
	rc.stopped.WithLabelValues(string(s.Reason)).Inc()
	attrs := []any{"run", s.Run, "worker", s.Worker, "reason", s.Reason, "ran", s.Ran, "thrown", float64(s.Thrown)}
	if s.For != "" {
		rc.preempted.Inc()
		attrs = append(attrs, "for", s.For, "cost", s.Cost, "saved", float64(s.Saved))
	}
	rc.log.Info("run is stopped", attrs...)
}

// Restarting records the decision to restart a straggler.
func (rc *Recorder) Restarting(s hsdispatch.Straggler) {
	rc.stragglers.WithLabelValues("restarted").Inc()
	rc.log.Info("straggler is restarted", "run", s.Run, "endsAfter", s.EndsAfter, "restartEndsAfter", s.RestartEndsAfter,
		"objective", s.Objective, "thrown", s.Thrown)
}

// Completed records that a job was completed. Only late ones are logged.
func (rc *Recorder) Completed(c hsdispatch.Completion) {
	if c.Straggler && c.Late == "" {
		rc.stragglers.WithLabelValues("onTime").Inc()
	} else if c.Straggler {
		rc.stragglers.WithLabelValues("late").Inc()
	}
	if c.Late != "" {
		rc.late.WithLabelValues(string(c.Late)).Inc()
		rc.log.Info("job is late", "job", c.Job, "took", c.Took, "objective", c.Objective, "cause", c.Late)
	}
}

// TrustChanged records that the trust in a worker has another level.
func (rc *Recorder) TrustChanged(c hsdispatch.TrustChange) {
	rc.log.Info("trust in a worker changed", "worker", c.Worker, "level", c.Level, "points", c.Points, "last", c.Last)
}

// Held records that a unit is held back, though it may fit on free workers.
func (rc *Recorder) Held(h hsdispatch.Hold) {
	rc.held.WithLabelValues(string(h.Reason)).Inc()
	rc.log.Info("unit is held back", "task", h.Task, "reason", h.Reason, "startsIn", h.StartsIn)
}

// WorkThrown records work that a run lost.
func (rc *Recorder) WorkThrown(reason string, work hscost.CoreSeconds) {
	rc.thrown.WithLabelValues(reason).Add(float64(work))
}

// WorkerChanged records that a worker became usable or stopped being usable.
func (rc *Recorder) WorkerChanged(id hsid.InstanceID, e hsmessage.Endpoint, usable bool) {
	rc.log.Info("worker changed", "worker", id, "endpoint", e.ID, "life", e.Incarnation, "leaving", e.Leaving, "usable", usable)
}

// SpeedChanged records that a worker is in another class of speed, with the evidence.
func (rc *Recorder) SpeedChanged(c hsspeed.ClassChange) {
	rc.speedChanges.WithLabelValues(c.To.String()).Inc()
	rc.log.Info("worker speed changed", "worker", c.Worker, "from", c.From.String(), "to", c.To.String(), "readings", c.Runs,
		"slowdown", fmt.Sprintf("%.2f", float64(c.Estimate.Slowdown)), "deviation", fmt.Sprintf("%.2f", math.Sqrt(c.Estimate.Variance)), "recent", c.Recent)
}

// EndpointChanged records an announcement from the endpoint.
func (rc *Recorder) EndpointChanged(a hsrunner.Announcement) {
	e := a.Endpoint
	rc.log.Info("endpoint announced", "endpoint", e.ID, "life", e.Incarnation, "pool", e.Pool, "leaving", e.Leaving, "sequence", a.Sequence)
}

// AnnouncementIgnored records an announcement that isn't from the endpoint, as it names another pool.
func (rc *Recorder) AnnouncementIgnored(a hsrunner.Announcement) {
	e := a.Endpoint
	rc.log.Warn("announcement of another writer is ignored", "endpoint", e.ID, "life", e.Incarnation, "pool", e.Pool, "sequence", a.Sequence)
}

// EndpointTerminated records that nothing runs on the endpoint any longer, and why.
func (rc *Recorder) EndpointTerminated(id hswork.EndpointID, reason string) {
	rc.log.Warn("endpoint is over", "endpoint", id, "reason", reason)
}

// ShutdownNoticed records the notice of an endpoint that shuts down, and whether it ends the present incarnation.
func (rc *Recorder) ShutdownNoticed(n hsrunner.ShutdownNotice, current bool) {
	rc.log.Info("endpoint sent a shutdown notice", "endpoint", n.Endpoint, "life", n.Incarnation, "current", current)
}

// RunStarted records the result of a start call.
func (rc *Recorder) RunStarted(run hswork.RunID, r hsrunner.CallResult) {
	rc.endpointCalls.WithLabelValues("start", string(r.Verdict)).Inc()
	rc.log.Info("start answered", "run", run, "verdict", r.Verdict, "reason", r.Reason)
}

// RunStopped records the result of a stop call.
func (rc *Recorder) RunStopped(run hswork.RunID, r hsrunner.CallResult) {
	rc.endpointCalls.WithLabelValues("stop", string(r.Verdict)).Inc()
	rc.log.Info("stop answered", "run", run, "verdict", r.Verdict, "reason", r.Reason)
}

// RunEndListed records the end of a run that the endpoint lists.
func (rc *Recorder) RunEndListed(e hsmessage.EndedTask) {
	rc.log.Info("endpoint lists an end", "run", e.Run, "how", e.Kind, "number", e.Number)
}
