package hsrunner

import (
	"time"

	"hyssopseam/core/hsmessage"
	"hyssopseam/core/hswork"
)

const (
	fullPace hswork.Percent = 100
	// slowBelow is the pace below which a filling run is paused instead.
	slowBelow hswork.Percent = 15
	// raiseBy is how much faster filling runs get with each list that shows room.
	raiseBy hswork.Percent = 10
	// Shares of the target, in percent: filling runs get faster up to relaxed, are slowed down from strained on,
	// and paused beyond the target.
	relaxed  = 60
	strained = 85
	missed   = 100
	// shareWait is how long an endpoint may hold back its lists while filling runs have to be watched; its
	// figures are for half a second.
	shareWait = 400 * time.Millisecond
)

// share slows the runs that fill down while one that serves users is near its target or over it, and lets
// them get faster again when all have room. Halving and then raising step by step settles near the pace that
// does no harm, whatever the images do to each other.
func (r *Runner) share(l *life) {
	worst, serves := r.strain(l)
	fills := r.filling(l)
	for run := range l.paces {
		if !l.isRunning(run) {
			delete(l.paces, run)
		}
	}
	if !serves {
		worst = 0
	}
	for _, run := range fills {
		pace, ok := l.paces[run]
		if !ok {
			pace = fullPace
		}
		next := pace
		switch {
		case worst > missed:
			next = 0
		case worst >= strained:
			if next = pace / 2; next < slowBelow {
				next = 0
			}
		case worst <= relaxed:
			next = min(pace+raiseBy, fullPace)
		}
		if next != pace {
			l.paces[run] = next
			r.ports.Endpoint.Pace(PaceCall{Target: l.target(), Run: run, Pace: next, Term: r.term})
		}
	}
}

// Paced takes the result of a change of pace. One that isn't known to be in force is set again.
func (r *Runner) Paced(run hswork.RunID, res CallResult) {
	if l := r.resultOf(res); l != nil && res.Verdict != CallDone {
		delete(l.paces, run)
	}
}

// holdTime returns how long the endpoint may hold back its lists.
func (r *Runner) holdTime(l *life) time.Duration {
	if _, serves := r.strain(l); serves && len(r.filling(l)) > 0 {
		return shareWait
	}
	return holdWait
}

// strain returns how near the worst serving run is to its target, in percent, and whether there is one.
func (r *Runner) strain(l *life) (int64, bool) {
	var worst int64
	serves := false
	for _, x := range l.running {
		p := r.plannedRun(x.Run)
		if p == nil || p.TailTarget <= 0 {
			continue
		}
		serves = true
		worst = max(worst, x.Load*int64(time.Millisecond)*100/int64(p.TailTarget))
	}
	return worst, serves
}

// filling returns the runs at work that take what others leave.
func (r *Runner) filling(l *life) []hswork.RunID {
	var runs []hswork.RunID
	for _, x := range l.running {
		if p := r.plannedRun(x.Run); p != nil && p.Fills {
			runs = append(runs, x.Run)
		}
	}
	return runs
}

func (r *Runner) plannedRun(run hswork.RunID) *hsmessage.PlannedRun {
	for i := range r.plan.Runs {
		if r.plan.Runs[i].Run == run {
			return &r.plan.Runs[i]
		}
	}
	return nil
}
