// Package hsbreaker implements circuit breakers, which keep work away from workers on which every job fails.
//
// Each worker has a breaker. It is closed while jobs succeed. After Threshold consecutive failures it opens for a
// pause, which doubles each time up to MaxPause. After the pause one job is started as a probe, preferably one that
// may run again (see ProbeOverdue). When the probe succeeds the breaker closes, when it fails the breaker opens for
// longer, and when it is cancelled or stopped the breaker opens for the same pause, so that a cancelled probe never
// blocks the next one. Tickets carry a generation; an outcome of an older generation changes nothing. Generations
// and released probes follow the lesson "Model circuit recovery and release cancelled probes"; docs/RELATED.md has
// the measurements.
//
// A job that fails on several workers is itself the cause: once it has failed on a second worker, its failures no
// longer count against any worker (see WithdrawFailures). Failures to place a job never count.
//
// A Breakers isn't safe for concurrent use.
//
// # Usage
//
//	ticket := breakers.Begin(worker, now)
//	breakers.Fail(worker, ticket, job, now)
package hsbreaker

import (
	"time"

	"hyssopseam/core/hsid"
)

// Defaults of a breaker.
const (
	// Threshold is the number of consecutive failures that opens a breaker.
	Threshold = 3
	// FirstPause is the time for which a breaker opens first.
	FirstPause = 30 * time.Second
	// MaxPause is the longest time for which a breaker opens before a probe is due.
	MaxPause = 30 * time.Minute
)

// Phase is the state of a breaker.
type Phase string

// The phases of a breaker.
const (
	Closed Phase = "closed"
	Open   Phase = "open"
	// HalfOpen means that a probe was started and has no outcome yet.
	HalfOpen Phase = "halfOpen"
)

// Ticket identifies one job that was started on one worker, for reporting its outcome. Its fields are the generation of
// the breaker at the start, and whether the job is the probe.
type Ticket struct {
	Generation uint64
	Probe      bool
}

type breaker struct {
	phase      Phase
	generation uint64
	// failed lists the jobs that failed since the last success.
	failed []hsid.JobID
	// pause is the latest pause, and openUntil the time at which the probe is due.
	pause     time.Duration
	openUntil time.Time
}

// Breakers holds the circuit breakers of all workers. The breaker of a worker that isn't in it is closed.
type Breakers struct {
	breakers map[hsid.InstanceID]*breaker
	// Disabled keeps all breakers closed, for measurements without breakers.
	Disabled bool
}

// New returns Breakers in which every breaker is closed.
func New() *Breakers {
	return &Breakers{breakers: map[hsid.InstanceID]*breaker{}}
}

// breakerOf returns the breaker of a worker, and adds it if necessary.
func (b *Breakers) breakerOf(w hsid.InstanceID) *breaker {
	k := b.breakers[w]
	if k == nil {
		k = &breaker{phase: Closed}
		b.breakers[w] = k
	}
	return k
}

// Phase returns the state of a worker's breaker.
func (b *Breakers) Phase(w hsid.InstanceID) Phase {
	if k := b.breakers[w]; k != nil {
		return k.phase
	}
	return Closed
}

// Quarantined reports whether a worker gets no work except a probe, since its breaker isn't closed.
func (b *Breakers) Quarantined(w hsid.InstanceID) bool {
	return b.Phase(w) != Closed
}

// ProbeDue reports whether the next job on a worker will be the probe, since its pause has ended.
func (b *Breakers) ProbeDue(w hsid.InstanceID, now time.Time) bool {
	k := b.breakers[w]
	return k != nil && k.phase == Open && !now.Before(k.openUntil)
}

// ProbeOverdue reports whether the probe of a worker has been due for as long as the pause was. Any job may be the
// probe then, so that no job waits forever for a worker that no other job would probe.
func (b *Breakers) ProbeOverdue(w hsid.InstanceID, now time.Time) bool {
	k := b.breakers[w]
	return b.ProbeDue(w, now) && !now.Before(k.openUntil.Add(k.pause))
}

// Begin records the start of a job on a worker and returns its ticket. The job is the probe if one is due.
func (b *Breakers) Begin(w hsid.InstanceID, now time.Time) Ticket {
	k := b.breakerOf(w)
	if !b.ProbeDue(w, now) {
		return Ticket{Generation: k.generation}
	}
	k.phase = HalfOpen
	return Ticket{Generation: k.generation, Probe: true}
}

// Succeed records the success of a job on a worker.
func (b *Breakers) Succeed(w hsid.InstanceID, t Ticket) {
	k := b.breakerOf(w)
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

// Fail records the failure of a job on a worker, and reports whether that opened the breaker.
func (b *Breakers) Fail(w hsid.InstanceID, t Ticket, j hsid.JobID, now time.Time) bool {
	k := b.breakerOf(w)
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

// Release records that a job ended on a worker without evidence for or against the worker, such as by a cancellation.
// A probe is released.
func (b *Breakers) Release(w hsid.InstanceID, t Ticket, now time.Time) {
	k := b.breakerOf(w)
	if t.Probe && t.Generation == k.generation {
		k.open(now)
	}
}

func (k *breaker) open(now time.Time) {
	k.phase = Open
	k.openUntil = now.Add(k.pause)
	k.generation++
	k.failed = nil
}

// WithdrawFailures removes the failures of a job on the given workers, because the job itself turned out to be the
// cause. It doesn't close a breaker that is open.
func (b *Breakers) WithdrawFailures(workers []hsid.InstanceID, j hsid.JobID) {
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
