package hsdispatch_test

import (
	"testing"
	"time"

	"hyssopseam/core/hswork"
)

// TestHealth checks that a worker that fails whatever it runs is used last, and gets another chance later.
func TestHealth(t *testing.T) {
	tables := []struct {
		name string
		// failures is how many runs failed in a row on worker a, and done whether one was done after them.
		failures int
		done     bool
		// full is set when worker b has no room, and wait is the time since the last failure.
		full bool
		wait time.Duration
		want string
	}{
		{"no failure", 0, false, false, 0, "a/1"},
		{"one failure", 1, false, false, 0, "b/1"},
		{"failures in a row", 4, false, false, 0, "b/1"},
		{"and no room elsewhere", 4, false, true, 0, "a/1"},
		{"a success after them", 4, true, false, 0, "a/1"},
		{"long ago", 4, false, false, 16 * time.Second, "a/1"},
	}
	for _, tt := range tables {
		b := newBed(t)
		b.worker("a", "r1-1")
		run := func(n int, how hswork.How) {
			job := b.submit(n, 1, "w2", step(1, 1000, 1))
			b.begin("a")
			b.end("a", hswork.RunID{Task: task(job, 0), Number: 1}, how, "")
			b.report("a")
			b.apply(&hswork.Command{Cancel: &hswork.Cancel{ID: job}})
			b.commit()
		}
		for i := range tt.failures {
			run(1+i, hswork.EndFailed)
		}
		if tt.done {
			run(50, hswork.EndDone)
		}
		b.worker("b", "r1-1")
		if tt.full {
			b.submit(60, 0, "w2", step(1, 1000, 8))
		}
		b.settle(tt.wait)
		job := b.submit(70, 1, "w2", step(1, 1000, 1))
		b.want(tt.name, b.places(job), []string{tt.want})
	}
}
