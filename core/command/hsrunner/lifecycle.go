package hsrunner

import (
	"slices"
	"time"

	"hyssopseam/core/hsmessage"
	"hyssopseam/core/hswork"
)

// endpointState is what the runner knows about one incarnation of its endpoint.
type endpointState struct {
	endpoint   hsmessage.Endpoint
	address    string
	generation int
	sequence   uint64
	// poolVotes is the number of announcements that named the pool of endpoint, less those that named another one. The pool of
	// an incarnation doesn't change, so announcements of another pool are from another writer.
	poolVotes int

	// clock is the newest known reading of the endpoint's clock, and clockReadAt when it was read.
	clock       ClockReading
	clockReadAt time.Time
	// listClock is the reading that came with the newest lists. hasLists is set once any were received.
	listClock ClockReading
	hasLists  bool
	running   []hsmessage.RunningTask
	ended     []hsmessage.EndedTask
	// endsTruncated is set while the endpoint may have more ends than ended.
	endsTruncated bool

	// holdCount is the number of holds sent; holdPending is set while the long poll among them is unanswered.
	holdCount   int
	holdPending bool
	// nextHold is when the next long poll may be sent.
	nextHold time.Time
	// lastAnswer is when the endpoint last answered a hold; before the first answer, when it was first announced.
	lastAnswer time.Time
	// deadline is the latest lease deadline that any call has carried.
	deadline ClockReading
	// ackedEnd is the newest end that was acknowledged to the endpoint, which then forgets it.
	ackedEnd hswork.EndNumber
	// holdFence is the highest fence that a hold has carried.
	holdFence hswork.Fence
	// minFence is the lowest fence with which the lease may be extended. It is raised when the endpoint counts as
	// terminated, as a start that is still under way could begin under a new lease otherwise.
	minFence hswork.Fence
	// inheritedLease is when a lease has expired that may have been set before this state was created, by an earlier
	// process or for the same incarnation; zero for an incarnation that began while this process ran.
	inheritedLease time.Time
	// leavesAt is the earliest time at which a leaving endpoint may be gone; zero while it isn't leaving.
	leavesAt time.Time
	// shutdownAt is when the endpoint announced that it shuts down; zero before.
	shutdownAt time.Time
	// terminated is set once nothing that was started on this incarnation can be running any more.
	terminated bool
	// replaced is set once another endpoint or incarnation has answered a hold to this one.
	replaced bool
	// unconfirmed is set by an unanswered call until a hold confirms that this incarnation is still alive. Meanwhile
	// no run is started and no end is acknowledged: the next incarnation has the same identifier and would take both
	// as its own.
	unconfirmed bool

	calls map[hswork.RunID]*call
	// nextCall is when the next start or stop may be retried; zero when none has to wait.
	nextCall time.Time
	// refused holds the runs that the endpoint rejected, with its reason.
	refused map[hswork.RunID]string
	// neverStarted holds the runs to report in RunnerReport.NeverStarted: they can't start any more, after a
	// confirmed stop or because this incarnation has terminated.
	neverStarted map[hswork.RunID]bool
	// paces holds the speed that each best-effort run was throttled to; a run that isn't in it works at full speed.
	paces map[hswork.RunID]hswork.Percent
	// unconfirmedPaces holds the runs whose last pace call wasn't confirmed.
	unconfirmedPaces map[hswork.RunID]bool
}

// call tracks the start or stop of a run, from the first attempt until the run is settled.
type call struct {
	stop bool
	// pending is set while the call is unanswered. Otherwise it may be sent again at retryAt.
	pending bool
	retryAt time.Time
	// confirmedBy is the number of the first hold sent after the endpoint acknowledged the stop; zero before that.
	confirmedBy int
}

// HandleAnnouncement handles an announcement of the endpoint. It returns false for one of an earlier incarnation while
// runs of the later one may be running: it arrived late and is ignored. If another incarnation has answered at the address of
// the later one, that one is over, or never was.
func (r *Runner) HandleAnnouncement(a Announcement) bool {
	now := r.ports.Clock.Now()
	s := r.current
	if s != nil && (s.endpoint.ID != a.Endpoint.ID || s.endpoint.Incarnation != a.Endpoint.Incarnation) {
		if a.Endpoint.Incarnation < s.endpoint.Incarnation && !s.terminated && !s.replaced {
			return false
		}
		s = nil
	}
	if s == nil {
		r.beginIncarnation(a, now)
		return true
	}
	if a.Endpoint.Pool != s.endpoint.Pool {
		r.handleOtherPool(s, a, now)
		return true
	}
	if a.Sequence <= s.sequence {
		return true
	}
	s.poolVotes++
	r.adopt(s, a, now)
	return true
}

// handleOtherPool handles an announcement that names another pool than those before it. It is ignored, and its sequence with
// it, unless more announcements have named another pool than the one in use, which then was that of another writer.
func (r *Runner) handleOtherPool(s *endpointState, a Announcement, now time.Time) {
	s.poolVotes--
	if s.poolVotes >= 0 {
		r.ports.Observer.AnnouncementIgnored(a)
		return
	}
	s.poolVotes = 1
	r.reportDue = true
	r.ports.Observer.EndpointChanged(a)
	r.adopt(s, a, now)
}

// adopt takes over what an incarnation announces about itself.
func (r *Runner) adopt(s *endpointState, a Announcement, now time.Time) {
	s.sequence = a.Sequence
	if s.endpoint.Leaving != a.Endpoint.Leaving {
		r.reportDue = true
		r.ports.Observer.EndpointChanged(a)
	}
	s.endpoint = a.Endpoint
	s.address = a.Address
	s.updateClock(a.Clock, now)
	s.updateLeaving(now)
}

// beginIncarnation replaces the state of the endpoint by that of a new incarnation, about which nothing is known
// yet.
func (r *Runner) beginIncarnation(a Announcement, now time.Time) {
	r.generations++
	s := &endpointState{
		endpoint:     a.Endpoint,
		address:      a.Address,
		generation:   r.generations,
		sequence:     a.Sequence,
		poolVotes:    1,
		lastAnswer:   now,
		nextHold:     now,
		calls:        map[hswork.RunID]*call{},
		refused:      map[hswork.RunID]string{},
		neverStarted: map[hswork.RunID]bool{},
		paces:        map[hswork.RunID]hswork.Percent{},

		unconfirmedPaces: map[hswork.RunID]bool{},
	}
	if r.generations == 1 || a.Endpoint.Incarnation <= r.newestIncarnation {
		lease := r.config.MaxLease
		s.inheritedLease = now.Add(lease + lease*clockDriftPercent/100 + leaseSlack)
	}
	if r.current != nil {
		s.minFence = r.current.minFence
	}
	r.newestIncarnation = max(r.newestIncarnation, a.Endpoint.Incarnation)
	s.updateClock(a.Clock, now)
	s.updateLeaving(now)
	r.current = s
	clear(r.startBlocked)
	r.reportDue = true
	r.ports.Observer.EndpointChanged(a)
	r.reconcile()
}

// HandleShutdownNotice handles the notice that the endpoint is shutting down, which also ends every run on it. A
// notice of another endpoint or of another incarnation, which may arrive late, is ignored, and so is a repeated one.
func (r *Runner) HandleShutdownNotice(n ShutdownNotice) {
	s := r.current
	now := r.ports.Clock.Now()
	current := s != nil && s.endpoint.ID == n.Endpoint && s.mayHaveSent(n, now)
	r.ports.Observer.ShutdownNoticed(n, current)
	if !current || !s.shutdownAt.IsZero() {
		return
	}
	s.endpoint.Leaving = true
	s.shutdownAt = now
	r.reportDue = true
}

// mayHaveSent reports whether a notice of this endpoint is from this incarnation. One that names no incarnation is only
// expected from an endpoint that has announced that it leaves, and not long before the time that it gave.
func (s *endpointState) mayHaveSent(n ShutdownNotice, now time.Time) bool {
	if n.Incarnation != 0 {
		return n.Incarnation == s.endpoint.Incarnation
	}
	return !s.leavesAt.IsZero() && !now.Before(s.leavesAt.Add(-leaveSlack))
}

// updateClock keeps the newest reading of the endpoint's clock and ignores zero and older ones.
func (s *endpointState) updateClock(c ClockReading, now time.Time) {
	if c > 0 && (s.clockReadAt.IsZero() || c >= s.clock) {
		s.clock = c
		s.clockReadAt = now
	}
}

// updateLeaving records when the endpoint may be gone, at the first announcement that it is leaving.
func (s *endpointState) updateLeaving(now time.Time) {
	if s.endpoint.Leaving && s.leavesAt.IsZero() {
		s.leavesAt = now.Add(s.endpoint.LeavesIn)
	}
}

// deadlineAt returns the deadline to send for a lease that ends at t. It is reduced by the clock drift, so that
// an endpoint whose clock is slow still reaches it by t.
func (s *endpointState) deadlineAt(t time.Time) ClockReading {
	ahead := t.Sub(s.clockReadAt)
	return s.clock + ClockReading(ahead-ahead*clockDriftPercent/100)
}

// leasesExpired reports whether every lease that a call may have set has expired, also on a slow clock.
func (s *endpointState) leasesExpired(now time.Time) bool {
	if now.Before(s.inheritedLease) {
		return false
	}
	ahead := time.Duration(s.deadline - s.clock)
	return now.After(s.clockReadAt.Add(ahead + ahead*clockDriftPercent/100 + leaseSlack))
}

// checkTermination terminates the incarnation once nothing that was started on it can be running any more.
func (r *Runner) checkTermination(now time.Time) {
	s := r.current
	if s == nil || s.terminated {
		return
	}
	switch {
	case !s.shutdownAt.IsZero() && now.Sub(s.shutdownAt) >= shutdownGrace:
		r.terminate("it left", now)
	case s.hasLists && now.Sub(s.lastAnswer) > unhealthyAfter && s.leasesExpired(now):
		r.terminate("it is silent and its lease is over", now)
	case !s.hasLists && now.Sub(s.lastAnswer) > r.config.MaxLease && s.leasesExpired(now):
		r.terminate("it never answered, and no lease lasts that long", now)
	}
}

// terminate reports to the leader that nothing runs on the endpoint any more. Should the endpoint answer again,
// the runs of the current plan are not started on it.
func (r *Runner) terminate(reason string, now time.Time) {
	s := r.current
	s.terminated = true
	s.minFence = r.fence() + 1
	for _, p := range r.plan.Runs {
		r.blockStart(p.Run)
	}
	for _, run := range r.plan.Stops {
		r.blockStart(run)
	}
	s.running = nil
	r.reportDue = true
	r.reportAt = now
	r.ports.Observer.EndpointTerminated(s.endpoint.ID, reason)
}

// blockStart prevents a run from being started, and reports it in RunnerReport.NeverStarted unless the endpoint lists
// its end.
func (r *Runner) blockStart(run hswork.RunID) {
	r.startBlocked[run] = true
	if !r.current.hasEnded(run) {
		r.current.neverStarted[run] = true
	}
}

// healthy reports whether the endpoint answered a hold recently and hasn't announced its shutdown.
func (s *endpointState) healthy(now time.Time) bool {
	return s.shutdownAt.IsZero() && now.Sub(s.lastAnswer) <= unhealthyAfter
}

// fillReport writes what is known about the endpoint into the report.
func (s *endpointState) fillReport(report *hsmessage.RunnerReport, now time.Time) {
	report.Endpoint = s.endpoint
	if !s.leavesAt.IsZero() {
		report.Endpoint.LeavesIn = max(s.leavesAt.Sub(now), 0)
	}
	report.ListsKnown = s.hasLists
	report.Healthy = s.healthy(now)
	report.EndpointTerminated = s.terminated
	report.MinFence = s.minFence
	report.Running = s.running
	report.Ended = s.ended
	for run := range s.neverStarted {
		report.NeverStarted = append(report.NeverStarted, run)
	}
	slices.SortFunc(report.NeverStarted, hswork.CompareRuns)
	for run, reason := range s.refused {
		report.Refused = append(report.Refused, hsmessage.RefusedRun{Run: run, Reason: reason})
	}
	slices.SortFunc(report.Refused, func(a, b hsmessage.RefusedRun) int { return hswork.CompareRuns(a.Run, b.Run) })
}
