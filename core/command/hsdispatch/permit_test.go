package hsdispatch_test

import (
	"testing"
	"time"

	"hyssopseam/core/command/hsdispatch"
	"hyssopseam/core/hswork"
)

// fakeAdviser records the last request.
type fakeAdviser struct {
	asked []hswork.EndpointID
}

func (a *fakeAdviser) Request(_ hsdispatch.StepID, workers []hswork.EndpointID) { a.asked = workers }

// TestAdvice checks that tasks of a queue that needs permits start only with a valid ticket, on the worker that it
// allows.
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
		{"the request failed", hsdispatch.Advice{Asked: []hswork.EndpointID{"e-a", "e-b"}}, time.Second, nil, 2},
		{"an expired ticket is requested again", hsdispatch.Advice{Allowed: allow("e-b"), Valid: 500 * time.Millisecond, OK: true}, time.Second, nil, 1},
	}
	for _, tt := range tables {
		h := newHarness(t)
		a := &fakeAdviser{}
		h.adviser = a
		h.startLeadership(2)
		h.addWorker("a", "r1-1")
		h.addWorker("b", "r1-1")
		s := hswork.Submission{ID: jobID(1), Spec: "s", Steps: []hswork.Step{step(1, 1000, 1)}}
		h.apply(&hswork.Command{Submit: &hswork.Submit{Submission: s, Queue: "queue", Pool: "pool", Attempts: 2, NeedsPermit: true}})
		h.dispatcher.Flush()
		if len(a.asked) != 2 {
			t.Fatalf("%s: got %v asked, want both workers", tt.name, a.asked)
		}
		if tt.answer.OK || tt.answer.Asked != nil {
			a.asked = nil
			tt.answer.Step = hsdispatch.StepID{Job: jobID(1)}
			h.dispatcher.HandleAdvice(tt.answer)
			h.dispatcher.Flush()
		}
		h.commit()
		h.advance(tt.after)
		h.assertEqual(tt.name, h.assignments(jobID(1)), tt.want)
		h.assertEqual(tt.name+": asked", len(a.asked), tt.asked)
		if tt.want != nil {
			h.assertEqual(tt.name+": ticket", h.plans["b"].Runs[0].Ticket, "t")
		}
	}
}
