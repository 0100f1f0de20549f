package hsdispatch_test

import (
	"testing"
	"time"

	"hyssopseam/core/hsid"
	"hyssopseam/core/hsmessage"
	"hyssopseam/core/hswork"
)

// TestLoss brings about the ways in which a worker can be lost, and checks when its run is placed again.
func TestLoss(t *testing.T) {
	run := hswork.RunID{Task: task(id(1), 0), Number: 1}
	tables := []struct {
		name string
		lose func(b *bed, a *hsmessage.Tally)
		want []string
	}{
		{"a silent worker keeps its run while its lease may last", func(b *bed, _ *hsmessage.Tally) {
			delete(b.tallies, "a")
			b.settle(lease)
		}, []string{"a/1"}},
		{"and loses it afterwards", func(b *bed, _ *hsmessage.Tally) {
			delete(b.tallies, "a")
			b.settle(lease + lease/10)
		}, []string{"b/2"}},
		{"a new leader waits for the leases of the one before", func(b *bed, _ *hsmessage.Tally) {
			delete(b.tallies, "a")
			b.now = b.now.Add(lease / 2)
			b.lead(2)
			b.settle(lease)
		}, []string{"a/1"}},
		{"the endpoint is over", func(b *bed, a *hsmessage.Tally) {
			a.Over = true
			a.Running = nil
			b.settle(200 * time.Millisecond)
		}, []string{"b/2"}},
		{"a later life keeps the run until it has taken the stop", func(b *bed, a *hsmessage.Tally) {
			a.Endpoint.Life = 2
			a.Running = nil
			b.settle(200 * time.Millisecond)
			if got := b.plans["a"].Stops; len(got) != 1 || got[0] != run {
				b.t.Errorf("got stops %v, want %s", got, run)
			}
		}, []string{"a/1"}},
		{"and is free of it then", func(b *bed, a *hsmessage.Tally) {
			a.Endpoint.Life = 2
			a.Running = nil
			b.settle(200 * time.Millisecond)
			a.Never = b.plans["a"].Stops
			b.report("a")
			b.commit()
			b.want("run number", b.state.Jobs[id(1)].Rounds[0].Steps[0][0].Run, 2)
		}, nil},
		{"a refused run is placed again once it is proved never to begin", func(b *bed, a *hsmessage.Tally) {
			a.Running = nil
			a.Endpoint.Leaving = true
			a.Refused = []hsmessage.RefusedRun{{Run: run, Reason: "room"}}
			b.report("a")
			a.Never = b.plans["a"].Stops
			b.settle(200 * time.Millisecond)
		}, []string{"b/2"}},
		{"a leaving worker gets nothing new", func(b *bed, a *hsmessage.Tally) {
			a.Endpoint.Leaving = true
			b.end("a", run, hswork.EndFailed, "")
			b.settle(200 * time.Millisecond)
		}, []string{"b/2"}},
		{"a message of the runner before isn't believed", func(b *bed, a *hsmessage.Tally) {
			old := *a
			a.Incarnation++
			b.report("a")
			old.Sequence += 100
			old.Over = true
			b.dispatcher.Receive("a", old)
			b.dispatcher.Flush()
			b.commit()
		}, []string{"a/1"}},
	}
	for _, tt := range tables {
		b := newBed(t)
		a := b.worker("a", "r1-1")
		b.submit(1, 1, "w2", step(1, 1000, 8))
		b.begin("a")
		b.worker("b", "r1-1")
		tt.lose(b, a)
		if tt.want != nil {
			b.want(tt.name, b.places(id(1)), tt.want)
		}
	}
}

// TestDoneAfterAll checks that a run that was given up with its silent worker counts as done once the worker tells
// so, and that its successor is stopped. The pattern is an agent that is cut off while its tasks end.
func TestDoneAfterAll(t *testing.T) {
	b := newBed(t)
	b.worker("a", "r1-1")
	job := b.submit(1, 1, "w2", step(1, 1000, 8), with(step(1, 1000, 8), func(s *hswork.Step) { s.After = []int{0} }))
	b.begin("a")
	b.worker("b", "r1-1")
	cut := b.tallies["a"]
	delete(b.tallies, "a")
	b.settle(lease + lease/10)
	b.want("given up", b.places(job), []string{"b/2"})
	b.begin("b")

	b.tallies["a"] = cut
	b.end("a", hswork.RunID{Task: task(job, 0), Number: 1}, hswork.EndDone, "")
	b.report("a")
	b.want("noted before the commit", b.plans["a"].Noted, 0)
	b.commit()
	b.want("noted after it", b.plans["a"].Noted, 1)
	b.want("done", b.state.Jobs[job].Rounds[0].Steps[0][0].Done, true)
	b.want("stops of the successor", len(b.plans["b"].Stops), 1)
	b.want("next step", b.places(job), []string{"a/1", "b/2"})
}

// TestNoted checks that an end may be forgotten only when it is committed with all before it.
func TestNoted(t *testing.T) {
	b := newBed(t)
	b.worker("a", "r1-1")
	job := b.submit(1, 1, "w2", step(2, 1000, 1))
	b.begin("a")
	for i := range 2 {
		b.end("a", hswork.RunID{Task: task(job, i), Number: 1}, hswork.EndDone, "")
	}
	b.report("a")
	b.want("before the commit", b.plans["a"].Noted, 0)
	b.commit()
	b.want("after it", b.plans["a"].Noted, 2)
	b.want("phase", b.state.Jobs[job].Phase, hswork.Completed)
}

// TestCancel checks that a cancelled job's runs are stopped, and that a start that was ordered is taken back.
func TestCancel(t *testing.T) {
	b := newBed(t)
	b.worker("a", "r1-1")
	job := b.submit(1, 1, "w2", step(2, 1000, 1))
	b.begin("a")
	b.apply(&hswork.Command{Cancel: &hswork.Cancel{ID: job}})
	b.dispatcher.Flush()
	b.want("runs", len(b.plans["a"].Runs), 0)
	b.want("stops", len(b.plans["a"].Stops), 2)
	b.begin("a")
	b.reportAll()
	b.commit()
	b.want("placed", len(b.places(job)), 0)
}

// TestGangBreaks checks that the rest of a gang is stopped when a member ends, and starts anew as a whole.
func TestGangBreaks(t *testing.T) {
	b := newBed(t)
	b.worker("a", "r1-1")
	b.worker("b", "r1-1")
	job := b.submit(1, 1, "w2", with(step(2, 1000, 8), func(s *hswork.Step) { s.Gang = true; s.Saves = true }))
	b.beginAll()
	b.end("a", hswork.RunID{Task: task(job, 0), Number: 1}, hswork.EndStopped, "saved")
	b.report("a")
	b.commit()
	b.want("stops at the other member", len(b.plans["b"].Stops), 1)
	b.beginAll()
	b.commit()
	b.want("placed anew", b.places(job), []string{"a/2", "b/2"})
	for _, w := range []hsid.InstanceID{"a", "b"} {
		if got := b.plans[w].Runs; len(got) != 1 || got[0].Checkpoint != "saved" {
			t.Errorf("%s: got %+v, want one run from the checkpoint", w, got)
		}
	}
}
