package hsdispatch_test

import (
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"hyssopseam/core/command/hsdispatch"
	"hyssopseam/core/hsid"
	"hyssopseam/core/hswork"
)

// newSpeedLoad returns a harness of 24 workers on four racks, of which each third takes 2.4 times as long, whose tasks differ by
// 20 %.
func newSpeedLoad(t *testing.T, features hsdispatch.Features) *harness {
	h := newHarness(t)
	h.features = features
	h.startLeadership(1)
	random := rand.New(rand.NewPCG(1, 2))
	factors := map[hswork.TaskID]float64{}
	h.taskFactor = func(id hswork.TaskID) float64 {
		if factors[id] == 0 {
			factors[id] = math.Exp(0.2 * random.NormFloat64())
		}
		return factors[id]
	}
	for i := range 24 {
		id := fmt.Sprintf("w%02d", i)
		h.addWorker(id, fmt.Sprintf("r%d", i%4))
		if isSlow(i) {
			h.slowdowns[hsid.InstanceID(id)] = 2.4
		}
	}
	return h
}

func isSlow(worker int) bool { return worker%3 == 0 }

// submitEvery submits a job of four seconds with a step each time that the given time has passed, for a total time.
func (h *harness) submitEvery(interval, total time.Duration, s hswork.Step) {
	for range int(total / interval) {
		h.submitWork(1000+len(h.work), 2, "w2", 4*time.Second, s)
		h.advance(interval)
	}
}

// TestSpeedsLearned checks what the leader knows of the workers' speeds under various loads, and after a change of leader. Urgent
// gangs on slow workers are late, and right after a change of leader they were late again.
func TestSpeedsLearned(t *testing.T) {
	gang := with(step(8, 1000, 2), func(s *hswork.Step) { s.Gang = true; s.Estimate = 4 * time.Second })
	tasks := with(step(20, 1000, 1), func(s *hswork.Step) { s.Estimate = 3 * time.Second })
	tables := []struct {
		load     string
		features hsdispatch.Features
		step     hswork.Step
		// then happens after the speeds were learned.
		then func(h *harness)
		// slow and fast are the bounds of the mean slowdowns of the two kinds of worker.
		slowLowest, slowHighest float64
		fastLowest, fastHighest float64
	}{
		{"gangs over uneven workers", hsdispatch.Features{Speeds: true}, gang, func(*harness) {}, 0.4, 0.75, -0.4, -0.15},
		{"single tasks", hsdispatch.Features{Speeds: true}, tasks, func(*harness) {}, 0.4, 0.75, -0.4, -0.15},
		{"a cold leader", hsdispatch.Features{Speeds: true}, gang, func(h *harness) { h.startLeadership(2) }, 0.35, 0.75, -0.4, -0.1},
		{"a leader after the next one", hsdispatch.Features{Speeds: true}, gang, func(h *harness) {
			h.startLeadership(2)
			h.advance(2 * time.Second)
			h.startLeadership(3)
		}, 0.35, 0.75, -0.4, -0.1},
		{"a speed that changes", hsdispatch.Features{Speeds: true}, gang, func(h *harness) {
			clear(h.slowdowns)
			h.submitEvery(500*time.Millisecond, 40*time.Second, gang)
		}, -0.25, 0.25, -0.25, 0.25},
		{"the part is off", hsdispatch.Features{}, gang, func(*harness) {}, 0, 0, 0, 0},
		{"best effort", hsdispatch.Features{Speeds: true}, with(tasks, func(s *hswork.Step) { s.BestEffort = true }), func(*harness) {}, 0, 0, 0, 0},
		{"tasks off the rack of their data", hsdispatch.Features{Speeds: true}, with(tasks, func(s *hswork.Step) { s.DataRack = "r9" }), func(*harness) {}, 0, 0, 0, 0},
	}
	for _, tt := range tables {
		h := newSpeedLoad(t, tt.features)
		h.submitEvery(500*time.Millisecond, 25*time.Second, tt.step)
		tt.then(h)
		var slow, fast float64
		for i, id := range h.workerIDs() {
			e := h.dispatcher.Speed(hsid.InstanceID(id))
			if isSlow(i) {
				slow += float64(e.Slowdown) / 8
			} else {
				fast += float64(e.Slowdown) / 16
			}
		}
		if slow < tt.slowLowest || slow > tt.slowHighest || fast < tt.fastLowest || fast > tt.fastHighest {
			t.Errorf("%s: got slowdowns of %.2f and %.2f, want %.2f to %.2f and %.2f to %.2f", tt.load, slow, fast, tt.slowLowest, tt.slowHighest, tt.fastLowest, tt.fastHighest)
		}
		if committed := len(h.state.Speeds); (committed > 0) != (tt.slowHighest > 0) {
			t.Errorf("%s: got the speeds of %d workers in the state", tt.load, committed)
		}
	}
}

// TestRunTimesAsWork checks that observed run times count as those on an average worker. A mixture of both kinds of worker makes
// every estimate wrong on each of them.
func TestRunTimesAsWork(t *testing.T) {
	gang := with(step(8, 1000, 2), func(s *hswork.Step) { s.Gang = true; s.Estimate = 4 * time.Second })
	tables := []struct {
		name     string
		features hsdispatch.Features
		step     hswork.Step
		// A task takes 4 s on a fast worker, 5.4 s on an average one and 9.6 s on a slow one; the longest of eight takes a third
		// more.
		shortest, longest time.Duration
	}{
		{"gangs, speeds are learned", hsdispatch.Features{Speeds: true}, gang, 5 * time.Second, 6700 * time.Millisecond},
		{"gangs, speeds aren't learned", hsdispatch.Features{}, gang, 6900 * time.Millisecond, 13 * time.Second},
	}
	for _, tt := range tables {
		h := newSpeedLoad(t, tt.features)
		h.submitEvery(500*time.Millisecond, 60*time.Second, tt.step)
		stats := h.state.RunTimes["queue"]
		if got := time.Duration(math.Exp(stats.Mean) * float64(time.Second)); got < tt.shortest || got > tt.longest {
			t.Errorf("%s: got a mean of %s, want %s to %s", tt.name, got, tt.shortest, tt.longest)
		}
	}
}

// TestEvenFleet checks that learning changes no decision on a fleet of even workers.
func TestEvenFleet(t *testing.T) {
	var want []string
	for _, learn := range []bool{false, true} {
		h := newSpeedLoad(t, hsdispatch.Features{Speeds: learn})
		h.slowdowns, h.taskFactor = map[hsid.InstanceID]float64{}, nil
		gang := with(step(8, 1000, 2), func(s *hswork.Step) { s.Gang = true; s.Estimate = 4 * time.Second })
		var got []string
		for n := range 40 {
			id := h.submitWork(n+1, n%3, "w2", 4*time.Second, gang)
			h.advance(500 * time.Millisecond)
			got = append(got, h.assignments(id)...)
		}
		if learn && !slices.Equal(got, want) {
			t.Errorf("got %v with speeds, want %v", got, want)
		}
		want = got
	}
}

// BenchmarkPassSpeeds measures what it costs to learn speeds at the size of the target in docs/CAPACITY.md: 770 workers with
// ten tasks each, all of which make progress about once a second, over several workers each job. One operation takes the
// reports of all workers and runs one pass.
func BenchmarkPassSpeeds(b *testing.B) {
	const workers = 770
	for _, learn := range []bool{false, true} {
		for _, waiting := range []int{0, 200} {
			b.Run(fmt.Sprintf("speeds=%v/waiting=%d", learn, waiting), func(b *testing.B) {
				h := newHarness(nil)
				h.features = hsdispatch.Features{Speeds: learn}
				h.startLeadership(2)
				for i := range workers {
					h.addWorker(fmt.Sprintf("w%04d", i), fmt.Sprintf("r1-%d", i/6))
				}
				for i := range workers {
					h.submit(i+1, 2, "w2", with(step(10, 3000, 0), func(s *hswork.Step) { s.Spread = 1 }))
				}
				for i := range waiting {
					gang := with(step(4, 20000, hsid.Accelerators(1+i%8)), func(s *hswork.Step) { s.Gang = true; s.SameRack = i%2 == 0 })
					h.submit(workers+i+1, 1, "w2", gang)
				}
				for _, id := range h.workerIDs() {
					h.applyPlan(id)
				}
				h.commit()
				b.ReportAllocs()
				passes := 0
				for b.Loop() {
					h.now = h.now.Add(passInterval)
					passes++
					for k, id := range h.workerIDs() {
						report := h.reports[hsid.InstanceID(id)]
						for i := range report.Running {
							// A tenth of the runs changes in each pass; a run makes 80 percent of progress over and over.
							if (k+i+passes)%10 == 0 {
								report.Running[i].Percent = (report.Running[i].Percent + 1 + hswork.Percent(k%2)) % 80
							}
						}
						h.sendReport(report)
					}
					h.dispatcher.Wake()
					h.dispatcher.Flush()
					for _, c := range h.proposed {
						if c.Speeds != nil {
							h.apply(c)
						}
					}
					h.proposed = nil
				}
			})
		}
	}
}
