package hsdispatch

import "hyssopseam/core/hswork"

const (
	// suspectAfter is the number of failures in a row after which a worker is used only when no other has
	// room.
	suspectAfter = 2
)

// health tells how the runs on one life of an endpoint have ended.
type health struct {
	// failures counts the failed and refused runs since the last one that was done.
	failures int
}

func (h *health) ended(how hswork.How) {
	switch how {
	case hswork.EndDone:
		h.failures = 0
	case hswork.EndFailed:
		h.failures++
	}
}

func (h *health) refused() { h.failures++ }

// suspect reports whether the worker seems to fail whatever it runs.
func (h *health) suspect() bool { return h.failures >= suspectAfter }
