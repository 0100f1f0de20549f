package hsdispatch_test

import (
	"testing"
	"time"

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
