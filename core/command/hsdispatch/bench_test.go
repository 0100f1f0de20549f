package hsdispatch_test

import (
	"fmt"
	"testing"

	"hyssopseam/core/command/hsdispatch"
	"hyssopseam/core/hsid"
	"hyssopseam/core/hswork"
)

// BenchmarkPass measures a scheduling pass at the size of the target in docs/CAPACITY.md: 770 workers with ten
// tasks each, and waiting jobs. With speeds, every third worker is known to be slow, and
// stragglers and trust are on too.
func BenchmarkPass(b *testing.B) {
	tables := []struct {
		workers int
		waiting int
		speeds  bool
	}{
		{11, 20, false},
		{61, 50, false},
		{770, 0, false},
		{770, 200, false},
		{770, 0, true},
		{770, 200, true},
	}
	for _, tt := range tables {
		name := fmt.Sprintf("workers=%d/waiting=%d", tt.workers, tt.waiting)
		if tt.speeds {
			name += "/speeds"
		}
		b.Run(name, func(b *testing.B) {
			h := newHarness(nil)
			if tt.speeds {
				for i := range tt.workers {
					h.slowdowns[hsid.InstanceID(fmt.Sprintf("w%04d", i))] = []float64{0.7, 0.8, 1.7}[i%3] + float64(i%20)/100
				}
				h.features, h.speeds = hsdispatch.Features{Speeds: true, Stragglers: true, Trust: true}, h.estimates()
				h.startLeadership(1)
			}
			for i := range tt.workers {
				h.addWorker(fmt.Sprintf("w%04d", i), fmt.Sprintf("r1-%d", i/6))
			}
			for i := range tt.workers {
				h.submit(i+1, 2, "w2", step(10, 3000, 0))
			}
			for i := range tt.waiting {
				gang := with(step(4, 20000, hsid.Accelerators(1+i%8)), func(s *hswork.Step) { s.Gang = true; s.SameRack = i%2 == 0 })
				h.submit(tt.workers+i+1, 1, "w2", gang)
			}
			for _, id := range h.workerIDs() {
				h.applyPlan(id)
			}
			h.commit()
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
