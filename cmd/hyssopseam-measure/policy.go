package main

import (
	"context"
	"flag"
	"fmt"
	"os"
	"slices"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/peterbourgon/ff/v3/ffcli"

	"hyssopseam/core/command/hscontrol"
	"hyssopseam/core/command/hsplacement"
	"hyssopseam/core/command/hsqueue"
	"hyssopseam/core/hsid"
	"hyssopseam/core/hsmessage"
	"hyssopseam/core/hsstate"
	"hyssopseam/internal/play"
)

// variant is a configuration of the scheduler to compare.
type variant struct {
	name  string
	apply func(c *hscontrol.Config)
}

var variants = []variant{
	{"all on", func(*hscontrol.Config) {}},
	{"first fit in arrival order", func(c *hscontrol.Config) {
		c.Weights = hsplacement.Weights{}
		c.Disabled = hscontrol.Disabled{Homes: true, Borrowing: true, Reservations: true, Backfill: true, Fairness: true, Preemption: true, Classes: true, Breakers: true}
	}},
	{"no homes", func(c *hscontrol.Config) { c.Disabled.Homes = true }},
	{"no borrowing", func(c *hscontrol.Config) { c.Disabled.Borrowing = true }},
	{"borrowing by anyone", func(c *hscontrol.Config) { c.Disabled.ObservedStops = true }},
	{"no reservations", func(c *hscontrol.Config) { c.Disabled.Reservations = true }},
	{"no backfill", func(c *hscontrol.Config) { c.Disabled.Backfill = true }},
	{"no fairness", func(c *hscontrol.Config) { c.Disabled.Fairness = true }},
	{"no classes", func(c *hscontrol.Config) { c.Disabled.Classes = true }},
	{"no preemption", func(c *hscontrol.Config) { c.Disabled.Preemption = true }},
	{"no breakers", func(c *hscontrol.Config) { c.Disabled.Breakers = true }},
	{"no fragmentation weight", func(c *hscontrol.Config) { c.Weights.Fragmentation = 0 }},
	{"no completion weight", func(c *hscontrol.Config) { c.Weights.Completion = 0 }},
}

func policyCommand() *ffcli.Command {
	fs := flag.NewFlagSet("policy", flag.ContinueOnError)
	name := fs.String("sequence", "", "simulate only this sequence; target is simulated only by its name")
	only := fs.String("variant", "", "simulate only variants whose name contains this")
	seeds := fs.Uint64("seeds", 3, "number of seeds")
	return &ffcli.Command{
		Name: "policy", ShortUsage: "hyssopseam-measure policy [--sequence S] [--variant V] [--seeds N]",
		ShortHelp: "simulate arrival sequences with each mechanism switched off in turn",
		FlagSet:   fs,
		Exec: func(context.Context, []string) error {
			for _, s := range sequences() {
				if *name == s.name || *name == "" && s.name != "target" {
					runVariants(&s, *only, *seeds)
				}
			}
			return nil
		},
	}
}

func runVariants(s *sequence, only string, seeds uint64) {
	fmt.Printf("\n%s: %d workers, %s, %d seeds; completion p50/p99 by class, waits in seconds\n", s.name, s.workers, s.length, seeds)
	w := tabwriter.NewWriter(os.Stdout, 0, 4, 2, ' ', 0)
	fmt.Fprintln(w, "variant\turgent wait p50/p99\turgent\tnormal\tbatch\tfragmentation\tlongest gang wait\treclaim p99/max\tlate\tlost work\tfailed\trefused\topen\tplayed in")
	for _, v := range variants {
		if !strings.Contains(v.name, only) {
			continue
		}
		var total measurements
		began := time.Now()
		for seed := range seeds {
			total.merge(runSequence(s, v, seed+1))
		}
		fmt.Fprintln(w, v.name+"\t"+total.row()+"\t"+time.Since(began).Round(100*time.Millisecond).String())
		_ = w.Flush()
	}
}

// measurements holds the results of one or more simulations.
type measurements struct {
	wait        [3][]time.Duration
	completion  [3][]time.Duration
	maxGangWait time.Duration
	// reclaimWaits holds the waits of the jobs that a guarantee of their workspace covered, and lateReclaims counts
	// those that were longer than the guarantee allows.
	reclaimWaits  []time.Duration
	lateReclaims  int
	fragmentation []float64
	// lostWork is the work thrown away, in accelerator-hours: the run time of tasks that were stopped or lost.
	lostWork float64
	failed   int
	refused  int
	open     int
}

func (m *measurements) merge(o measurements) {
	for i := range m.wait {
		m.wait[i] = append(m.wait[i], o.wait[i]...)
		m.completion[i] = append(m.completion[i], o.completion[i]...)
	}
	m.maxGangWait = max(m.maxGangWait, o.maxGangWait)
	m.reclaimWaits = append(m.reclaimWaits, o.reclaimWaits...)
	m.lateReclaims += o.lateReclaims
	m.fragmentation = append(m.fragmentation, o.fragmentation...)
	m.lostWork += o.lostWork
	m.failed += o.failed
	m.refused += o.refused
	m.open += o.open
}

func quantile(d []time.Duration, percent int) string {
	if len(d) == 0 {
		return "-"
	}
	slices.Sort(d)
	return fmt.Sprintf("%.2f", d[(len(d)-1)*percent/100].Seconds())
}

func p50p99(d []time.Duration) string { return quantile(d, 50) + "/" + quantile(d, 99) }

func (m *measurements) row() string {
	mean := 0.0
	for _, x := range m.fragmentation {
		mean += x / float64(len(m.fragmentation))
	}
	return strings.Join([]string{
		p50p99(m.wait[hsstate.Urgent]),
		p50p99(m.completion[hsstate.Urgent]),
		p50p99(m.completion[hsstate.Normal]),
		p50p99(m.completion[hsstate.Batch]),
		fmt.Sprintf("%.3f", mean),
		fmt.Sprintf("%.0f", m.maxGangWait.Seconds()),
		quantile(m.reclaimWaits, 99) + "/" + quantile(m.reclaimWaits, 100),
		fmt.Sprintf("%d of %d", m.lateReclaims, len(m.reclaimWaits)),
		fmt.Sprintf("%.1f", m.lostWork),
		fmt.Sprint(m.failed),
		fmt.Sprint(m.refused),
		fmt.Sprint(m.open),
	}, "\t")
}

// runSequence simulates a sequence under a variant. From two to four hours after the start one worker fails all of its
// tasks, and after five hours one instance is lost for half an hour.
func runSequence(s *sequence, v variant, seed uint64) measurements {
	control := hscontrol.Config{
		Weights:   hsplacement.Weights{Completion: s.weights[0], Fragmentation: s.weights[1]},
		AgeBounds: hsqueue.AgeBounds{time.Second, 10 * time.Minute, 30 * time.Minute},
	}
	control.Quorum.HeartbeatInterval = time.Second
	control.Quorum.ElectionTimeout = 5 * time.Second
	control.RulesLease = 4 * s.reportInterval
	control.RunLease = 12 * s.reportInterval
	v.apply(&control)
	w := play.New(play.Config{Seed: seed, Controls: 1, Control: control, Interval: s.reportInterval, Latency: 2 * time.Millisecond})
	for i := range s.workers {
		a := w.AddWorker(play.Worker{
			ID:           hsid.InstanceID(fmt.Sprintf("w%03d", i)),
			Rack:         hsid.RackID(fmt.Sprintf("r%02d", i/s.workersPerRack)),
			Accelerators: s.accelerators,
		})
		a.Plans = parsePlan
	}
	w.Run(4 * s.reportInterval)
	w.Entry.Push("number 1\n"+s.rules, "measure", func(hsmessage.Reply) {})
	w.Run(4 * s.reportInterval)
	start := w.Now()
	var m measurements
	for _, x := range s.arrivals(seed) {
		w.Schedule(start+x.at, func() {
			w.Entry.Submit(x.spec, func(r hsmessage.Reply) {
				if r.Status == hsmessage.StatusRefused {
					m.refused++
				}
			})
		})
	}
	w.Schedule(start+2*time.Hour, func() { w.Agents[s.workers-1].FailAll(true) })
	w.Schedule(start+4*time.Hour, func() { w.Agents[s.workers-1].FailAll(false) })
	w.Schedule(start+5*time.Hour, w.Agents[1].Fail)
	w.Schedule(start+5*time.Hour+30*time.Minute, w.Agents[1].Recover)
	for at := s.sampleInterval; at < s.length; at += s.sampleInterval {
		w.Schedule(start+at, func() { m.fragmentation = append(m.fragmentation, queryFragmentation(w)) })
	}
	w.RunUntil(start + s.length + 3*time.Hour)
	m.collect(w)
	return m
}

// queryFragmentation returns the fragmentation from the status, or 0 when there is no answer within 100 ms.
func queryFragmentation(w *play.World) float64 {
	x := 0.0
	w.Entry.Do(hsmessage.Request{Query: &hsmessage.Query{Kind: hsmessage.QueryStatus}}, func(r hsmessage.Reply) {
		if r.View != nil {
			x = r.View.Status.Fragmentation
		}
	})
	w.Run(100 * time.Millisecond)
	return x
}

func (m *measurements) collect(w *play.World) {
	state := w.Leader().State()
	for _, j := range state.Jobs {
		switch {
		case j.Phase != hsstate.Finished:
			m.open++
			m.addGangWait(j, state.Clock-j.Accepted)
			continue
		case j.Outcome == hsstate.NotRun:
			m.refused++
			continue
		case j.Outcome != hsstate.Answered:
			m.failed++
			continue
		}
		wait := j.Started - j.Accepted
		m.wait[j.Spec.Class] = append(m.wait[j.Spec.Class], wait)
		m.completion[j.Spec.Class] = append(m.completion[j.Spec.Class], j.Ended-j.Accepted)
		m.addGangWait(j, wait)
	}
	m.collectReclaim(state)
	for _, r := range w.Runs {
		if r.Outcome == hsmessage.TaskStopped || r.Outcome == hsmessage.TaskLost {
			m.lostWork += (r.Ended - r.Began).Hours() * float64(r.Accelerators.Count())
		}
	}
}

func (m *measurements) addGangWait(j *hsstate.Job, wait time.Duration) {
	if j.Spec.Shape.Workers > 1 {
		m.maxGangWait = max(m.maxGangWait, wait)
	}
}

// collectReclaim measures the waits of the jobs that a guarantee covered: those that arrived while the demand of their
// workspace left enough of the guarantee unused. Starts and ends are those that the leader committed.
func (m *measurements) collectReclaim(state *hsstate.State) {
	for _, g := range state.Rules.InForce.Guarantees {
		for _, j := range state.Jobs {
			if j.Spec.Workspace != g.Workspace || !j.Spec.Shape.Fits(g.Shape) || j.Outcome != hsstate.Answered || j.FailedAttempts > 0 {
				continue
			}
			if workspaceDemand(state, j)+j.Spec.Shape.Total() > g.Shape.Total() {
				continue
			}
			wait := j.Started - j.Accepted
			m.reclaimWaits = append(m.reclaimWaits, wait)
			if wait > g.Within {
				m.lateReclaims++
			}
		}
	}
}

// workspaceDemand returns the accelerators that the other open jobs of a job's workspace held or waited for when the
// job was accepted.
func workspaceDemand(state *hsstate.State, j *hsstate.Job) hsid.Accelerators {
	var sum hsid.Accelerators
	for _, o := range state.Jobs {
		if o != j && o.Spec.Workspace == j.Spec.Workspace && o.Accepted <= j.Accepted && (o.Phase != hsstate.Finished || o.Ended > j.Accepted) {
			sum += o.Spec.Shape.Total()
		}
	}
	return sum
}
