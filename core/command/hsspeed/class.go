package hsspeed

import (
	"math"

	"hyssopseam/core/hsid"
	"hyssopseam/core/hswork"
)

// Class is a coarse speed, for operators.
type Class int

// The classes. Unknown is a worker about which less is known than one run tells.
const (
	Unknown Class = iota
	Normal
	Fast
	Slow
	classCount
)

var classNames = [classCount]string{"unknown", "normal", "fast", "slow"}

// String returns the name of the class, as it is in logs and metrics.
func (c Class) String() string { return classNames[c] }

// Classes returns all classes.
func Classes() []Class { return []Class{Unknown, Normal, Fast, Slow} }

// Counts is the number of workers of each class.
type Counts [classCount]int

const (
	// enterClass and leaveClass are the distances from the average from which on a worker is fast or slow, and below which
	// it no longer is.
	enterClass = 0.15
	leaveClass = 0.08
	// forgotten is the variance above which a known worker becomes unknown again.
	forgotten = 0.14
)

// ClassChange is a change of the class of a worker, with the evidence for it.
type ClassChange struct {
	Worker hsid.InstanceID
	From   Class
	To     Class
	// Estimate is that for the worker, whether or not the observations show that workers differ.
	Estimate hswork.SpeedEstimate
	// Runs counts the runs observed.
	Runs int
	// Recent is set if the progress of the last seconds contradicts what was observed before.
	Recent bool
}

// classify updates the classes and returns the changes.
func (t *Tracker) classify() []ClassChange {
	t.changes = t.changes[:0]
	t.counts = Counts{}
	for _, w := range t.order {
		b := w.placing()
		b.mean -= t.mean
		class := classOf(w, b)
		t.counts[class]++
		if class == w.class {
			continue
		}
		t.changes = append(t.changes, ClassChange{
			Worker: w.id, From: w.class, To: class, Runs: w.runs, Recent: w.deviates,
			Estimate: hswork.SpeedEstimate{Slowdown: hswork.LogFactor(b.mean), Variance: b.variance},
		})
		w.class = class
	}
	return t.changes
}

// classOf returns the class of a worker by its slowdown relative to the mean.
func classOf(w *worker, b belief) Class {
	limit := enterClass
	if w.class == Fast || w.class == Slow {
		limit = leaveClass
	}
	variance := singleRunVariance
	if w.class != Unknown {
		variance = forgotten
	}
	switch {
	case !w.known() || b.variance > variance && !w.deviates:
		return Unknown
	case math.Abs(b.mean) < max(limit, math.Sqrt(b.variance)):
		return Normal
	case b.mean > 0:
		return Slow
	}
	return Fast
}

// Counts returns the number of workers of each class as of the last update.
func (t *Tracker) Counts() Counts { return t.counts }
