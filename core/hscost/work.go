package hscost

import (
	"math"
	"time"

	"hyssopseam/core/hswork"
)

// CoreSeconds is an amount of work or capacity, with accelerators converted into cores.
type CoreSeconds float64

const (
	// coresPerAccelerator converts accelerators into cores where work is compared. Users count with the same ratio.
	coresPerAccelerator = 8
	// minWork is the least work that a loss is divided by.
	minWork = CoreSeconds(0.001)
	// maxWork bounds the work of one step.
	maxWork = CoreSeconds(1e15)
)

// Cores returns resources in cores, with accelerators converted. Memory isn't counted, and no resource counts as negative.
func Cores(r hswork.Resources) float64 {
	return float64(max(r.Cores, 0))/1000 + coresPerAccelerator*float64(max(r.Accelerators, 0))
}

// WorkOf returns the work of a number of tasks that use the given resources for a time.
func WorkOf(r hswork.Resources, tasks int, runTime time.Duration) CoreSeconds {
	work := CoreSeconds(Cores(r) * float64(max(tasks, 0)) * bounded(runTime).Seconds())
	return min(work, maxWork)
}

// PerCoreSecond returns a loss relative to the work that avoids it. It is finite for any work.
func PerCoreSecond(l Loss, w CoreSeconds) float64 {
	if !(w > minWork) {
		w = minWork
	}
	return float64(l) / math.Min(float64(w), float64(maxWork))
}
