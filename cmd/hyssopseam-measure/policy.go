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

// variant is a way to schedule.
type variant struct {
	name  string
	apply func(c *hscontrol.Config)
}

var variants = []variant{
	{"all on", func(*hscontrol.Config) {}},
	{"first fit in arrival order", func(c *hscontrol.Config) {
		c.Weights = hsplacement.Weights{}
		c.Off = hscontrol.Off{Homes: true, Borrowing: true, Reservations: true, Backfill: true, Fairness: true, Preemption: true, Classes: true, Breakers: true}
	}},
	{"no homes", func(c *hscontrol.Config) { c.Off.Homes = true }},
	{"no borrowing", func(c *hscontrol.Config) { c.Off.Borrowing = true }},
	{"borrowing by anyone", func(c *hscontrol.Config) { c.Off.Observed = true }},
	{"no reservations", func(c *hscontrol.Config) { c.Off.Reservations = true }},
	{"no backfill", func(c *hscontrol.Config) { c.Off.Backfill = true }},
	{"no fairness", func(c *hscontrol.Config) { c.Off.Fairness = true }},
	{"no classes", func(c *hscontrol.Config) { c.Off.Classes = true }},
	{"no preemption", func(c *hscontrol.Config) { c.Off.Preemption = true }},
	{"no breakers", func(c *hscontrol.Config) { c.Off.Breakers = true }},
	{"no fragmentation weight", func(c *hscontrol.Config) { c.Weights.Fragmentation = 0 }},
	{"no completion weight", func(c *hscontrol.Config) { c.Weights.Completion = 0 }},
}

func policyCommand() *ffcli.Command {
	fs := flag.NewFlagSet("policy", flag.ContinueOnError)
	name := fs.String("sequence", "", "play only this sequence")
	only := fs.String("variant", "", "play only variants whose name contains this")
	seeds := fs.Uint64("seeds", 3, "number of seeds")
	return &ffcli.Command{
		Name: "policy", ShortUsage: "hyssopseam-measure policy [--sequence S] [--variant V] [--seeds N]",
		ShortHelp: "play arrival sequences with each mechanism switched off in turn",
		FlagSet:   fs,
		Exec: func(context.Context, []string) error {
			for _, s := range sequences() {
				if *name == s.name || *name == "" && s.name != "target" {
					playAll(&s, *only, *seeds)
				}
			}
			return nil
		},
	}
}

func playAll(s *sequence, only string, seeds uint64) {
	fmt.Printf("\n%s: %d workers, %s, %d seeds; completion p50/p99 by class, waits in seconds\n", s.name, s.workers, s.length, seeds)
	w := tabwriter.NewWriter(os.Stdout, 0, 4, 2, ' ', 0)
	fmt.Fprintln(w, "variant\turgent wait p50/p99\turgent\tnormal\tbatch\tfragmentation\tlongest gang wait\treclaim p99/max\tlate\tlost work\tfailed\trefused\topen\tplayed in")
	for _, v := range variants {
		if !strings.Contains(v.name, only) {
			continue
		}
		var total figures
		began := time.Now()
		for seed := range seeds {
			total.add(playOne(s, v, seed+1))
		}
		fmt.Fprintln(w, v.name+"\t"+total.line()+"\t"+time.Since(began).Round(100*time.Millisecond).String())
		_ = w.Flush()
	}
}

// figures are the measures of one or more plays.
type figures struct {
	wait       [3][]time.Duration
	completion [3][]time.Duration
	gang       time.Duration
	// reclaim holds the waits of jobs that a guarantee of their workspace covered, and late counts those
	// beyond the guaranteed time.
	reclaim []time.Duration
	late    int
	frag    []float64
	// lost is the work thrown away, in accelerator-hours.
	lost    float64
	failed  int
	refused int
	open    int
}

func (f *figures) add(o figures) {
	for i := range f.wait {
		f.wait[i] = append(f.wait[i], o.wait[i]...)
		f.completion[i] = append(f.completion[i], o.completion[i]...)
	}
	f.gang = max(f.gang, o.gang)
	f.reclaim = append(f.reclaim, o.reclaim...)
	f.late += o.late
	f.frag = append(f.frag, o.frag...)
	f.lost += o.lost
	f.failed += o.failed
	f.refused += o.refused
	f.open += o.open
}

func quantile(d []time.Duration, percent int) string {
	if len(d) == 0 {
		return "-"
	}
	slices.Sort(d)
	return fmt.Sprintf("%.2f", d[(len(d)-1)*percent/100].Seconds())
}

func pair(d []time.Duration) string { return quantile(d, 50) + "/" + quantile(d, 99) }

func (f *figures) line() string {
	mean := 0.0
	for _, x := range f.frag {
		mean += x / float64(len(f.frag))
	}
	return strings.Join([]string{
		pair(f.wait[hsstate.Urgent]),
		pair(f.completion[hsstate.Urgent]),
		pair(f.completion[hsstate.Normal]),
		pair(f.completion[hsstate.Batch]),
		fmt.Sprintf("%.3f", mean),
		fmt.Sprintf("%.0f", f.gang.Seconds()),
		quantile(f.reclaim, 99) + "/" + quantile(f.reclaim, 100),
		fmt.Sprintf("%d of %d", f.late, len(f.reclaim)),
		fmt.Sprintf("%.1f", f.lost),
		fmt.Sprint(f.failed),
		fmt.Sprint(f.refused),
		fmt.Sprint(f.open),
	}, "\t")
}

// playOne plays a sequence under a variant: one worker fails everything for two hours, and one instance is
// lost for half an hour.
func playOne(s *sequence, v variant, seed uint64) figures {
	control := hscontrol.Config{
		Weights:   hsplacement.Weights{Completion: s.weights[0], Fragmentation: s.weights[1]},
		AgeBounds: hsqueue.AgeBounds{time.Second, 10 * time.Minute, 30 * time.Minute},
	}
	control.Quorum.Heartbeat = time.Second
	control.Quorum.Election = 5 * time.Second
	control.RulesLease = 4 * s.interval
	control.RunLease = 12 * s.interval
	v.apply(&control)
	w := play.New(play.Config{Seed: seed, Controls: 1, Control: control, Interval: s.interval, Latency: 2 * time.Millisecond})
	for i := range s.workers {
		a := w.AddWorker(play.Worker{
			ID:           hsid.InstanceID(fmt.Sprintf("w%03d", i)),
			Rack:         hsid.RackID(fmt.Sprintf("r%02d", i/s.rack)),
			Accelerators: s.accelerators,
		})
		a.Plans = planOf
	}
	w.Run(4 * s.interval)
	w.Entry.Push("number 1\n"+s.rules, "measure", func(hsmessage.Reply) {})
	w.Run(4 * s.interval)
	start := w.Now()
	var f figures
	for _, x := range s.arrivals(seed) {
		w.At(start+x.at, func() {
			w.Entry.Submit(x.spec, func(r hsmessage.Reply) {
				if r.Status == hsmessage.StatusRefused {
					f.refused++
				}
			})
		})
	}
	w.At(start+2*time.Hour, func() { w.Agents[s.workers-1].FailAll(true) })
	w.At(start+4*time.Hour, func() { w.Agents[s.workers-1].FailAll(false) })
	w.At(start+5*time.Hour, w.Agents[1].Fail)
	w.At(start+5*time.Hour+30*time.Minute, w.Agents[1].Recover)
	for at := s.sample; at < s.length; at += s.sample {
		w.At(start+at, func() { f.frag = append(f.frag, fragmentation(w)) })
	}
	w.RunUntil(start + s.length + 3*time.Hour)
	f.collect(w)
	return f
}

// fragmentation asks the leader.
func fragmentation(w *play.World) float64 {
	x := 0.0
	w.Entry.Do(hsmessage.Request{Query: &hsmessage.Query{Kind: hsmessage.QueryStatus}}, func(r hsmessage.Reply) {
		if r.View != nil {
			x = r.View.Status.Fragmentation
		}
	})
	w.Run(100 * time.Millisecond)
	return x
}

func (f *figures) collect(w *play.World) {
	state := w.Leader().State()
	for _, j := range state.Jobs {
		switch {
		case j.Phase != hsstate.Finished:
			f.open++
			f.gangWait(j, state.Clock-j.Accepted)
			continue
		case j.Outcome == hsstate.NotRun:
			f.refused++
			continue
		case j.Outcome != hsstate.Answered:
			f.failed++
			continue
		}
		wait := j.Started - j.Accepted
		f.wait[j.Spec.Class] = append(f.wait[j.Spec.Class], wait)
		f.completion[j.Spec.Class] = append(f.completion[j.Spec.Class], j.Ended-j.Accepted)
		f.gangWait(j, wait)
	}
	f.collectReclaim(state)
	for _, r := range w.Book {
		if r.Outcome == hsmessage.TaskStopped || r.Outcome == hsmessage.TaskLost {
			f.lost += (r.Ended - r.Began).Hours() * float64(r.Accelerators.Count())
		}
	}
}

func (f *figures) gangWait(j *hsstate.Job, wait time.Duration) {
	if j.Spec.Shape.Workers > 1 {
		f.gang = max(f.gang, wait)
	}
}

// collectReclaim looks at the jobs that came while their workspace left enough of its guarantee unused, by
// the committed starts and ends.
func (f *figures) collectReclaim(state *hsstate.State) {
	for _, g := range state.Rules.InForce.Guarantees {
		for _, j := range state.Jobs {
			if j.Spec.Workspace != g.Workspace || !j.Spec.Shape.Fits(g.Shape) || j.Outcome != hsstate.Answered || j.Lost > 0 {
				continue
			}
			if held(state, j)+j.Spec.Shape.Total() > g.Shape.Total() {
				continue
			}
			wait := j.Started - j.Accepted
			f.reclaim = append(f.reclaim, wait)
			if wait > g.Within {
				f.late++
			}
		}
	}
}

// held returns the accelerators that the workspace of a job held or asked for when the job came.
func held(state *hsstate.State, j *hsstate.Job) hsid.Accelerators {
	var sum hsid.Accelerators
	for _, o := range state.Jobs {
		if o != j && o.Spec.Workspace == j.Spec.Workspace && o.Accepted <= j.Accepted && (o.Phase != hsstate.Finished || o.Ended > j.Accepted) {
			sum += o.Spec.Shape.Total()
		}
	}
	return sum
}
