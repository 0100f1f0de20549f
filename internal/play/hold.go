package play

import (
	"cmp"
	"slices"

	"hyssopseam/core/command/hsrunner"
	"hyssopseam/core/hsid"
	"hyssopseam/core/hsmessage"
	"hyssopseam/core/hswork"
)

// Hold implements hsrunner.Endpoint: it renews the lease and answers once a task ended, or after the call's wait.
func (e *Endpoint) Hold(c hsrunner.HoldCall) {
	generation, startedAt := e.runner.generation, e.startedAt
	reply := func(r hsrunner.HoldResult) {
		r.Generation = c.Target.Generation
		r.Number = c.Number
		r.LongPoll = c.LongPoll
		e.w.Schedule(e.w.now+e.jitter(), func() {
			if e.runner.generation == generation {
				e.runner.do(func(x *hsrunner.Runner) { x.HandleHoldResult(r) })
			}
		})
	}
	noAnswer := hsrunner.HoldResult{CallResult: hsrunner.CallResult{Verdict: hsrunner.CallNoAnswer}}
	e.w.Schedule(e.w.now+e.jitter(), func() {
		if e.down || e.startedAt != startedAt {
			e.w.Schedule(e.w.now+callTimeout, func() { reply(noAnswer) })
			return
		}
		e.applyHold(c)
		answered := false
		answer := func() {
			switch {
			case answered:
			case e.down || e.startedAt != startedAt:
				// The connection breaks with the endpoint.
				answered = true
				reply(noAnswer)
			default:
				answered = true
				reply(e.holdResult())
			}
		}
		if c.Wait == 0 || len(e.endedTasks) > 0 {
			answer()
			return
		}
		e.pendingHolds = append(e.pendingHolds, answer)
		e.w.Schedule(e.w.now+c.Wait, answer)
		e.w.Schedule(e.w.now+c.Wait+callTimeout, func() {
			if !answered {
				answered = true
				reply(noAnswer)
			}
		})
	})
}

// applyHold renews the lease and discards the ended tasks that the call acknowledges. Calls of a lower fence are
// ignored.
func (e *Endpoint) applyHold(c hsrunner.HoldCall) {
	if c.Fence < e.fence {
		return
	}
	e.fence = c.Fence
	e.extendLease(c.Deadline)
	for _, x := range e.endedTasks {
		if x.Number <= c.AckedEnd {
			e.w.acknowledgeEnd(x.Run, hsid.InstanceID(e.runner.peer), e.leaseExpired)
		}
	}
	e.endedTasks = slices.DeleteFunc(e.endedTasks, func(x hsmessage.EndedTask) bool { return x.Number <= c.AckedEnd })
}

// extendLease moves the end of the lease, but never to an earlier time. All runs end when it is reached.
func (e *Endpoint) extendLease(r hsrunner.ClockReading) {
	at := min(e.worldTime(r), e.w.now+maxLease)
	if at <= e.leaseDeadline {
		return
	}
	e.leaseDeadline = at
	startedAt := e.startedAt
	e.w.Schedule(at, func() {
		if e.leaseDeadline != at || e.down || e.startedAt != startedAt {
			return
		}
		e.leaseExpired = e.w.now
		for _, r := range e.sortedRuns() {
			e.finish(r, hswork.EndLapsed)
		}
	})
}

// holdResult lists the running tasks and the unacknowledged ends.
func (e *Endpoint) holdResult() hsrunner.HoldResult {
	r := hsrunner.HoldResult{EndpointIncarnation: e.announced.Incarnation, Ended: slices.Clone(e.endedTasks)}
	if limit := e.w.config.ListedEnds; limit > 0 && len(r.Ended) >= limit {
		r.Ended = r.Ended[:limit]
		r.EndsTruncated = true
	}
	r.Verdict = hsrunner.CallDone
	r.Clock = e.clock()
	for _, x := range e.sortedRuns() {
		// Progress grows by 1 % every 100 ms and starts again at 0, so that successive listings differ.
		percent := hswork.Percent((e.w.now - x.Began).Milliseconds() / 100 % 100)
		if e.Slowdown > 0 {
			percent = e.progress(x)
		}
		r.Running = append(r.Running, hsmessage.RunningTask{Run: x.Run, Percent: percent})
	}
	return r
}

// sortedRuns returns the current runs by identifier, as the order of a map would make a seed irreproducible.
func (e *Endpoint) sortedRuns() []*WorkRun {
	var all []*WorkRun
	for _, r := range e.running {
		all = append(all, r)
	}
	slices.SortFunc(all, func(a, b *WorkRun) int { return cmp.Compare(a.Run.String(), b.Run.String()) })
	return all
}
