// Package hsdecision writes the decisions on step jobs as log lines and metrics.
//
// A line names the request, job, run or endpoint that it is about, what decided it with its version, and the
// outcome, so that a failed request can be followed from its identifier through the logs of the processes.
// All methods return without blocking and are safe for concurrent use.
//
// # Usage
//
//	book := hsdecision.New(logger, registerer)
//	book.Placed(start, waited)
package hsdecision

import (
	"fmt"
	"log/slog"
	"strings"
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"hyssopseam/core/command/hsrunner"
	"hyssopseam/core/hsid"
	"hyssopseam/core/hsmessage"
	"hyssopseam/core/hswork"
)

// Book is the record of the decisions of one process.
type Book struct {
	log       *slog.Logger
	requests  *prometheus.CounterVec
	waits     prometheus.Histogram
	ends      *prometheus.CounterVec
	preempted prometheus.Counter
	calls     *prometheus.CounterVec
}

// New returns a book whose metrics are registered.
func New(log *slog.Logger, r prometheus.Registerer) *Book {
	b := &Book{
		log:      log,
		requests: counter("work_requests_total", "Requests about step jobs, by action and verdict.", "action", "verdict"),
		waits: prometheus.NewHistogram(prometheus.HistogramOpts{
			Namespace: "hyssopseam",
			Name:      "work_start_wait_seconds",
			Help:      "Time from ready to the proposed start.",
			Buckets:   prometheus.ExponentialBuckets(0.01, 2, 14),
		}),
		ends:      counter("work_runs_ended_total", "Runs that ended, by how.", "how"),
		preempted: prometheus.NewCounter(prometheus.CounterOpts{Namespace: "hyssopseam", Name: "work_preempted_total", Help: "Runs that gave way to others."}),
		calls:     counter("work_endpoint_calls_total", "Calls to the endpoint, by kind and verdict.", "kind", "verdict"),
	}
	r.MustRegister(b.requests, b.waits, b.ends, b.preempted, b.calls)
	return b
}

func counter(name, help string, labels ...string) *prometheus.CounterVec {
	return prometheus.NewCounterVec(prometheus.CounterOpts{Namespace: "hyssopseam", Name: name, Help: help}, labels)
}

// WorkAnswered records the decision on a request.
func (b *Book) WorkAnswered(id hsid.RequestID, q *hsmessage.WorkRequest, r hsmessage.WorkReply, catalog hswork.Version) {
	b.requests.WithLabelValues(string(q.Action), string(r.Verdict)).Inc()
	if q.Action == hsmessage.WorkState || q.Action == hsmessage.WorkWaiting || q.Action == hsmessage.WorkGetCatalog {
		if r.Verdict == hsmessage.WorkDone {
			return
		}
	}
	line := []any{"request", id, "action", q.Action, "path", q.Path, "verdict", r.Verdict, "catalog", catalog}
	if q.Catalog != nil {
		line = append(line, "sent", q.Catalog.Version)
	}
	if q.Submission != nil {
		line = append(line, "steps", describe(q.Submission))
	}
	b.log.Info("request decided", line...)
}

// describe says what a job asks for: for each step the tasks, what each takes, and what binds its place.
func describe(s *hswork.Submission) string {
	var all []string
	for i := range s.Steps {
		p := &s.Steps[i]
		text := fmt.Sprintf("%dx%dm/%dMiB/%dacc/%s", p.Count, p.Need.Cores, p.Need.Memory/hsid.MiB, p.Need.Accelerators, p.Estimate)
		flags := []struct {
			set  bool
			name string
		}{
			{p.Gang, "gang"}, {p.SameRack, "rack"}, {p.DataRack != "", "data"}, {p.Label != "", "label"},
			{p.Spread > 0, "spread"}, {p.Saves, "saves"}, {p.Speculative, "copies"}, {p.Lasts, "lasts"}, {p.Fills, "fills"},
		}
		for _, f := range flags {
			if f.set {
				text += "+" + f.name
			}
		}
		all = append(all, text)
	}
	return strings.Join(all, " ")
}

// Placed records the start of a unit.
func (b *Book) Placed(s *hswork.Start, waited time.Duration) {
	b.waits.Observe(waited.Seconds())
	for _, m := range s.Members {
		b.log.Info("task placed", "run", hswork.RunID{Task: m.Task, Number: s.Number}, "worker", m.Worker, "life", m.Life, "waited", waited)
	}
}

// RunEnded records an end that is put into the log.
func (b *Book) RunEnded(e *hswork.End, worker hsid.InstanceID) {
	b.ends.WithLabelValues(string(e.How)).Inc()
	b.log.Info("run ended", "run", e.Run, "how", e.How, "worker", worker, "checkpoint", e.Checkpoint)
}

// Preempted records that a run gives way.
func (b *Book) Preempted(run hswork.RunID, worker hsid.InstanceID, by hswork.ID) {
	b.preempted.Inc()
	b.log.Info("run gives way", "run", run, "worker", worker, "for", by)
}

// Stalled records that a run made no progress and is stopped.
func (b *Book) Stalled(run hswork.RunID, worker hsid.InstanceID) {
	b.log.Warn("run makes no progress", "run", run, "worker", worker)
}

// Moved records that a run is stopped because its worker leaves or is to be free.
func (b *Book) Moved(run hswork.RunID, worker hsid.InstanceID) {
	b.log.Info("run is moved off its worker", "run", run, "worker", worker)
}

// WorkerChanged records that a worker became usable, or isn't any more.
func (b *Book) WorkerChanged(id hsid.InstanceID, e hsmessage.Endpoint, usable bool) {
	b.log.Info("worker changed", "worker", id, "endpoint", e.ID, "life", e.Life, "leaving", e.Leaving, "usable", usable)
}

// EndpointChanged records what the endpoint says of itself.
func (b *Book) EndpointChanged(a hsrunner.Announcement) {
	e := a.Endpoint
	b.log.Info("endpoint announced", "endpoint", e.ID, "life", e.Life, "pool", e.Pool, "leaving", e.Leaving, "sequence", a.Sequence)
}

// EndpointOver records that nothing runs on the endpoint any more.
func (b *Book) EndpointOver(id hswork.EndpointID, reason string) {
	b.log.Warn("endpoint is over", "endpoint", id, "reason", reason)
}

// RunStarted records the result of a start.
func (b *Book) RunStarted(run hswork.RunID, r hsrunner.CallResult) {
	b.calls.WithLabelValues("start", string(r.Verdict)).Inc()
	b.log.Info("start answered", "run", run, "verdict", r.Verdict, "reason", r.Reason)
}

// RunStopped records the result of a stop.
func (b *Book) RunStopped(run hswork.RunID, r hsrunner.CallResult) {
	b.calls.WithLabelValues("stop", string(r.Verdict)).Inc()
	b.log.Info("stop answered", "run", run, "verdict", r.Verdict, "reason", r.Reason)
}

// Listed records an end that the endpoint lists.
func (b *Book) Listed(e hsmessage.EndedTask) {
	b.log.Info("endpoint lists an end", "run", e.Run, "how", e.How, "number", e.Number)
}
