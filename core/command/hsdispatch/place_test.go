package hsdispatch_test

import (
	"fmt"
	"testing"
	"time"

	"hyssopseam/core/hsid"
	"hyssopseam/core/hswork"
)

func step(count int, cores hsid.MilliCores, accelerators hsid.Accelerators) hswork.Step {
	return hswork.Step{Count: count, Estimate: 10 * time.Second, Need: hswork.Resources{Cores: cores, Memory: 8 * hsid.GiB, Accelerators: accelerators}}
}

func with(s hswork.Step, change func(s *hswork.Step)) hswork.Step {
	change(&s)
	return s
}

func TestPlace(t *testing.T) {
	tables := []struct {
		name string
		step hswork.Step
		want []string
	}{
		{"fills one worker first", step(2, 2000, 1), []string{"a/1", "a/1"}},
		{"spread is kept among tasks that start together", with(step(3, 2000, 1), func(s *hswork.Step) { s.Spread = 1 }), []string{"a/1", "b/1", "c/1"}},
		{"spread leaves out what finds no worker", with(step(5, 2000, 1), func(s *hswork.Step) { s.Spread = 1 }), []string{"a/1", "b/1", "c/1", "d/1"}},
		{"a gang starts whole or not at all", with(step(5, 2000, 8), func(s *hswork.Step) { s.Gang = true }), nil},
		{"a gang on one rack", with(step(2, 2000, 8), func(s *hswork.Step) { s.Gang = true; s.SameRack = true }), []string{"a/1", "b/1"}},
		{"a label", with(step(1, 2000, 1), func(s *hswork.Step) { s.Label = "r1-2" }), []string{"c/1"}},
		{"the rack of the data", with(step(1, 2000, 1), func(s *hswork.Step) { s.DataRack = "r1-2" }), []string{"c/1"}},
		{"more than a worker has", step(1, 33000, 1), nil},
	}
	for _, tt := range tables {
		b := newBed(t)
		b.worker("a", "r1-1")
		b.worker("b", "r1-1")
		b.worker("c", "r1-2")
		b.worker("d", "r1-2")
		job := b.submit(1, 1, "w2", tt.step)
		b.want(tt.name, b.places(job), tt.want)
	}
}

// TestOrderOfSteps checks that a step starts only when the steps that it follows are done.
func TestOrderOfSteps(t *testing.T) {
	b := newBed(t)
	b.worker("a", "r1-1")
	job := b.submit(1, 1, "w2", step(1, 1000, 1), with(step(1, 1000, 1), func(s *hswork.Step) { s.After = []int{0} }))
	b.want("first step", b.places(job), []string{"a/1"})
	b.begin("a")
	b.end("a", hswork.RunID{Task: task(job, 0), Number: 1}, hswork.EndDone, "")
	b.report("a")
	b.want("before the end is committed", len(b.state.Jobs[job].Rounds[0].Steps[1][0].Places), 0)
	b.commit()
	b.want("after it", len(b.state.Jobs[job].Rounds[0].Steps[1][0].Places), 1)
}

// TestReclaim checks that a covered job gets its accelerators back from one that isn't covered.
func TestReclaim(t *testing.T) {
	tables := []struct {
		name string
		step hswork.Step
	}{
		{"one task of a whole worker", step(1, 1000, 8)},
		{"many small tasks", step(8, 1000, 1)},
		{"a gang", with(step(2, 1000, 4), func(s *hswork.Step) { s.Gang = true })},
	}
	for _, tt := range tables {
		b := newBed(t)
		b.worker("a", "r1-1")
		b.worker("b", "r1-1")
		filler := b.submit(1, 2, "w2", step(16, 1000, 1))
		b.beginAll()
		b.want(tt.name+": fillers", len(b.places(filler)), 16)
		job := b.submit(2, 0, "w1", tt.step)
		b.want(tt.name+": waits for the stops", len(b.places(job)), 0)
		b.beginAll()
		b.commit()
		b.beginAll()
		b.want(tt.name+": placed", len(b.places(job)), tt.step.Count)
		b.want(tt.name+": only as many give way as needed", len(b.places(filler)), 8)
	}
}

// TestDue checks when the occurrences of a repeated job start, and that a late one doesn't hold up the next.
func TestDue(t *testing.T) {
	const every = 2 * time.Second
	tables := []struct {
		name  string
		delay time.Duration
		times int
		wait  time.Duration
		// ends has what runs be done after the wait and lets a pass go by.
		ends bool
		want []string
	}{
		{"before its time", time.Second, 1, 800 * time.Millisecond, false, nil},
		{"at its time", time.Second, 1, 1100 * time.Millisecond, false, []string{"0"}},
		{"the second isn't due", time.Second, 2, 2900 * time.Millisecond, false, []string{"0"}},
		{"the second beside the first", time.Second, 2, 3200 * time.Millisecond, false, []string{"0", "1"}},
		{"no more than asked for", time.Second, 2, 9 * time.Second, false, []string{"0", "1"}},
		{"the first is done and the second isn't due", time.Second, 2, 1500 * time.Millisecond, true, nil},
		{"due long ago", -10 * time.Second, 3, 100 * time.Millisecond, false, []string{"0", "1", "2"}},
	}
	for _, tt := range tables {
		b := newBed(t)
		b.worker("a", "r1-1")
		s := hswork.Submission{
			ID: id(1), Spec: "spec", Steps: []hswork.Step{step(1, 1000, 1)},
			Start: b.now.Add(tt.delay).UnixMilli(), Every: every, Times: tt.times,
		}
		b.apply(&hswork.Command{Submit: &hswork.Submit{Submission: s, Queue: "queue", Pool: "pool", Workspace: "w2", Attempts: 2, Stretch: 3}})
		b.work(tt.wait)
		b.settle(tt.wait % time.Second)
		if tt.ends {
			b.begin("a")
			b.end("a", hswork.RunID{Task: task(id(1), 0), Number: 1}, hswork.EndDone, "")
			b.report("a")
			b.commit()
		}
		var got []string
		b.state.Jobs[id(1)].EachPlace(func(t hswork.TaskID, _ *hswork.Task, _ hswork.Place) { got = append(got, fmt.Sprint(t.Occurrence)) })
		b.want(tt.name, got, tt.want)
		if phase := b.state.Jobs[id(1)].Phase; phase != hswork.Open {
			t.Errorf("%s: got phase %s, want it open", tt.name, phase)
		}
	}
}
