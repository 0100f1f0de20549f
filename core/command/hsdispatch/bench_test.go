package hsdispatch_test

import (
	"fmt"
	"testing"

	"hyssopseam/core/hsid"
	"hyssopseam/core/hswork"
)

// BenchmarkPass measures a scheduling pass at the size of the target in docs/CAPACITY.md: 770 workers with ten
// tasks each, and jobs that wait.
func BenchmarkPass(b *testing.B) {
	tables := []struct {
		workers int
		waiting int
	}{
		{11, 20},
		{61, 50},
		{770, 0},
		{770, 200},
	}
	for _, tt := range tables {
		b.Run(fmt.Sprintf("workers=%d/waiting=%d", tt.workers, tt.waiting), func(b *testing.B) {
			bed := newBed(nil)
			for i := range tt.workers {
				bed.worker(fmt.Sprintf("w%04d", i), fmt.Sprintf("r1-%d", i/6))
			}
			for i := range tt.workers {
				bed.submit(i+1, 2, "w2", step(10, 3000, 0))
			}
			for i := range tt.waiting {
				gang := with(step(4, 20000, hsid.Accelerators(1+i%8)), func(s *hswork.Step) { s.Gang = true; s.SameRack = i%2 == 0 })
				bed.submit(tt.workers+i+1, 1, "w2", gang)
			}
			for _, id := range bed.workers() {
				bed.begin(id)
			}
			bed.commit()
			b.ReportAllocs()
			for b.Loop() {
				bed.now = bed.now.Add(passEvery)
				for _, t := range bed.tallies {
					bed.keepAlive(t)
				}
				bed.dispatcher.Wake()
				bed.dispatcher.Flush()
				bed.proposed = nil
			}
		})
	}
}
