package hsdispatch_test

import (
	"fmt"
	"testing"
	"time"

	"hyssopseam/core/command/hsdispatch"
	"hyssopseam/core/hsid"
	"hyssopseam/core/hswork"
)

// lateUrgent plays a load of urgent gangs and bulk tasks on twelve workers, of which every third takes 2.4 times as long as the
// others, and returns how many urgent jobs there were and how many were late. The speeds are known from the beginning unless they
// are learned.
func lateUrgent(t *testing.T, features hsdispatch.Features, bulk int, learned bool) (jobs, late int) {
	const work = 2300 * time.Millisecond
	h := newHarness(t)
	for i := range 12 {
		h.slowdowns[hsid.InstanceID(fmt.Sprintf("w%02d", i))] = []float64{1.7, 0.7, 0.7}[i%3]
	}
	h.features = features
	if !learned {
		h.speeds = h.estimates()
	}
	h.startLeadership(1)
	for i := range 12 {
		h.addWorker(fmt.Sprintf("w%02d", i), fmt.Sprintf("r1-%d", i/4))
	}
	var urgent []hswork.ID
	for n := range 60 {
		if n%4 == 0 {
			h.stretch, h.target = 3, 3*time.Second
			h.submitWork(1000+n, 2, "w2", 7*time.Second, with(seconds(step(bulk, 1000, 1), 7), func(s *hswork.Step) { s.Checkpoints = n%8 == 0 }))
		}
		if n < 50 {
			h.urgent()
			gang := with(seconds(step(1+n%4, 1000, []hsid.Accelerators{8, 4, 2}[n%3]), work.Seconds()), func(s *hswork.Step) {
				s.Gang, s.SameRack = true, n%5 != 0
			})
			urgent = append(urgent, h.submitWork(n+1, 0, "w2", work, gang))
		}
		h.advance(500 * time.Millisecond)
	}
	objective := time.Duration(1.5*float64(work)) + 300*time.Millisecond
	for _, id := range urgent {
		if j := h.state.Jobs[id]; j.Phase != hswork.Completed || j.Ended-j.Accepted > objective {
			late++
		}
	}
	return len(urgent), late
}

// TestUrgentGangsOverUnevenWorkers checks that placement by known speeds at least halves the late urgent jobs, and by speeds that are
// learned meanwhile lowers them, where a third of the workers
// are slow, as on the customers' days, with and without bulk tasks on the rest of the fleet, and that restarting stragglers makes
// no further job late.
func TestUrgentGangsOverUnevenWorkers(t *testing.T) {
	tables := []struct {
		name    string
		bulk    int
		learned bool
	}{
		{"urgent gangs alone", 1, false},
		{"beside bulk tasks that fill half of the fleet", 12, false},
		{"beside bulk tasks that fill the fleet", 24, false},
		{"urgent gangs alone, while the speeds are learned", 1, true},
		{"beside bulk tasks that fill half of the fleet, while the speeds are learned", 12, true},
		{"beside bulk tasks that fill the fleet, while the speeds are learned", 24, true},
	}
	for _, tt := range tables {
		jobs, before := lateUrgent(t, hsdispatch.Features{}, tt.bulk, false)
		_, after := lateUrgent(t, hsdispatch.Features{Speeds: true}, tt.bulk, tt.learned)
		_, restarted := lateUrgent(t, hsdispatch.Features{Speeds: true, Stragglers: true}, tt.bulk, tt.learned)
		t.Logf("%s: of %d urgent jobs, %d late without speeds, %d with them, %d with stragglers restarted", tt.name, jobs, before, after, restarted)
		if !tt.learned && 2*after > before || after >= before {
			t.Errorf("%s: got %d of %d urgent jobs late with speeds, want fewer than the %d without, half of them if the speeds are known", tt.name, after, jobs, before)
		}
		if restarted > after {
			t.Errorf("%s: got %d of %d urgent jobs late with stragglers restarted, want at most the %d without that", tt.name, restarted, jobs, after)
		}
	}
}
