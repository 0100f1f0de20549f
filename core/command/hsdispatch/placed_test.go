package hsdispatch_test

import (
	"math/rand/v2"
	"testing"
	"time"

	"hyssopseam/core/hsid"
	"hyssopseam/core/hswork"
)

// TestPlacedIndex plays random submissions, starts, ends and cancellations, with ends that are reported twice, and
// compares the index of placed runs with one that is built from the state.
func TestPlacedIndex(t *testing.T) {
	for _, seed := range []uint64{1, 2, 3} {
		random := rand.New(rand.NewPCG(seed, 0))
		h := newHarness(t)
		for _, id := range []string{"a", "b", "c"} {
			h.addWorker(id, "r1-1")
		}
		kinds := []hswork.EndKind{hswork.EndDone, hswork.EndFailed, hswork.EndStopped, hswork.EndLost, hswork.EndNever}
		for n := 1; n < 400; n++ {
			switch random.IntN(4) {
			case 0:
				gang := with(step(1+random.IntN(6), 1000, hsid.Accelerators(random.IntN(4))), func(s *hswork.Step) { s.Gang = random.IntN(2) == 0 })
				h.submit(n, random.IntN(3), "w2", gang)
			case 1:
				h.apply(&hswork.Command{Cancel: &hswork.Cancel{ID: jobID(1 + random.IntN(n))}})
			default:
				run := hswork.RunID{Task: taskID(jobID(1+random.IntN(n)), random.IntN(6)), Number: hswork.RunNumber(1 + random.IntN(3))}
				h.apply(&hswork.Command{End: &hswork.EndRuns{Ends: []hswork.End{{Run: run, Kind: kinds[random.IntN(len(kinds))]}}}})
			}
			if random.IntN(10) == 0 {
				h.advance(100 * time.Millisecond)
			}
			h.commit()
			if err := h.dispatcher.CheckPlaced(); err != nil {
				t.Fatalf("seed %d, step %d: %v", seed, n, err)
			}
		}
	}
}
