package hsdispatch

import (
	"time"

	"hyssopseam/core/hswork"
)

const (
	// suspectAfter is the number of failures in a row after which a worker is used only when no other has
	// room.
	suspectAfter = 2
	// forgiveAfter is how long after its last failure a worker is given another chance.
	forgiveAfter = 15 * time.Second
)

// health tells how the runs on one life of an endpoint have ended.
type health struct {
	// failures counts the failed, refused and stalled runs since the last one that was done.
	failures int
	last     time.Time
}

func (h *health) ended(how hswork.How, now time.Time) {
	switch how {
	case hswork.EndDone:
		h.failures = 0
	case hswork.EndFailed:
		h.failed(now)
	}
}

func (h *health) failed(now time.Time) {
	h.failures++
	h.last = now
}

// stalled notes a run that made no progress, which tells more than a failure: it is the worker's doing.
func (h *health) stalled(now time.Time) {
	h.failures = max(h.failures+1, suspectAfter)
	h.last = now
}

// forgive forgets failures of long ago.
func (h *health) forgive(now time.Time) {
	if h.failures > 0 && now.Sub(h.last) > forgiveAfter {
		h.failures = 0
	}
}

// suspect reports whether the worker seems to fail whatever it runs.
func (h *health) suspect() bool { return h.failures >= suspectAfter }
