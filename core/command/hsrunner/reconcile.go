package hsrunner

import (
	"slices"
	"time"

	"hyssopseam/core/hsmessage"
	"hyssopseam/core/hswork"
)

// reconcile sends the calls that are due to bring the endpoint in line with the plan. Without a plan for the
// current incarnation, or before the endpoint's lists are known, it sends only holds. After the endpoint has
// announced its shutdown it sends nothing.
func (r *Runner) reconcile() {
	s := r.current
	now := r.ports.Clock.Now()
	if s == nil || !s.shutdownAt.IsZero() {
		return
	}
	r.hold(s, now)
	s.nextCall = time.Time{}
	if s.terminated || r.plan.EndpointIncarnation != s.endpoint.Incarnation || !s.hasLists {
		return
	}
	r.pruneSettled(s)
	wanted := map[hswork.RunID]bool{}
	for i := range r.plan.Runs {
		p := &r.plan.Runs[i]
		wanted[p.Run] = true
		switch {
		case s.isRunning(p.Run) || s.hasEnded(p.Run):
		case r.startBlocked[p.Run]:
			r.reportNeverStarted(s, p.Run)
		case s.calls[p.Run] != nil && s.calls[p.Run].stop:
			// An earlier plan had the run stopped. It is neither running nor blocked until the stop is confirmed.
			r.stop(s, p.Run, now)
		case r.canStart(s, p, now):
			r.start(s, p, now)
		}
	}
	for _, run := range r.plan.Stops {
		wanted[run] = true
		if !s.hasEnded(run) && !s.neverStarted[run] {
			r.stop(s, run, now)
		}
	}
	for _, x := range s.running {
		if !wanted[x.Run] {
			r.stop(s, x.Run, now)
		}
	}
}

// reportNeverStarted reports a run that can't start, unless that is reported already. The end of a run that was reported
// before may not have been committed: the leader at that time may have lost its leadership.
func (r *Runner) reportNeverStarted(s *endpointState, run hswork.RunID) {
	if !s.neverStarted[run] {
		s.neverStarted[run] = true
		r.reportDue = true
	}
}

// hold asks the endpoint for its lists, and extends its lease up to the end of the leader's grant. One long poll is
// kept open; a new acknowledgement or a higher fence is sent at once beside it.
func (r *Runner) hold(s *endpointState, now time.Time) {
	urgent := !s.unconfirmed && s.ackedEnd < r.ackableEnd(s) || s.holdFence < r.fence()
	if s.holdPending && !urgent || !s.holdPending && now.Before(s.nextHold) && !urgent {
		return
	}
	c := s.newHold(r.ackableEnd(s), r.fence())
	if s.unconfirmed {
		c.AckedEnd = 0
	}
	if !s.holdPending {
		c.LongPoll = true
		s.holdPending = true
		if s.hasLists {
			c.Wait = r.holdWait(s)
		}
	}
	s.ackedEnd = max(s.ackedEnd, c.AckedEnd)
	s.holdFence = r.fence()
	if r.canExtendLease(s, now) {
		c.Deadline = s.deadlineAt(r.leaseUntil)
		s.deadline = max(s.deadline, c.Deadline)
	}
	r.ports.Endpoint.Hold(c)
}

// canExtendLease reports whether the run lease is valid and the endpoint is healthy. The lease of an endpoint that
// doesn't answer isn't extended, so that there is a known time at which its runs have ended. After that it is extended
// only with a fence that keeps earlier starts from beginning.
func (r *Runner) canExtendLease(s *endpointState, now time.Time) bool {
	return now.Before(r.leaseUntil) && r.plan.EndpointIncarnation == s.endpoint.Incarnation && r.fence() >= s.minFence &&
		s.healthy(now) && !s.clockReadAt.IsZero()
}

// ackableEnd returns the newest end that the endpoint may forget; zero while the plan is for another incarnation.
func (r *Runner) ackableEnd(s *endpointState) hswork.EndNumber {
	if r.plan.EndpointIncarnation != s.endpoint.Incarnation {
		return 0
	}
	return max(r.plan.AckedEnd, s.ackedEnd)
}

// target returns the destination of calls to this incarnation.
func (s *endpointState) target() Target {
	return Target{Address: s.address, ID: s.endpoint.ID, Generation: s.generation}
}

// pruneSettled drops what is recorded about runs that the plan no longer names. A call is kept while it is pending or
// the endpoint lists its run as running.
func (r *Runner) pruneSettled(s *endpointState) {
	named := map[hswork.RunID]bool{}
	for i := range r.plan.Runs {
		named[r.plan.Runs[i].Run] = true
	}
	for _, run := range r.plan.Stops {
		named[run] = true
	}
	for run := range s.neverStarted {
		if !named[run] {
			delete(s.neverStarted, run)
		}
	}
	for run := range s.refused {
		if !named[run] {
			delete(s.refused, run)
		}
	}
	for run, c := range s.calls {
		if !c.pending && !named[run] && !s.isRunning(run) {
			delete(s.calls, run)
		}
	}
}

// canStart reports whether nothing forbids starting a planned run that the endpoint doesn't list. While its list of ends is
// truncated, the run may have ended.
func (r *Runner) canStart(s *endpointState, p *hsmessage.PlannedRun, now time.Time) bool {
	if s.neverStarted[p.Run] || p.Listed || s.endsTruncated {
		return false
	}
	if _, refused := s.refused[p.Run]; refused || s.endpoint.Leaving || s.unconfirmed {
		return false
	}
	return r.canExtendLease(s, now)
}

// start sends the start of a run unless one is pending or not yet due for a retry.
func (r *Runner) start(s *endpointState, p *hsmessage.PlannedRun, now time.Time) {
	c := s.calls[p.Run]
	if c == nil {
		c = &call{}
		s.calls[p.Run] = c
	}
	if c.pending || c.stop || !s.isDue(c, now) {
		return
	}
	c.pending = true
	deadline := s.deadlineAt(r.leaseUntil)
	s.deadline = max(s.deadline, deadline)
	r.ports.Endpoint.Start(StartCall{
		Target:     s.target(),
		Run:        p.Run,
		Spec:       p.Spec,
		Checkpoint: p.Checkpoint,
		Ticket:     p.Ticket,
		Deadline:   deadline,
		Fence:      r.fence(),
	})
}

// stop sends the stop of a run, which also prevents it from beginning later, unless one is pending, confirmed or not
// yet due for a retry.
func (r *Runner) stop(s *endpointState, run hswork.RunID, now time.Time) {
	c := s.calls[run]
	if c == nil {
		c = &call{}
		s.calls[run] = c
	}
	if c.confirmedBy > 0 {
		return
	}
	if !c.stop {
		c.stop = true
		c.pending = false
		c.retryAt = now
	}
	if c.pending || !s.isDue(c, now) {
		return
	}
	c.pending = true
	r.ports.Endpoint.Stop(StopCall{Target: s.target(), Run: run, Fence: r.fence()})
}

// isDue reports whether a call may be sent now. If not, it brings nextCall forward to the time when it may, unless
// another call is due earlier.
func (s *endpointState) isDue(c *call, now time.Time) bool {
	if !now.Before(c.retryAt) {
		return true
	}
	if s.nextCall.IsZero() || c.retryAt.Before(s.nextCall) {
		s.nextCall = c.retryAt
	}
	return false
}

func (s *endpointState) isRunning(run hswork.RunID) bool {
	return slices.ContainsFunc(s.running, func(x hsmessage.RunningTask) bool { return x.Run == run })
}

func (s *endpointState) hasEnded(run hswork.RunID) bool {
	return slices.ContainsFunc(s.ended, func(x hsmessage.EndedTask) bool { return x.Run == run })
}

// stateFor returns the state of the incarnation that a result belongs to, or nil for one that is no longer current.
func (r *Runner) stateFor(c CallResult) *endpointState {
	s := r.current
	if s == nil || s.generation != c.Generation {
		return nil
	}
	s.updateClock(c.Clock, r.ports.Clock.Now())
	return s
}

// HandleStartResult handles the result of a StartCall.
func (r *Runner) HandleStartResult(run hswork.RunID, res CallResult) {
	s := r.stateFor(res)
	if s == nil {
		return
	}
	r.ports.Observer.RunStarted(run, res)
	c := s.calls[run]
	if c == nil || c.stop {
		return
	}
	c.pending = false
	c.retryAt = r.ports.Clock.Now().Add(callRetryInterval)
	switch res.Verdict {
	case CallNoAnswer:
		s.unconfirmed = true
	case CallDone:
		if !s.isRunning(run) && !s.hasEnded(run) {
			s.running = append(s.running, hsmessage.RunningTask{Run: run})
			r.reportDue = true
		}
	case CallRefused:
		s.refused[run] = res.Reason
		r.reportDue = true
	case CallOutdated:
		// The end may be in lists that haven't arrived yet; a stop finds out whether there is one.
		s.refused[run] = res.Reason
		r.reportDue = true
	}
	r.reconcile()
}

// HandleStopResult handles the result of a StopCall.
func (r *Runner) HandleStopResult(run hswork.RunID, res CallResult) {
	s := r.stateFor(res)
	if s == nil {
		return
	}
	r.ports.Observer.RunStopped(run, res)
	c := s.calls[run]
	if c == nil || !c.stop {
		return
	}
	c.pending = false
	c.retryAt = r.ports.Clock.Now().Add(callRetryInterval)
	if res.Verdict == CallDone || res.Verdict == CallOutdated {
		// Only lists that are requested from now on are certain to reflect the stop.
		confirmation := s.newHold(0, r.fence())
		c.confirmedBy = confirmation.Number
		r.ports.Endpoint.Hold(confirmation)
	}
	r.reconcile()
}

// newHold returns the next hold, which doesn't extend the lease and doesn't wait unless the caller sets that.
func (s *endpointState) newHold(ackedEnd hswork.EndNumber, fence hswork.Fence) HoldCall {
	s.holdCount++
	return HoldCall{Target: s.target(), Number: s.holdCount, AckedEnd: ackedEnd, Fence: fence}
}

// HandleHoldResult handles the result of a HoldCall.
func (r *Runner) HandleHoldResult(res HoldResult) {
	s := r.stateFor(res.CallResult)
	if s == nil {
		return
	}
	now := r.ports.Clock.Now()
	if res.LongPoll {
		s.holdPending = false
		s.nextHold = now
	}
	if res.Verdict != CallDone || res.EndpointIncarnation != s.endpoint.Incarnation {
		s.replaced = s.replaced || res.Verdict == CallDone || res.Verdict == CallWrongIncarnation
		s.nextHold = now.Add(holdRetryInterval)
		s.unconfirmed = true
	} else {
		s.lastAnswer = now
		s.unconfirmed = false
		s.terminated = s.terminated && !s.shutdownAt.IsZero()
		r.applyLists(s, res)
	}
	r.reconcile()
}

// applyLists replaces the lists by newer ones, and ignores older ones: answers on several connections may arrive out
// of order. A confirmed stop is settled by lists that were requested after it, and that show the end of the run or all ends.
func (r *Runner) applyLists(s *endpointState, res HoldResult) {
	if res.Clock < s.listClock {
		return
	}
	s.listClock = res.Clock
	for _, e := range res.Ended {
		if !s.hasEnded(e.Run) {
			r.ports.Observer.RunEndListed(e)
			r.reportDue = true
		}
	}
	if !s.hasLists || !sameRuns(s.running, res.Running) {
		r.reportDue = true
	}
	s.hasLists = true
	s.running = res.Running
	s.ended = res.Ended
	s.endsTruncated = res.EndsTruncated
	r.adjustPaces(s)
	for run, c := range s.calls {
		if c.confirmedBy == 0 || res.Number < c.confirmedBy || s.isRunning(run) || s.endsTruncated && !s.hasEnded(run) {
			continue
		}
		delete(s.calls, run)
		delete(s.refused, run)
		if !s.hasEnded(run) {
			s.neverStarted[run] = true
			r.startBlocked[run] = true
		}
		r.reportDue = true
	}
}

// sameRuns reports whether two lists name the same runs in the same order.
func sameRuns(a, b []hsmessage.RunningTask) bool {
	return slices.EqualFunc(a, b, func(x, y hsmessage.RunningTask) bool { return x.Run == y.Run })
}
