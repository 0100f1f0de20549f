package hsrunner

import (
	"slices"
	"time"

	"hyssopseam/core/hsid"
	"hyssopseam/core/hsmessage"
	"hyssopseam/core/hswork"
)

// reconcile brings the endpoint one step nearer to the plan.
func (r *Runner) reconcile() {
	l := r.current
	now := r.ports.Clock.Now()
	if l == nil || !l.goneAt.IsZero() {
		return
	}
	r.hold(l, now)
	l.nextCall = time.Time{}
	if l.over || r.plan.Life != l.endpoint.Life || !l.listed {
		return
	}
	r.dropSettled(l)
	wanted := map[hswork.RunID]bool{}
	for i := range r.plan.Runs {
		p := &r.plan.Runs[i]
		wanted[p.Run] = true
		if r.mayStart(l, p, now) {
			r.start(l, p, now)
		}
	}
	for _, run := range r.plan.Stops {
		wanted[run] = true
		if !l.hasEnded(run) && !l.never[run] {
			r.stop(l, run, now)
		}
	}
	for _, x := range l.running {
		if !wanted[x.Run] {
			r.stop(l, x.Run, now)
		}
	}
}

// hold asks the endpoint for its lists, and extends its lease as far as the leader's grant goes.
func (r *Runner) hold(l *life, now time.Time) {
	urgent := !l.unsure && l.noted < r.notable(l) || l.heldTerm < r.term
	if l.holding && !urgent || !l.holding && now.Before(l.holdAt) && !urgent {
		return
	}
	c := l.newHold(r.notable(l), r.term)
	if l.unsure {
		c.Noted = 0
	}
	if !l.holding {
		c.Main = true
		l.holding = true
		if l.listed {
			c.Wait = r.holdTime(l)
		}
	}
	l.noted = max(l.noted, c.Noted)
	l.heldTerm = r.term
	if r.mayExtend(l, now) {
		c.Deadline = l.deadlineAt(r.leaseUntil)
		l.deadline = max(l.deadline, c.Deadline)
	}
	r.ports.Endpoint.Hold(c)
}

// mayExtend reports whether the run lease lasts and the endpoint answers. An endpoint that doesn't is left
// to its lease, so that its end is known.
func (r *Runner) mayExtend(l *life, now time.Time) bool {
	return now.Before(r.leaseUntil) && r.plan.Life == l.endpoint.Life && l.healthy(now) && !l.clockAt.IsZero()
}

// notable returns the newest end that the endpoint may forget.
func (r *Runner) notable(l *life) hswork.EndNumber {
	if r.plan.Life != l.endpoint.Life {
		return 0
	}
	return max(r.plan.Noted, l.noted)
}

func (l *life) target() Target {
	return Target{Address: l.address, ID: l.endpoint.ID, Turn: l.turn}
}

// dropSettled forgets the calls for runs that the plan doesn't name any more.
func (r *Runner) dropSettled(l *life) {
	named := map[hswork.RunID]bool{}
	for i := range r.plan.Runs {
		named[r.plan.Runs[i].Run] = true
	}
	for _, run := range r.plan.Stops {
		named[run] = true
	}
	for run := range l.never {
		if !named[run] {
			delete(l.never, run)
		}
	}
	for run := range l.refused {
		if !named[run] {
			delete(l.refused, run)
		}
	}
	for run, c := range l.calls {
		if !c.waiting && !named[run] && !l.isRunning(run) {
			delete(l.calls, run)
		}
	}
}

// mayStart reports whether a planned run is missing and may begin.
func (r *Runner) mayStart(l *life, p *hsmessage.PlannedRun, now time.Time) bool {
	if l.isRunning(p.Run) || l.hasEnded(p.Run) || l.never[p.Run] || r.sealed[p.Run] || p.Known {
		return false
	}
	if _, refused := l.refused[p.Run]; refused || l.endpoint.Leaving || l.unsure {
		return false
	}
	return r.mayExtend(l, now)
}

func (r *Runner) start(l *life, p *hsmessage.PlannedRun, now time.Time) {
	c := l.calls[p.Run]
	if c == nil {
		c = &call{}
		l.calls[p.Run] = c
	}
	if c.waiting || c.stop || !l.isDue(c, now) {
		return
	}
	c.waiting = true
	deadline := l.deadlineAt(r.leaseUntil)
	l.deadline = max(l.deadline, deadline)
	r.ports.Endpoint.Start(StartCall{
		Target:     l.target(),
		Run:        p.Run,
		Spec:       p.Spec,
		Checkpoint: p.Checkpoint,
		Ticket:     p.Ticket,
		Deadline:   deadline,
		Term:       r.term,
	})
}

// stop has a run stopped, or kept from beginning.
func (r *Runner) stop(l *life, run hswork.RunID, now time.Time) {
	c := l.calls[run]
	if c == nil {
		c = &call{}
		l.calls[run] = c
	}
	if c.settledBy > 0 {
		return
	}
	if !c.stop {
		c.stop = true
		c.waiting = false
		c.at = now
	}
	if c.waiting || !l.isDue(c, now) {
		return
	}
	c.waiting = true
	r.ports.Endpoint.Stop(StopCall{Target: l.target(), Run: run, Term: r.term})
}

// isDue reports whether a call may be made now, and notes when it may be otherwise.
func (l *life) isDue(c *call, now time.Time) bool {
	if !now.Before(c.at) {
		return true
	}
	if l.nextCall.IsZero() || c.at.Before(l.nextCall) {
		l.nextCall = c.at
	}
	return false
}

func (l *life) isRunning(run hswork.RunID) bool {
	return slices.ContainsFunc(l.running, func(x hsmessage.RunningTask) bool { return x.Run == run })
}

func (l *life) hasEnded(run hswork.RunID) bool {
	return slices.ContainsFunc(l.ended, func(x hsmessage.EndedTask) bool { return x.Run == run })
}

// resultOf returns the life that a result belongs to, or nil for one that is past.
func (r *Runner) resultOf(c CallResult) *life {
	l := r.current
	if l == nil || l.turn != c.Turn {
		return nil
	}
	l.learnClock(c.Clock, r.ports.Clock.Now())
	return l
}

// Started takes the result of a start.
func (r *Runner) Started(run hswork.RunID, res CallResult) {
	l := r.resultOf(res)
	if l == nil {
		return
	}
	r.ports.Observer.RunStarted(run, res)
	c := l.calls[run]
	if c == nil || c.stop {
		return
	}
	c.waiting = false
	c.at = r.ports.Clock.Now().Add(callPause)
	switch res.Verdict {
	case CallNoAnswer:
		l.unsure = true
	case CallDone:
		if !l.isRunning(run) && !l.hasEnded(run) {
			l.running = append(l.running, hsmessage.RunningTask{Run: run})
			r.tallyDue = true
		}
	case CallRefused:
		l.refused[run] = res.Reason
		r.tallyDue = true
	case CallOld:
		// The end may be in lists that are still to come; a stop tells whether there is one.
		l.refused[run] = res.Reason
		r.tallyDue = true
	}
	r.reconcile()
}

// Stopped takes the result of a stop.
func (r *Runner) Stopped(run hswork.RunID, res CallResult) {
	l := r.resultOf(res)
	if l == nil {
		return
	}
	r.ports.Observer.RunStopped(run, res)
	c := l.calls[run]
	if c == nil || !c.stop {
		return
	}
	c.waiting = false
	c.at = r.ports.Clock.Now().Add(callPause)
	if res.Verdict == CallDone || res.Verdict == CallOld {
		// Only lists that are asked for from now on show what the stop has done.
		peek := l.newHold(0, r.term)
		c.settledBy = peek.Number
		r.ports.Endpoint.Hold(peek)
	}
	r.reconcile()
}

// newHold returns the next call for the lists.
func (l *life) newHold(noted hswork.EndNumber, term hsid.Term) HoldCall {
	l.holds++
	return HoldCall{Target: l.target(), Number: l.holds, Noted: noted, Term: term}
}

// Held takes the result of a hold.
func (r *Runner) Held(res HoldResult) {
	l := r.resultOf(res.CallResult)
	if l == nil {
		return
	}
	now := r.ports.Clock.Now()
	if res.Main {
		l.holding = false
		l.holdAt = now
	}
	if res.Verdict != CallDone || res.Life != l.endpoint.Life {
		l.holdAt = now.Add(holdPause)
		l.unsure = true
	} else {
		l.answered = now
		l.unsure = false
		l.over = l.over && !l.goneAt.IsZero()
		r.takeLists(l, res)
	}
	r.reconcile()
}

// takeLists takes over lists that are newer than those in use. Answers on several connections may overtake
// each other.
func (r *Runner) takeLists(l *life, res HoldResult) {
	if res.Clock < l.listClock {
		return
	}
	l.listClock = res.Clock
	for _, e := range res.Ended {
		if !l.hasEnded(e.Run) {
			r.ports.Observer.Listed(e)
			r.tallyDue = true
		}
	}
	if !l.listed || !sameRuns(l.running, res.Running) {
		r.tallyDue = true
	}
	l.listed = true
	l.running = res.Running
	l.ended = res.Ended
	r.share(l)
	for run, c := range l.calls {
		if c.settledBy == 0 || res.Number < c.settledBy || l.isRunning(run) {
			continue
		}
		delete(l.calls, run)
		delete(l.refused, run)
		if !l.hasEnded(run) {
			l.never[run] = true
			r.sealed[run] = true
		}
		r.tallyDue = true
	}
}

func sameRuns(a, b []hsmessage.RunningTask) bool {
	return slices.EqualFunc(a, b, func(x, y hsmessage.RunningTask) bool { return x.Run == y.Run })
}
