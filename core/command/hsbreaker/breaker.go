// Package hsbreaker keeps work away from workers that fail everything they start.
//
// Each worker has a breaker. It is closed while jobs succeed; after Threshold jobs in a row failed it
// opens for a pause, which doubles each time up to MaxPause. After the pause one job is the probe, one
// that may run again if there is any (see ProbeOverdue): when it succeeds the breaker closes, when it
// fails the breaker opens for longer, and when it is cancelled or stopped it opens for the same pause, so that a cancelled probe never
// blocks the next. Tickets carry a generation; an outcome of an older generation changes nothing.
// Generations and released probes follow the lesson "Model circuit recovery and release cancelled
// probes"; docs/RELATED.md says what was measured.
//
// A job that fails on several workers is at fault itself: once it failed on a second worker, its
// failures no longer count against any worker. Placement problems are never counted.
//
// A Book isn't safe for concurrent use.
//
// # Usage
//
//	ticket := book.Begin(worker, now)
//	book.Fail(worker, ticket, job, now)
package hsbreaker

import (
	"time"

	"hyssopseam/core/hsid"
)

// Defaults of a breaker.
const (
	// Threshold is the number of jobs in a row whose failure opens a breaker.
	Threshold = 3
	// FirstPause is how long a breaker stays open the first time.
	FirstPause = 30 * time.Second
	// MaxPause is the longest that a breaker stays open before it is probed.
	MaxPause = 30 * time.Minute
)

// Phase is the state of a breaker.
type Phase string

// The phases of a breaker.
const (
	Closed   Phase = "closed"
	Open     Phase = "open"
	HalfOpen Phase = "halfOpen"
)

// Ticket is held by one job on one worker.
type Ticket struct {
	Generation uint64
	Probe      bool
}

type breaker struct {
	phase      Phase
	generation uint64
	// failed lists the jobs in a row that failed.
	failed []hsid.JobID
	pause  time.Duration
	until  time.Time
}

// Book holds the breakers of all workers. Workers without one are closed.
type Book struct {
	breakers map[hsid.InstanceID]*breaker
	// Disabled switches all breakers off, for comparison.
	Disabled bool
}

// New returns a book in which every breaker is closed.
func New() *Book {
	return &Book{breakers: map[hsid.InstanceID]*breaker{}}
}

func (b *Book) of(w hsid.InstanceID) *breaker {
	k := b.breakers[w]
	if k == nil {
		k = &breaker{phase: Closed}
		b.breakers[w] = k
	}
	return k
}

// Phase returns where the breaker of a worker stands.
func (b *Book) Phase(w hsid.InstanceID) Phase {
	if k := b.breakers[w]; k != nil {
		return k.phase
	}
	return Closed
}

// Quarantined reports whether a worker gets no ordinary work.
func (b *Book) Quarantined(w hsid.InstanceID) bool {
	return b.Phase(w) != Closed
}

// ProbeDue reports whether a worker may be given its probe.
func (b *Book) ProbeDue(w hsid.InstanceID, now time.Time) bool {
	k := b.breakers[w]
	return k != nil && k.phase == Open && !now.Before(k.until)
}

// ProbeOverdue reports whether a worker waits for its probe for as long as its pause was. Then any job may
// be the probe, so that no job waits for a worker that nothing else would try.
func (b *Book) ProbeOverdue(w hsid.InstanceID, now time.Time) bool {
	k := b.breakers[w]
	return b.ProbeDue(w, now) && !now.Before(k.until.Add(k.pause))
}

// Begin returns the ticket of a job that is given to a worker. On a worker whose probe is due the job
// is the probe.
func (b *Book) Begin(w hsid.InstanceID, now time.Time) Ticket {
	k := b.of(w)
	if !b.ProbeDue(w, now) {
		return Ticket{Generation: k.generation}
	}
	k.phase = HalfOpen
	return Ticket{Generation: k.generation, Probe: true}
}

// Succeed records that a job ran on a worker.
func (b *Book) Succeed(w hsid.InstanceID, t Ticket) {
	k := b.of(w)
	if t.Generation != k.generation {
		return
	}
	k.failed = nil
	if t.Probe {
		k.phase = Closed
		k.pause = 0
		k.generation++
	}
}

// Fail records that a job failed on a worker, and reports whether that opened the breaker.
func (b *Book) Fail(w hsid.InstanceID, t Ticket, j hsid.JobID, now time.Time) bool {
	k := b.of(w)
	if t.Generation != k.generation || b.Disabled {
		return false
	}
	k.failed = append(k.failed, j)
	if !t.Probe && len(k.failed) < Threshold {
		return false
	}
	k.pause = min(max(2*k.pause, FirstPause), MaxPause)
	k.open(now)
	return true
}

// Abandon records that a job ended on a worker without telling anything about it.
func (b *Book) Abandon(w hsid.InstanceID, t Ticket, now time.Time) {
	k := b.of(w)
	if t.Probe && t.Generation == k.generation {
		k.open(now)
	}
}

func (k *breaker) open(now time.Time) {
	k.phase = Open
	k.until = now.Add(k.pause)
	k.generation++
	k.failed = nil
}

// Absolve takes back the failures of a job that turned out to be at fault itself.
func (b *Book) Absolve(workers []hsid.InstanceID, j hsid.JobID) {
	for _, w := range workers {
		k := b.breakers[w]
		if k == nil || k.phase != Closed {
			continue
		}
		kept := k.failed[:0]
		for _, f := range k.failed {
			if f != j {
				kept = append(kept, f)
			}
		}
		k.failed = kept
	}
}
