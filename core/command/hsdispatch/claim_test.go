package hsdispatch_test

import (
	"fmt"
	"testing"
	"time"

	"hyssopseam/core/hsid"
	"hyssopseam/core/hswork"
)

// TestShare checks what has others give way to an urgent job that no guarantee covers: small tasks that together
// need one worker of those in use. The pattern is a burst of urgent jobs while large tasks fill all workers.
func TestShare(t *testing.T) {
	gang := func(s *hswork.Step) { s.Gang = true }
	tables := []struct {
		name   string
		urgent hswork.Step
		// runs is how long the large tasks have been at work.
		runs time.Duration
		// want is how many of the two large tasks go on.
		want int
	}{
		{"one large task gives way to four small ones", step(4, 1000, 2), 5 * time.Second, 1},
		{"and to a gang of four", with(step(4, 1000, 2), gang), 5 * time.Second, 1},
		{"nothing gives way when more work is lost than gained", with(step(4, 1000, 2), gang), 20 * time.Second, 2},
	}
	for _, tt := range tables {
		b := newBed(t)
		b.worker("a", "r1-1")
		b.worker("b", "r1-1")
		large := b.submit(1, 2, "w2", with(step(2, 1000, 8), func(s *hswork.Step) { s.Estimate = time.Minute }))
		b.beginAll()
		b.work(tt.runs)
		b.submit(2, 0, "w2", tt.urgent)
		b.settle(1300 * time.Millisecond)
		b.beginAll()
		b.commit()
		b.want(tt.name, len(b.places(large)), tt.want)
	}
}

// TestNear checks what an urgent gang that is slow on several racks does when no rack has room for it. The pattern
// is an overload in which each rack has a little room left.
func TestNear(t *testing.T) {
	gang := with(step(2, 1000, 8), func(s *hswork.Step) { s.Gang = true; s.SameRack = true })
	wide := with(gang, func(s *hswork.Step) { s.Count = 3 })
	tables := []struct {
		name      string
		workspace hsid.WorkspaceID
		priority  int
		step      hswork.Step
		// fillers run for this long, on one worker of each rack.
		estimate time.Duration
		want     []string
	}{
		{"others give way on one rack", "w2", 0, gang, 10 * time.Second, []string{"a/1", "b/1"}},
		{"a covered one as well", "w1", 0, gang, 10 * time.Second, []string{"a/1", "b/1"}},
		{"one that may not have others stopped waits", "w2", 2, gang, 10 * time.Second, nil},
		{"and runs on several racks when waiting takes longer than that", "w2", 2, gang, 10 * time.Minute, []string{"b/1", "d/1"}},
		{"what fits on no rack doesn't wait", "w2", 0, wide, 10 * time.Second, []string{"a/1", "b/1", "d/1"}},
	}
	for _, tt := range tables {
		b := newBed(t)
		for i, w := range []string{"a", "b", "c", "d"} {
			b.worker(w, fmt.Sprintf("r1-%d", 1+i/2))
		}
		b.submit(1, 2, "w2", with(step(2, 1000, 8), func(s *hswork.Step) { s.Estimate = tt.estimate; s.Spread = 1; s.Label = "full" }))
		b.tallies["a"].Endpoint.Labels = append(b.tallies["a"].Endpoint.Labels, "full")
		b.tallies["c"].Endpoint.Labels = append(b.tallies["c"].Endpoint.Labels, "full")
		b.settle(100 * time.Millisecond)
		b.beginAll()
		b.want(tt.name+": fillers", b.places(id(1)), []string{"a/1", "c/1"})
		job := b.submit(2, tt.priority, tt.workspace, tt.step)
		b.settle(300 * time.Millisecond)
		b.beginAll()
		b.commit()
		b.want(tt.name, fmt.Sprint(b.places(job)), fmt.Sprint(tt.want))
	}
}
