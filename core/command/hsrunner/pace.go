package hsrunner

import (
	"time"

	"hyssopseam/core/hsmessage"
	"hyssopseam/core/hswork"
)

const (
	fullPace hswork.Percent = 100
	// minPace is the pace below which a best-effort run is paused instead of throttled.
	minPace hswork.Percent = 15
	// paceStep is added to the pace of the best-effort runs with each answer that shows spare capacity.
	paceStep hswork.Percent = 10
	// Tail response time of the serving runs in percent of its target: best-effort runs speed up at or below
	// speedUpPercent, slow down from slowDownPercent on, and pause above pausePercent.
	speedUpPercent  = 60
	slowDownPercent = 85
	pausePercent    = 100
	// pacingHoldWait is how long an endpoint may delay its lists while best-effort runs share it with serving ones.
	// It is shorter than the half second that the endpoint's load figures cover.
	pacingHoldWait = 400 * time.Millisecond
)

// adjustPaces throttles the best-effort runs while a serving run is near or over its target for the tail response
// time, and speeds them up again when every serving run is well below it. The multiplicative decrease and additive
// increase settle near the highest pace that keeps the targets, without a model of how the runs interfere.
func (r *Runner) adjustPaces(s *endpointState) {
	highest, hasServing := r.tailLoad(s)
	bestEffort := r.bestEffortRuns(s)
	for run := range s.paces {
		if !s.isRunning(run) {
			delete(s.paces, run)
			delete(s.unconfirmedPaces, run)
		}
	}
	if !hasServing {
		highest = 0
	}
	for _, run := range bestEffort {
		pace, ok := s.paces[run]
		if !ok {
			pace = fullPace
		}
		unconfirmed := s.unconfirmedPaces[run]
		next := pace
		switch {
		case highest > pausePercent:
			next = 0
		case highest >= slowDownPercent:
			if next = pace / 2; next < minPace {
				next = 0
			}
		case highest <= speedUpPercent:
			next = min(pace+paceStep, fullPace)
		}
		if next != pace || unconfirmed {
			s.paces[run] = next
			delete(s.unconfirmedPaces, run)
			r.ports.Endpoint.Pace(PaceCall{Target: s.target(), Run: run, Pace: next, Fence: r.fence()})
		}
	}
}

// HandlePaceResult handles the result of a PaceCall. If the pace isn't confirmed, the run is assumed to work at full
// speed again, and the next lists are handled on that assumption. They set its pace anew in any case, as it may be paused.
func (r *Runner) HandlePaceResult(run hswork.RunID, res CallResult) {
	if s := r.stateFor(res); s != nil && res.Verdict != CallDone {
		delete(s.paces, run)
		s.unconfirmedPaces[run] = true
	}
}

// holdWait returns how long the endpoint may delay its lists.
func (r *Runner) holdWait(s *endpointState) time.Duration {
	if _, hasServing := r.tailLoad(s); hasServing && len(r.bestEffortRuns(s)) > 0 {
		return pacingHoldWait
	}
	return idleHoldWait
}

// tailLoad returns the highest tail response time among the serving runs, in percent of the run's target, and
// whether there is a serving run.
func (r *Runner) tailLoad(s *endpointState) (int64, bool) {
	var highest int64
	hasServing := false
	for _, x := range s.running {
		p := r.plannedRun(x.Run)
		if p == nil || p.TailTarget <= 0 {
			continue
		}
		hasServing = true
		highest = max(highest, x.Load*int64(time.Millisecond)*100/int64(p.TailTarget))
	}
	return highest, hasServing
}

// bestEffortRuns returns the running best-effort runs, which use the capacity that others leave.
func (r *Runner) bestEffortRuns(s *endpointState) []hswork.RunID {
	var runs []hswork.RunID
	for _, x := range s.running {
		if p := r.plannedRun(x.Run); p != nil && p.BestEffort {
			runs = append(runs, x.Run)
		}
	}
	return runs
}

// plannedRun returns the entry of the plan for a run, or nil.
func (r *Runner) plannedRun(run hswork.RunID) *hsmessage.PlannedRun {
	for i := range r.plan.Runs {
		if r.plan.Runs[i].Run == run {
			return &r.plan.Runs[i]
		}
	}
	return nil
}
