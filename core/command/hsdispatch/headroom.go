package hsdispatch

import (
	"time"

	"hyssopseam/core/hswork"
)

// headroomWindow is how long capacity that runs of priority 0 have used is kept for the next ones.
const headroomWindow = 4 * time.Second

// urgentUse tracks the highest recent use of a worker by runs of priority 0, over one to two headroomWindows.
type urgentUse struct {
	since             time.Time
	previous, current hswork.Resources
}

// observe records the use at a time, which must not go back.
func (x *urgentUse) observe(used hswork.Resources, now time.Time) {
	if now.Sub(x.since) >= headroomWindow {
		x.previous = x.current
		if now.Sub(x.since) >= 2*headroomWindow {
			x.previous = hswork.Resources{}
		}
		x.current = hswork.Resources{}
		x.since = now
	}
	x.current = x.current.Max(used)
}

// headroom returns how much more than now runs of priority 0 used recently.
func (x *urgentUse) headroom(used hswork.Resources) hswork.Resources {
	return x.previous.Max(x.current).Minus(used)
}

// mayUseHeadroom reports whether a unit may be placed on capacity that urgent runs used until recently. A run there is
// likely to be preempted soon, so a unit that would lose its work and can wait leaves it free. On an idle fleet there is
// capacity for urgent units elsewhere.
func (d *Dispatcher) mayUseHeadroom(u *unit) bool {
	if d.load.highest < idlePercent || d.hasWaited(u) {
		return true
	}
	return u.job.Priority == 0 || u.step.Checkpoints || u.step.LongRunning || u.timeliness != overdue && u.slack < headroomWindow
}
