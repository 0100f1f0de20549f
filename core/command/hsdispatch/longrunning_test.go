package hsdispatch_test

import (
	"testing"
	"time"

	"hyssopseam/core/command/hsdispatch"
	"hyssopseam/core/hsid"
	"hyssopseam/core/hswork"
)

// atWork has a worker tell that everything that it lists is at work.
func (b *bed) atWork(id string) {
	t := b.tallies[hsid.InstanceID(id)]
	for i := range t.Running {
		t.Running[i].Percent = 100
	}
	b.report(id)
}

// TestLasting checks that a lasting task starts again however it ends, after a pause that grows.
func TestLasting(t *testing.T) {
	tables := []struct {
		name string
		how  hswork.How
	}{
		{"done", hswork.EndDone},
		{"failed", hswork.EndFailed},
		{"broken", hswork.EndBroken},
	}
	for _, tt := range tables {
		b := newBed(t)
		b.worker("a", "r1-1")
		job := b.submit(1, 1, "w2", with(step(1, 1000, 1), func(s *hswork.Step) { s.Lasts = true }))
		for n := hswork.RunNumber(1); n <= 4; n++ {
			b.begin("a")
			b.end("a", hswork.RunID{Task: task(job, 0), Number: n}, tt.how, "")
			b.settle(3 * time.Second)
			b.want(tt.name+": run", b.state.Jobs[job].Rounds[0].Steps[0][0].Run, n+1)
		}
		b.want(tt.name+": phase", b.state.Jobs[job].Phase, hswork.Open)
	}
}

// TestMayMiss checks that a lasting task isn't stopped for others when too many of its step are away.
func TestMayMiss(t *testing.T) {
	tables := []struct {
		name    string
		mayMiss int
		want    int
	}{
		{"none may be away", 0, 8},
		{"two may be away", 2, 6},
		{"all may be away", 8, 0},
	}
	for _, tt := range tables {
		b := newBed(t)
		b.worker("a", "r1-1")
		lasting := b.submit(1, 2, "w2", with(step(8, 100, 1), func(s *hswork.Step) { s.Lasts = true; s.MayMiss = tt.mayMiss }))
		b.begin("a")
		b.atWork("a")
		b.submit(2, 0, "w1", step(8-max(tt.want, 1), 100, 1))
		b.settle(100 * time.Millisecond)
		left := len(b.plans["a"].Runs)
		for _, r := range b.plans["a"].Runs {
			if r.Run.Task.Work != lasting {
				left--
			}
		}
		if left < tt.want {
			t.Errorf("%s: got %d lasting tasks left, want at least %d", tt.name, left, tt.want)
		}
	}
}

// adviser remembers what it was asked.
type adviser struct {
	asked []hswork.EndpointID
}

func (a *adviser) Ask(_ hsdispatch.StepID, workers []hswork.EndpointID) { a.asked = workers }

// TestAdvice checks that tasks of an advised queue start only with a valid ticket, on the worker it is for.
func TestAdvice(t *testing.T) {
	allow := func(e hswork.EndpointID) []hsdispatch.Permit { return []hsdispatch.Permit{{Endpoint: e, Ticket: "t"}} }
	tables := []struct {
		name   string
		answer hsdispatch.Advice
		after  time.Duration
		want   []string
		asked  int
	}{
		{"no answer yet", hsdispatch.Advice{}, 0, nil, 2},
		{"one is allowed", hsdispatch.Advice{Allowed: allow("e-b"), Valid: 3 * time.Second, OK: true}, 0, []string{"b/1"}, 0},
		{"none is allowed", hsdispatch.Advice{Valid: 3 * time.Second, OK: true}, time.Second, nil, 0},
		{"no answer at all", hsdispatch.Advice{Asked: []hswork.EndpointID{"e-a", "e-b"}}, time.Second, nil, 2},
		{"a ticket that is over asks anew", hsdispatch.Advice{Allowed: allow("e-b"), Valid: 500 * time.Millisecond, OK: true}, time.Second, nil, 1},
	}
	for _, tt := range tables {
		b := newBed(t)
		a := &adviser{}
		b.adviser = a
		b.lead(2)
		b.worker("a", "r1-1")
		b.worker("b", "r1-1")
		s := hswork.Submission{ID: id(1), Spec: "s", Steps: []hswork.Step{step(1, 1000, 1)}}
		b.apply(&hswork.Command{Submit: &hswork.Submit{Submission: s, Queue: "queue", Pool: "pool", Attempts: 2, Advised: true}})
		b.dispatcher.Flush()
		if len(a.asked) != 2 {
			t.Fatalf("%s: got %v asked, want both workers", tt.name, a.asked)
		}
		if tt.answer.OK || tt.answer.Asked != nil {
			a.asked = nil
			tt.answer.Step = hsdispatch.StepID{Work: id(1)}
			b.dispatcher.Advised(tt.answer)
			b.dispatcher.Flush()
		}
		b.commit()
		b.settle(tt.after)
		b.want(tt.name, b.places(id(1)), tt.want)
		b.want(tt.name+": asked", len(a.asked), tt.asked)
		if tt.want != nil {
			b.want(tt.name+": ticket", b.plans["b"].Runs[0].Ticket, "t")
		}
	}
}

// TestVacate checks that an endpoint that is vacated gets nothing new, and is empty once its runs are gone.
func TestVacate(t *testing.T) {
	b := newBed(t)
	b.worker("a", "r1-1")
	b.worker("b", "r1-2")
	saving := b.submit(1, 1, "w2", with(step(1, 1000, 1), func(s *hswork.Step) { s.Saves = true }))
	b.begin("a")
	b.want("with a run", b.dispatcher.Vacate("e-a", false), false)
	b.dispatcher.Flush()
	b.begin("a")
	b.commit()
	b.want("moved", b.places(saving), []string{"b/2"})
	b.report("a")
	b.want("empty", b.dispatcher.Vacate("e-a", false), true)
	other := b.submit(2, 1, "w2", with(step(1, 1000, 1), func(s *hswork.Step) { s.Label = "r1-1" }))
	b.want("nothing new", len(b.places(other)), 0)
	b.settle(3 * time.Second)
	b.want("until it isn't asked for any more", b.places(other), []string{"a/1"})
}
