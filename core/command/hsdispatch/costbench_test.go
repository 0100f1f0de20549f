package hsdispatch_test

import (
	"fmt"
	"testing"

	"hyssopseam/core/command/hsdispatch"
	"hyssopseam/core/hsid"
	"hyssopseam/core/hswork"
)

// BenchmarkUrgentPass measures a pass in which urgent gangs wait on a full fleet, with the optional parts that weigh them on and
// off.
func BenchmarkUrgentPass(b *testing.B) {
	tables := []struct {
		name     string
		features hsdispatch.Features
		priority int
	}{
		{"off/priority=0", hsdispatch.Features{}, 0},
		{"costs/priority=0", hsdispatch.Features{Costs: true}, 0},
		{"off/priority=1", hsdispatch.Features{}, 1},
		{"costs/priority=1", hsdispatch.Features{Costs: true}, 1},
		{"costs and shares/priority=1", hsdispatch.Features{Costs: true, Shares: true}, 1},
	}
	for _, tt := range tables {
		b.Run(tt.name, func(b *testing.B) {
			h := newHarness(nil)
			h.features = tt.features
			h.startLeadership(1)
			for i := range 770 {
				h.addWorker(fmt.Sprintf("w%04d", i), fmt.Sprintf("r1-%d", i/6))
			}
			for i := range 770 {
				h.submit(i+1, 2, "w2", step(10, 3000, 0))
			}
			for _, id := range h.workerIDs() {
				h.applyPlan(id)
			}
			h.commit()
			for i := range 200 {
				gang := with(step(4, 20000, hsid.Accelerators(1+i%8)), func(s *hswork.Step) { s.Gang = true; s.SameRack = i%2 == 0 })
				h.submit(1000+i, tt.priority, "w2", gang)
			}
			b.ReportAllocs()
			for b.Loop() {
				h.now = h.now.Add(passInterval)
				for _, report := range h.reports {
					h.sendReport(report)
				}
				h.dispatcher.Wake()
				h.dispatcher.Flush()
				h.proposed = nil
			}
		})
	}
}
