package hsspeed_test

import (
	"fmt"
	"math"
	"testing"
	"time"

	"hyssopseam/core/command/hsspeed"
	"hyssopseam/core/hsid"
	"hyssopseam/core/hswork"
)

// aThird returns the slowdowns of a fleet in which each third worker takes a factor longer than the others.
func aThird(factor float64) func(int, time.Duration) float64 {
	return func(worker int, _ time.Duration) float64 {
		if worker%3 == 0 {
			return math.Log(factor)
		}
		return 0
	}
}

// oneWorker returns the slowdowns of an even fleet in which worker 5 is slow between two times.
func oneWorker(from, until time.Duration) func(int, time.Duration) float64 {
	return func(worker int, at time.Duration) float64 {
		if worker == 5 && at >= from && at < until {
			return math.Log(2.4)
		}
		return 0
	}
}

// TestEstimates checks the errors of the estimates under various loads. Wrong estimates put urgent gangs on slow workers, or
// keep work off good ones.
func TestEstimates(t *testing.T) {
	tables := []struct {
		load    string
		prepare func(f *fleet)
		after   time.Duration
		// rms and largest are the largest root mean square error and error.
		rms, largest float64
	}{
		{"even workers, even tasks", func(f *fleet) { f.unevenness = 0 }, 30 * time.Second, 0, 0},
		{"even workers, uneven tasks", func(*fleet) {}, 30 * time.Second, 0.1, 0.8},
		{"even workers, single tasks with a heavy tail", func(f *fleet) { f.tasks = 1; f.heavyTail() }, 30 * time.Second, 0.05, 0.8},
		{"a third slow by 2.4, after three seconds", func(f *fleet) { f.slowdown = aThird(2.4) }, 3 * time.Second, 0.3, 0.8},
		{"a third slow by 2.4", func(f *fleet) { f.slowdown = aThird(2.4) }, 20 * time.Second, 0.2, 0.6},
		{"a third slow by 2.4, declared times off by e^0.9", func(f *fleet) { f.slowdown = aThird(2.4); f.inaccurate(0.9) }, 20 * time.Second, 0.2, 0.6},
		{"a third slow by 2.4, declared times off by a thousand", func(f *fleet) { f.slowdown = aThird(2.4); f.declared = func() float64 { return 1000 } }, 20 * time.Second, 0.25, 0.7},
		{"a third slow by 2.4, a heavy tail", func(f *fleet) { f.slowdown = aThird(2.4); f.heavyTail() }, 20 * time.Second, 0.2, 0.7},
		{"a third slow by 2.4, single tasks", func(f *fleet) { f.slowdown = aThird(2.4); f.tasks = 1 }, 20 * time.Second, 0.35, 0.8},
		{"a third slow by 1.3", func(f *fleet) { f.slowdown = aThird(1.3) }, 30 * time.Second, 0.12, 0.5},
	}
	for _, tt := range tables {
		f := newFleet(64, func(int, time.Duration) float64 { return 0 })
		tt.prepare(f)
		f.advance(tt.after)
		if rms, largest := f.errors(); rms > tt.rms || largest > tt.largest {
			t.Errorf("%s: got errors of %.3f and at most %.3f, want %.3f and %.3f", tt.load, rms, largest, tt.rms, tt.largest)
		}
	}
}

// TestChange checks the slowdown of a worker whose speed changes, at several times, against bounds. It guards against an
// estimate that follows too late, and against one that takes a short disturbance for permanent.
func TestChange(t *testing.T) {
	type bound struct {
		at              time.Duration
		lowest, highest float64
	}
	tables := []struct {
		load   string
		from   time.Duration
		until  time.Duration
		bounds []bound
	}{
		{"slow for a while", 40 * time.Second, 55 * time.Second, []bound{
			{38 * time.Second, -0.2, 0.2}, {46 * time.Second, 0.6, 1.2}, {54 * time.Second, 0.6, 1.2}, {75 * time.Second, -0.3, 0.35}, {100 * time.Second, -0.2, 0.2},
		}},
		{"slow for good", 40 * time.Second, time.Hour, []bound{
			{38 * time.Second, -0.2, 0.2}, {46 * time.Second, 0.6, 1.2}, {60 * time.Second, 0.6, 1.2}, {120 * time.Second, 0.6, 1.2},
		}},
		{"slow at the beginning", 0, 40 * time.Second, []bound{{38 * time.Second, 0.5, 1.2}, {60 * time.Second, -0.2, 0.5}, {90 * time.Second, -0.3, 0.25}}},
	}
	for _, tt := range tables {
		f := newFleet(32, oneWorker(tt.from, tt.until))
		for _, b := range tt.bounds {
			f.advance(b.at - f.now.Sub(f.began))
			if got := float64(f.tracker.Estimate("w005").Slowdown); got < b.lowest || got > b.highest {
				t.Errorf("%s, after %s: got a slowdown of %.2f, want %.2f to %.2f", tt.load, b.at, got, b.lowest, b.highest)
			}
		}
	}
}

// run returns a run of one of the tasks of a job.
func run(job, index int) hswork.RunID {
	return hswork.RunID{Task: hswork.TaskID{Job: hswork.ID(fmt.Sprint("x", job)), Index: index}, Number: 1}
}

// TestIncarnation checks the estimate of a slow worker after its endpoint was started again. The endpoint may be on another
// machine, which would be avoided for long if the estimate were kept as it is.
func TestIncarnation(t *testing.T) {
	f := newFleet(30, aThird(2.4))
	f.advance(20 * time.Second)
	before := f.tracker.Estimate("w000")
	f.tracker.Seen("w000", 2, f.now)
	f.tracker.Update(f.now)
	after := f.tracker.Estimate("w000")
	if math.Abs(float64(after.Slowdown-before.Slowdown)) > 0.05 || before.Variance > 0.05 || after.Variance < 0.08 || after.Variance > 0.1 {
		t.Errorf("got %.3f after %.3f, want the same slowdown with the variance after one run", after, before)
	}
	for _, id := range []hsid.InstanceID{"unseen", ""} {
		if got, want := f.tracker.Estimate(id), (hswork.SpeedEstimate{Variance: hswork.PriorVariance}); got != want {
			t.Errorf("worker %q: got %+v, want %+v", id, got, want)
		}
	}
}

// TestBadInput feeds impossible values to a tracker that knows an uneven fleet, and checks that all estimates stay within their
// bounds and about the same. One bad value would spoil the estimates of every worker that is compared with it.
func TestBadInput(t *testing.T) {
	reading := func(f *fleet, index int, percent hswork.Percent, at time.Duration, expected time.Duration) {
		f.tracker.Progress(hsspeed.Reading{Run: run(1, index), Worker: workerID(index), Percent: percent, At: f.now.Add(at), Expected: expected})
	}
	tables := []struct {
		name string
		feed func(f *fleet)
	}{
		{"an expected run time of zero", func(f *fleet) { reading(f, 0, 0, 0, 0); reading(f, 0, 50, time.Second, 0) }},
		{"a negative expected run time", func(f *fleet) { reading(f, 0, 0, 0, -time.Hour); reading(f, 0, 50, time.Second, -time.Hour) }},
		{"a huge expected run time", func(f *fleet) {
			reading(f, 0, 0, 0, math.MaxInt64)
			reading(f, 0, 50, time.Second, math.MaxInt64)
		}},
		{"progress that goes back", func(f *fleet) {
			reading(f, 0, 80, 0, time.Second)
			reading(f, 0, 20, time.Second, time.Second)
			reading(f, 0, 90, time.Second, time.Second)
		}},
		{"progress out of range", func(f *fleet) {
			reading(f, 0, -50, 0, time.Second)
			reading(f, 0, 1e9, time.Second, time.Second)
			reading(f, 0, 101, 2*time.Second, time.Second)
		}},
		{"no time passes", func(f *fleet) { reading(f, 0, 0, 0, time.Second); reading(f, 0, 100, 0, time.Second) }},
		{"a clock that is set back", func(f *fleet) {
			reading(f, 0, 0, 0, time.Second)
			reading(f, 0, 50, -24*time.Hour, time.Second)
			reading(f, 0, 90, -23*time.Hour, time.Second)
			f.tracker.Update(f.now.Add(-24 * time.Hour))
		}},
		{"a run that takes a year", func(f *fleet) {
			for i := range 4 {
				reading(f, i, 0, 0, time.Second)
				reading(f, i, 50, time.Second, time.Second)
			}
			reading(f, 4, 0, 0, time.Second)
			reading(f, 4, 11, 365*24*time.Hour, time.Second)
		}},
		{"the end of a run that never ran", func(f *fleet) { f.tracker.Ended(run(2, 0), f.now); f.tracker.Ended(hswork.RunID{}, f.now) }},
		{"the end of a run twice", func(f *fleet) {
			reading(f, 0, 0, 0, time.Second)
			f.tracker.Ended(run(1, 0), f.now)
			f.tracker.Ended(run(1, 0), f.now)
		}},
		{"a run on two workers", func(f *fleet) {
			reading(f, 0, 0, 0, time.Second)
			f.tracker.Progress(hsspeed.Reading{Run: run(1, 0), Worker: "w001", Percent: 50, At: f.now.Add(time.Second), Expected: time.Second})
		}},
	}
	for _, tt := range tables {
		f := newFleet(30, aThird(2.4))
		f.advance(20 * time.Second)
		tt.feed(f)
		f.tracker.Update(f.now)
		f.advance(5 * time.Second)
		for i := range f.workers {
			e := f.tracker.Estimate(workerID(i))
			if !(math.Abs(float64(e.Slowdown)) < 2 && e.Variance >= hswork.MinVariance && e.Variance <= hswork.PriorVariance) {
				t.Errorf("%s: got %+v for worker %d, want it within bounds", tt.name, e, i)
			}
		}
		if rms, _ := f.errors(); rms > 0.25 {
			t.Errorf("%s: got an error of %.2f, want at most 0.25", tt.name, rms)
		}
	}
}

// TestSilence checks that the variance of a worker grows while no readings arrive, so that it is tried again. A worker that was
// slow once would be avoided for ever otherwise.
func TestSilence(t *testing.T) {
	f := newFleet(30, aThird(2.4))
	f.advance(20 * time.Second)
	before := f.tracker.Estimate("w000").Variance
	f.tracker.Update(f.now.Add(30 * time.Second))
	later := f.tracker.Estimate("w000").Variance
	f.tracker.Update(f.now.Add(10 * time.Minute))
	last := f.tracker.Estimate("w000")
	if later < before+0.04 || last.Variance != hswork.PriorVariance || last.Slowdown < 0.3 {
		t.Errorf("got variances of %.3f, %.3f and then %+v, want the slowdown with a variance that grows up to that of the prior", before, later, last)
	}
}

// TestBounds checks that nothing is kept of runs that have ended and of workers that have gone, and that the number of workers
// is bounded. A leader runs for months.
func TestBounds(t *testing.T) {
	f := newFleet(30, aThird(2.4))
	f.advance(20 * time.Second)
	for _, x := range f.running {
		f.tracker.Ended(x.run, f.now)
	}
	f.tracker.Update(f.now.Add(5 * time.Second))
	if workers, groups, runs := f.tracker.Size(); workers != 30 || groups != 0 || runs != 0 {
		t.Errorf("got %d workers, %d groups and %d runs after all runs, want 30, 0 and 0", workers, groups, runs)
	}
	f.tracker.Seen("w000", 1, f.now.Add(2*time.Hour))
	f.tracker.Update(f.now.Add(2 * time.Hour))
	if workers, _, _ := f.tracker.Size(); workers != 1 {
		t.Errorf("got %d workers after two hours, want the one that was seen", workers)
	}
	for i := range 2 * hswork.MaxSpeeds {
		f.tracker.Seen(workerID(1000+i), 1, f.now)
	}
	if workers, _, _ := f.tracker.Size(); workers != hswork.MaxSpeeds {
		t.Errorf("got %d workers, want %d", workers, hswork.MaxSpeeds)
	}
}

// TestClasses checks the classes that operators see and the evidence that comes with a change.
func TestClasses(t *testing.T) {
	f := newFleet(30, aThird(2.4))
	f.advance(30 * time.Second)
	if got := f.tracker.Counts(); got[0] != 0 || got[3] != 10 {
		t.Errorf("got %v workers by class, want none unknown and 10 slow", got)
	}
	f.tracker.Seen("new", 1, f.now)
	f.tracker.Update(f.now)
	changes := f.tracker.Update(f.now.Add(2 * time.Minute))
	for _, c := range changes {
		if c.To != hsspeed.Unknown || c.From == c.To || c.Runs == 0 || c.Estimate.Variance == 0 {
			t.Errorf("got %+v, want a known worker that becomes unknown", c)
		}
	}
	if got, want := f.tracker.Counts(), (hsspeed.Counts{31, 0, 0, 0}); got != want || len(changes) != 30 {
		t.Errorf("got %v and %d changes after two minutes without readings, want %v and 30", got, len(changes), want)
	}
}

// TestDeterminism checks that the same inputs give the same estimates, bit for bit. Otherwise a failure in the simulation
// couldn't be reproduced.
func TestDeterminism(t *testing.T) {
	var want string
	for i := range 3 {
		f := newFleet(30, aThird(2.4))
		f.advance(20 * time.Second)
		got := fmt.Sprintf("%v %v", f.tracker.Counts(), f.tracker.Proposal(f.now, time.Hour))
		for w := range f.workers {
			got += fmt.Sprintf(" %v", f.tracker.Estimate(workerID(w)))
		}
		if i > 0 && got != want {
			t.Errorf("got %s, want %s", got, want)
		}
		want = got
	}
}
