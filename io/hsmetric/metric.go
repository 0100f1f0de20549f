// Package hsmetric holds the Prometheus metrics of a process.
//
// Every name starts with hyssopseam_; docs/OPERATIONS.md lists them. Metrics implements the control role's Observer;
// the other metrics are read from snapshots when they are collected, so that no other package depends on metrics.
// Everything is safe for concurrent use.
//
// # Usage
//
//	m := hsmetric.New()
//	m.Gauge("term", "Current term of the control log.", func() float64 { return term() })
//	http.Handle("/metrics", m.Handler())
package hsmetric

import (
	"net/http"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/collectors"
	"github.com/prometheus/client_golang/prometheus/promhttp"

	"hyssopseam/core/hsstate"
)

const namespace = "hyssopseam"

// Metrics holds the registry of one process and the metrics of its control role.
type Metrics struct {
	registry   *prometheus.Registry
	accepted   *prometheus.CounterVec
	refused    *prometheus.CounterVec
	startWaits *prometheus.HistogramVec
	ended      *prometheus.CounterVec
	requeued   prometheus.Counter
	leading    prometheus.Gauge
}

// New returns a registry with the metrics of the control role and the Go runtime.
func New() *Metrics {
	m := &Metrics{
		registry: prometheus.NewRegistry(),
		accepted: newCounter("jobs_accepted_total", "Jobs accepted, by class.", "class"),
		refused:  newCounter("jobs_refused_total", "Jobs refused without running, by reason.", "reason"),
		startWaits: prometheus.NewHistogramVec(prometheus.HistogramOpts{
			Namespace: namespace,
			Name:      "job_start_wait_seconds",
			Help:      "Time from accepting a job to committing its start, by class.",
			Buckets:   []float64{0.01, 0.05, 0.1, 0.2, 0.5, 1, 1.4, 2, 5, 10, 30, 60, 300, 1800, 7200},
		}, []string{"class"}),
		ended:    newCounter("jobs_ended_total", "Jobs ended, by outcome.", "outcome"),
		requeued: prometheus.NewCounter(prometheus.CounterOpts{Namespace: namespace, Name: "jobs_requeued_total", Help: "Attempts that ended without an answer and were requeued."}),
		leading:  prometheus.NewGauge(prometheus.GaugeOpts{Namespace: namespace, Name: "leading", Help: "1 while this replica leads."}),
	}
	m.registry.MustRegister(m.accepted, m.refused, m.startWaits, m.ended, m.requeued, m.leading)
	m.registry.MustRegister(collectors.NewGoCollector(), collectors.NewProcessCollector(collectors.ProcessCollectorOpts{}))
	return m
}

func newCounter(name, help, label string) *prometheus.CounterVec {
	return prometheus.NewCounterVec(prometheus.CounterOpts{Namespace: namespace, Name: name, Help: help}, []string{label})
}

// Gauge registers a gauge whose value is read when it is collected.
func (m *Metrics) Gauge(name, help string, read func() float64) {
	m.registry.MustRegister(prometheus.NewGaugeFunc(prometheus.GaugeOpts{Namespace: namespace, Name: name, Help: help}, read))
}

// LabeledGauge is Gauge with one label. A name may be registered with several values of the label.
func (m *Metrics) LabeledGauge(name, help, label, value string, read func() float64) {
	o := prometheus.GaugeOpts{Namespace: namespace, Name: name, Help: help, ConstLabels: prometheus.Labels{label: value}}
	m.registry.MustRegister(prometheus.NewGaugeFunc(o, read))
}

// gaugeList is a gauge with one label whose values are read when it is collected.
type gaugeList struct {
	description *prometheus.Desc
	read        func(add func(label string, value float64))
}

// Describe implements prometheus.Collector.
func (g *gaugeList) Describe(c chan<- *prometheus.Desc) { c <- g.description }

// Collect implements prometheus.Collector.
func (g *gaugeList) Collect(c chan<- prometheus.Metric) {
	g.read(func(label string, value float64) {
		if m, err := prometheus.NewConstMetric(g.description, prometheus.GaugeValue, value, label); err == nil {
			c <- m // The error is that of a label that isn't valid UTF-8.
		}
	})
}

// GaugeList registers a gauge with one label. Read calls add once for each value of the label that exists at the time.
func (m *Metrics) GaugeList(name, help, label string, read func(add func(label string, value float64))) {
	description := prometheus.NewDesc(prometheus.BuildFQName(namespace, "", name), help, []string{label}, nil)
	m.registry.MustRegister(&gaugeList{description: description, read: read})
}

// Counter registers a counter whose value is read when it is collected.
func (m *Metrics) Counter(name, help string, read func() float64) {
	m.registry.MustRegister(prometheus.NewCounterFunc(prometheus.CounterOpts{Namespace: namespace, Name: name, Help: help}, read))
}

// Registerer returns the registry, for the metrics of other packages.
func (m *Metrics) Registerer() prometheus.Registerer { return m.registry }

// Handler returns the HTTP handler that serves the metrics.
func (m *Metrics) Handler() http.Handler {
	return promhttp.HandlerFor(m.registry, promhttp.HandlerOpts{})
}

// LeadershipChanged records the start or end of leadership.
func (m *Metrics) LeadershipChanged(leading bool) {
	m.leading.Set(0)
	if leading {
		m.leading.Set(1)
	}
}

// JobAccepted counts an accepted job.
func (m *Metrics) JobAccepted(j *hsstate.Job) {
	m.accepted.WithLabelValues(j.Spec.Class.String()).Inc()
}

// JobRefused counts a refused job.
func (m *Metrics) JobRefused(reason string) { m.refused.WithLabelValues(reason).Inc() }

// JobStarted records the wait of a started job.
func (m *Metrics) JobStarted(j *hsstate.Job, waited time.Duration) {
	m.startWaits.WithLabelValues(j.Spec.Class.String()).Observe(waited.Seconds())
}

// JobEnded counts a finished job.
func (m *Metrics) JobEnded(j *hsstate.Job) { m.ended.WithLabelValues(string(j.Outcome)).Inc() }

// JobRequeued counts an attempt that ended without an answer.
func (m *Metrics) JobRequeued(*hsstate.Job) { m.requeued.Inc() }
