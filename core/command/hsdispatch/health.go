package hsdispatch

import (
	"time"

	"hyssopseam/core/hswork"
)

const (
	// suspectAfter is the number of consecutive failures after which a worker is used only as a last resort.
	suspectAfter = 2
	// failureExpiry is the time without a failure after which the failures of a worker are forgotten.
	failureExpiry = 15 * time.Second
)

// health counts the failures of runs on one incarnation of an endpoint.
type health struct {
	// failures counts the failed, refused and stalled runs since the last completed one.
	failures    int
	lastFailure time.Time
}

// recordEnd records the end of a run. Ends other than completion and failure don't count.
func (h *health) recordEnd(kind hswork.EndKind, now time.Time) {
	switch kind {
	case hswork.EndDone:
		h.failures = 0
	case hswork.EndFailed:
		h.recordFailure(now)
	}
}

// recordFailure records a failed or refused run.
func (h *health) recordFailure(now time.Time) {
	h.failures++
	h.lastFailure = now
}

// recordStall records a run that made no progress. A single stall makes the worker suspect: unlike a failure, which
// may be the task's fault, it is attributed to the worker.
func (h *health) recordStall(now time.Time) {
	h.failures = max(h.failures+1, suspectAfter)
	h.lastFailure = now
}

// expireFailures resets the count when the last failure is older than failureExpiry.
func (h *health) expireFailures(now time.Time) {
	if h.failures > 0 && now.Sub(h.lastFailure) > failureExpiry {
		h.failures = 0
	}
}

// suspect reports whether the worker appears to be faulty, whatever it runs.
func (h *health) suspect() bool { return h.failures >= suspectAfter }
