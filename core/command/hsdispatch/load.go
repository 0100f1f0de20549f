package hsdispatch

import (
	"time"

	"hyssopseam/core/hswork"
)

const (
	// idlePercent is the share in use, in percent, below which a resource counts as idle.
	idlePercent = 60
	// maxIdleWait is how long a unit may be kept off workers that have the capacity for it while much of the fleet is
	// idle. Users count a job as lost if nothing of it runs for three seconds then.
	maxIdleWait = 2 * time.Second
)

// load is the share of the capacity in use, in percent, of the resource that is used most and of the one used least.
type load struct {
	highest, lowest int
}

func newLoad(total, free hswork.Resources) load {
	used := total.Minus(free)
	shares := []float64{
		share(int64(used.Cores), int64(total.Cores)),
		share(int64(used.Memory), int64(total.Memory)),
		share(int64(used.Accelerators), int64(total.Accelerators)),
	}
	l := load{lowest: 100}
	for _, s := range shares {
		l.highest = max(l.highest, int(100*s))
		l.lowest = min(l.lowest, int(100*s))
	}
	return l
}

// isIdle reports whether the fleet is too idle to keep a unit off free capacity for long: no resource is much in use, or
// one isn't and nothing of the job is placed.
func (d *Dispatcher) isIdle(u *unit) bool {
	return d.load.highest < idlePercent || d.load.lowest < idlePercent && d.placed.runsOf[u.job.ID] == 0
}

// hasWaited reports whether a unit has waited long enough to take any capacity: maxIdleWait while the fleet is idle.
// Long-running units serve users all the time and wait no longer on a busy fleet.
func (d *Dispatcher) hasWaited(u *unit) bool {
	return (u.step.LongRunning || d.isIdle(u)) && d.lastPass.Sub(u.readySince) > maxIdleWait
}
