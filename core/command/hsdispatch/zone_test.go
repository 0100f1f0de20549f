package hsdispatch_test

import (
	"testing"
	"time"

	"hyssopseam/core/hsid"
	"hyssopseam/core/hswork"
)

// TestEvacuation checks where the runs of a job are while the zone of worker a, its first place, is evacuated.
func TestEvacuation(t *testing.T) {
	change := func(h *harness, zone hsid.ZoneID, restore bool) {
		h.apply(&hswork.Command{Zone: &hswork.ZoneEvacuation{Zone: zone, Restore: restore}})
		h.dispatcher.Flush()
	}
	tables := []struct {
		name string
		play func(h *harness)
		want []string
	}{
		{"evacuated before", func(h *harness) {
			change(h, "z1", false)
			h.submit(1, 1, "w2", step(1, 1000, 8))
		}, []string{"b/1"}},
		{"another zone evacuated before", func(h *harness) {
			change(h, "z2", false)
			h.submit(1, 1, "w2", step(1, 1000, 8))
		}, []string{"a/1"}},
		{"evacuated and restored before", func(h *harness) {
			change(h, "z1", false)
			change(h, "z1", true)
			h.submit(1, 1, "w2", step(1, 1000, 8))
		}, []string{"a/1"}},
		{"evacuated before, under a later leader", func(h *harness) {
			change(h, "z1", false)
			h.startLeadership(2)
			h.reportAll()
			h.submit(1, 1, "w2", step(1, 1000, 8))
		}, []string{"b/1"}},
		{"evacuated while the run is in progress", func(h *harness) {
			h.submit(1, 1, "w2", step(1, 1000, 8))
			h.applyPlan("a")
			change(h, "z1", false)
			h.advance(1500 * time.Millisecond)
		}, []string{"a/1"}},
		{"evacuated while the start is under way", func(h *harness) {
			h.submit(1, 1, "w2", step(1, 1000, 8))
			change(h, "z1", false)
			h.advance(500 * time.Millisecond)
		}, []string{"a/1"}},
		{"evacuated while the start doesn't arrive", func(h *harness) {
			h.submit(1, 1, "w2", step(1, 1000, 8))
			change(h, "z1", false)
			h.advance(1500 * time.Millisecond)
			h.reports["a"].NeverStarted = h.plans["a"].Stops
			h.advance(200 * time.Millisecond)
		}, []string{"b/2"}},
		{"evacuated long ago, under a new leader whose reports don't know yet what runs", func(h *harness) {
			h.submit(1, 1, "w2", step(1, 1000, 8))
			h.applyPlan("a")
			change(h, "z1", false)
			h.advance(2 * time.Second)
			running := h.reports["a"].Running
			h.reports["a"].Running, h.reports["a"].ListsKnown = nil, false
			h.startLeadership(2)
			h.advance(time.Second)
			h.reports["a"].Running, h.reports["a"].ListsKnown = running, true
			h.advance(time.Second)
			h.assertEqual("stops", len(h.stops), 0)
		}, []string{"a/1"}},
		{"all zones evacuated", func(h *harness) {
			change(h, "z1", false)
			change(h, "z2", false)
			h.submit(1, 1, "w2", step(1, 1000, 8))
		}, nil},
		{"a guaranteed job after the evacuation takes over the other zone", func(h *harness) {
			change(h, "z1", false)
			h.submit(2, 2, "w2", step(1, 1000, 8))
			h.applyPlan("b")
			h.submit(1, 0, "w1", step(1, 1000, 8))
			h.applyPlans()
			h.advance(200 * time.Millisecond)
		}, []string{"b/1"}},
	}
	for _, tt := range tables {
		h := newHarness(t)
		for i, id := range []string{"a", "b"} {
			report := h.addWorker(id, "r1-1")
			report.Zone = []hsid.ZoneID{"z1", "z2"}[i]
			h.report(id)
		}
		tt.play(h)
		h.assertEqual(tt.name, h.assignments(jobID(1)), tt.want)
	}
}

// TestEvacuationOfSilentWorker checks that a run on a silent worker of an evacuated zone isn't given up before its lease
// has expired: it may be in progress.
func TestEvacuationOfSilentWorker(t *testing.T) {
	h := newHarness(t)
	a := h.addWorker("a", "r1-1")
	a.Zone = "z1"
	h.report("a")
	h.submit(1, 1, "w2", step(1, 1000, 8))
	h.addWorker("b", "r1-1")
	delete(h.reports, hsid.InstanceID("a"))
	h.apply(&hswork.Command{Zone: &hswork.ZoneEvacuation{Zone: "z1"}})
	h.advance(5 * time.Second)
	h.assertEqual("while the lease is valid", h.assignments(jobID(1)), []string{"a/1"})
	h.advance(5 * time.Second)
	h.assertEqual("after it", h.assignments(jobID(1)), []string{"b/2"})
}
