package hsdispatch

import (
	"time"

	"hyssopseam/core/hswork"
)

const (
	// claimFactor is how many stop timeouts a claim waits for the runs that give way.
	claimFactor = 4
	// acceleratorCores is how many cores of work an accelerator stands for, as the users count it.
	acceleratorCores = 8
	// preemptAfter is how long a unit below priority 0 waits before others give way to it.
	preemptAfter = time.Second
	// maxWait is what units below priority 0 rather wait than have others give way.
	maxWait = 5 * time.Second
)

// claim is room that runs give way for.
type claim struct {
	members []hswork.Member
	at      time.Time
}

// dropClaims forgets the claims of units that don't wait any more, and those that weren't met in time.
func (d *Dispatcher) dropClaims(units []*unit, now time.Time) {
	waiting := map[hswork.TaskID]bool{}
	for _, u := range units {
		waiting[u.key()] = true
	}
	for key, c := range d.claims {
		if !waiting[key] || now.Sub(c.at) > claimFactor*d.config.StopTimeout {
			delete(d.claims, key)
		}
	}
}

// tryClaim starts a unit once all of its claim is free. The rooms count the claim as taken.
func (d *Dispatcher) tryClaim(u *unit, c *claim, rooms []*room, now time.Time) {
	for _, m := range c.members {
		r := roomOf(rooms, m.Worker)
		if r == nil || r.worker.tally.Endpoint.Life != m.Life {
			delete(d.claims, u.key())
			return
		}
		if r.free.Cores < 0 || r.free.Memory < 0 || r.free.Accelerators < 0 {
			return
		}
	}
	delete(d.claims, u.key())
	d.start(u, c.members, now)
}

// mayPreempt reports whether others may have to give way to a unit: to what is covered or of priority 0 at
// once, to the rest when it would be late otherwise.
func (d *Dispatcher) mayPreempt(u *unit, now time.Time) bool {
	switch {
	case u.covered:
		return true
	case u.standing != onTime:
		return false
	case u.job.Priority == 0:
		return true
	}
	return now.Sub(u.since) > preemptAfter
}

// waits returns how long a unit rather waits for room than has others give way.
func (d *Dispatcher) waits(u *unit) time.Duration {
	if u.covered || u.job.Priority == 0 {
		return 0
	}
	return max(min(u.slack, maxWait), 0)
}

// claimFor has runs give way, those that lose the least work first, and reports whether that makes room; with far
// also where the unit runs slower.
func (d *Dispatcher) claimFor(u *unit, rooms []*room, far bool, now time.Time) bool {
	v := d.victimsOf(u)
	members := d.near(u, rooms, v.fit)
	if members == nil && far {
		members = d.spreadOver(u, rooms, "", v.fit)
	}
	if members == nil {
		return false
	}
	s := v.sacrificeFor(members, rooms)
	if !u.covered && s.loss > v.budget(len(members), s.spare) {
		return false
	}
	for _, p := range s.runs {
		d.ports.Observer.Preempted(p.run, p.place.Worker, u.job.ID)
		d.giveWay(p.placedRun)
	}
	take(u, members, rooms)
	d.claims[u.key()] = &claim{members: members, at: now}
	return true
}

// coresOf returns what a task takes, in cores, with accelerators counted as cores.
func coresOf(s *hswork.Step) float64 {
	return coresOfNeed(s.Need)
}

func coresOfNeed(r hswork.Resources) float64 {
	return float64(r.Cores)/1000 + acceleratorCores*float64(r.Accelerators)
}

// giveWay has a run stopped, with the other members of its gang.
func (d *Dispatcher) giveWay(p placedRun) {
	tasks := []hswork.Task{*p.task}
	if p.step.Gang {
		tasks = p.job.Rounds[p.run.Task.Occurrence].Steps[p.run.Task.Step]
	}
	for i := range tasks {
		run := p.run
		if p.step.Gang {
			run.Task.Index = i
		}
		if place := tasks[i].Place(p.run.Number); place != nil {
			d.stopping[run] = true
			d.planFor(place.Worker)
		}
	}
}
