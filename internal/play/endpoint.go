package play

import (
	"time"

	"hyssopseam/core/command/hsrunner"
	"hyssopseam/core/hsid"
	"hyssopseam/core/hsmessage"
	"hyssopseam/core/hswork"
)

const (
	// heartbeatInterval is the time between two announcements of an endpoint.
	heartbeatInterval = 1500 * time.Millisecond
	// maxLease is the longest lease that an endpoint grants.
	maxLease = 10 * time.Second
	// maxStopTime is the upper bound of the time that an endpoint takes to stop a run.
	maxStopTime = 400 * time.Millisecond
	// gangTimeout is how long a member of a gang waits for the others.
	gangTimeout = 3 * time.Second
	// callTimeout is how long a runner waits for an answer, beyond the wait that the call itself asks for.
	callTimeout = 600 * time.Millisecond
	// maxEndpointDrift is the largest fraction by which an endpoint's clock runs slow.
	maxEndpointDrift = 0.02
)

// WorkRun records one run of a step job's task on an endpoint.
type WorkRun struct {
	Run                 hswork.RunID
	Worker              hsid.InstanceID
	EndpointIncarnation hswork.EndpointIncarnation
	Need                hswork.Resources
	Began               time.Duration
	Ended               time.Duration
	// EndKind is empty while it runs.
	EndKind hswork.EndKind
	// EndAcknowledged is set once a hold call acknowledged its end, unless the endpoint's lease expired after the end.
	EndAcknowledged bool
	// StopRequested is set once the endpoint was told to stop it.
	StopRequested bool
}

// WorkPlan describes how the tasks of a step behave.
type WorkPlan struct {
	Need hswork.Resources
	// Duration is the time that a task runs; that of a gang counts from the start of its last member.
	Duration time.Duration
	// Gang is the number of members that run only together; 0 for a step without a gang.
	Gang  int
	Fails bool
}

// Endpoint simulates the process on a worker that runs the tasks of step jobs.
type Endpoint struct {
	w         *World
	runner    *Runner
	announced hsmessage.Endpoint
	rate      float64
	startedAt time.Duration
	sequence  uint64
	down      bool
	// Leaving is announced: the endpoint takes no new work.
	Leaving bool
	// DelayedShare is the share of start and stop calls that get no answer and are executed 2 to 12 s later.
	DelayedShare float64
	// Slowdown is how many times as long as the plan says its tasks take; a gang takes as long as its slowest member. If it is
	// set, the endpoint lists the true progress.
	Slowdown float64

	running    map[hswork.RunID]*WorkRun
	endedTasks []hsmessage.EndedTask
	lastEnd    hswork.EndNumber
	// lastStopped is the highest run number of each task that ended or that a stop named. Starts up to it are
	// refused.
	lastStopped   map[hswork.TaskID]hswork.RunNumber
	fence         hswork.Fence
	leaseDeadline time.Duration
	// leaseExpired is when the lease last expired. An end recorded up to then doesn't become EndAcknowledged any more.
	leaseExpired time.Duration
	pendingHolds []func()
}

func newEndpoint(w *World, r *Runner, announced hsmessage.Endpoint) *Endpoint {
	e := &Endpoint{w: w, runner: r, announced: announced, rate: 1 - maxEndpointDrift*w.random.Float64()}
	e.reset()
	return e
}

// reset starts a new incarnation without any state of earlier ones.
func (e *Endpoint) reset() {
	e.startedAt = e.w.now
	e.announced.Incarnation = hswork.EndpointIncarnation(1 + e.w.now.Milliseconds())
	e.sequence = 0
	e.running = map[hswork.RunID]*WorkRun{}
	e.endedTasks = nil
	e.lastEnd = 0
	e.lastStopped = map[hswork.TaskID]hswork.RunNumber{}
	e.fence = 0
	e.leaseDeadline = 0
	e.pendingHolds = nil
}

// Crash ends the endpoint and all its runs without reporting anything. Calls that wait for an answer are broken off.
func (e *Endpoint) Crash() {
	if e.down {
		return
	}
	e.down = true
	for _, r := range e.sortedRuns() {
		members := e.w.runningGang(r)
		r.EndKind = hswork.EndLost
		r.Ended = e.w.now
		if e.w.Work(r.Run.Task).Gang > 0 {
			e.w.breakGang(members, r)
		}
	}
	e.running = map[hswork.RunID]*WorkRun{}
	pending := e.pendingHolds
	e.pendingHolds = nil
	for _, answer := range pending {
		answer()
	}
}

// Restart starts a crashed endpoint with a new incarnation under the same identifier.
func (e *Endpoint) Restart() {
	if e.down {
		e.down = false
		e.reset()
	}
}

func (e *Endpoint) clock() hsrunner.ClockReading {
	return hsrunner.ClockReading(float64(e.w.now-e.startedAt)*e.rate) + hsrunner.ClockReading(time.Millisecond)
}

// worldTime converts a reading of the endpoint's clock to simulated time.
func (e *Endpoint) worldTime(r hsrunner.ClockReading) time.Duration {
	return e.startedAt + time.Duration(float64(r)/e.rate)
}

// announceLoop announces the endpoint at once and after every heartbeatInterval, except while it is down.
func (e *Endpoint) announceLoop() {
	if !e.down {
		e.sequence++
		announced := e.announced
		announced.Leaving = e.Leaving
		a := hsrunner.Announcement{Endpoint: announced, Address: string(e.announced.ID), Sequence: e.sequence, Clock: e.clock()}
		e.w.Schedule(e.w.now+e.jitter(), func() { e.runner.do(func(x *hsrunner.Runner) { x.HandleAnnouncement(a) }) })
	}
	e.w.Schedule(e.w.now+heartbeatInterval, e.announceLoop)
}

func (e *Endpoint) jitter() time.Duration {
	if e.w.config.PlatformJitter <= 0 {
		return time.Millisecond
	}
	return time.Millisecond + time.Duration(e.w.random.Int64N(int64(e.w.config.PlatformJitter)))
}

// deliver executes a call at the endpoint after a random delay, and returns the answer after another one. If the
// endpoint is down or was restarted, the runner gets CallNoAnswer after callTimeout. With the probability
// DelayedShare it gets CallNoAnswer too, and the call is executed 2 to 12 s later.
func (e *Endpoint) deliver(target hsrunner.Target, execute func() hsrunner.CallResult, answer func(x *hsrunner.Runner, r hsrunner.CallResult)) {
	generation, startedAt := e.runner.generation, e.startedAt
	reply := func(delay time.Duration, r hsrunner.CallResult) {
		r.Generation = target.Generation
		e.w.Schedule(e.w.now+delay, func() {
			if e.runner.generation == generation {
				e.runner.do(func(x *hsrunner.Runner) { answer(x, r) })
			}
		})
	}
	noAnswer := hsrunner.CallResult{Verdict: hsrunner.CallNoAnswer}
	if e.w.random.Float64() < e.DelayedShare {
		reply(callTimeout, noAnswer)
		delay := 2*time.Second + time.Duration(e.w.random.Int64N(int64(10*time.Second)))
		e.w.Schedule(e.w.now+delay, func() {
			if !e.down && e.startedAt == startedAt {
				execute()
			}
		})
		return
	}
	e.w.Schedule(e.w.now+e.jitter(), func() {
		if e.down || e.startedAt != startedAt {
			reply(callTimeout, noAnswer)
			return
		}
		r := execute()
		r.Clock = e.clock()
		reply(e.jitter(), r)
	})
}

// Start implements hsrunner.Endpoint.
func (e *Endpoint) Start(c hsrunner.StartCall) {
	e.deliver(c.Target, func() hsrunner.CallResult { return e.start(c) },
		func(x *hsrunner.Runner, r hsrunner.CallResult) { x.HandleStartResult(c.Run, r) })
}

func (e *Endpoint) start(c hsrunner.StartCall) hsrunner.CallResult {
	if c.Fence < e.fence {
		return hsrunner.CallResult{Verdict: hsrunner.CallFenced}
	}
	e.fence = c.Fence
	if e.running[c.Run] != nil {
		return hsrunner.CallResult{Verdict: hsrunner.CallDone}
	}
	if c.Deadline <= e.clock() {
		return hsrunner.CallResult{Verdict: hsrunner.CallDeadlinePassed}
	}
	e.extendLease(c.Deadline)
	if c.Run.Number <= e.lastStopped[c.Run.Task] {
		return hsrunner.CallResult{Verdict: hsrunner.CallOutdated}
	}
	plan := e.w.Work(c.Run.Task)
	used := plan.Need
	for _, r := range e.running {
		used = used.Plus(r.Need)
	}
	if !e.announced.Capacity.Holds(used) {
		return hsrunner.CallResult{Verdict: hsrunner.CallRefused, Reason: "room"}
	}
	r := &WorkRun{Run: c.Run, Worker: hsid.InstanceID(e.runner.peer), EndpointIncarnation: e.announced.Incarnation, Need: plan.Need, Began: e.w.now}
	e.w.WorkRuns = append(e.w.WorkRuns, r)
	e.running[c.Run] = r
	if e.w.OnWorkStart != nil {
		e.w.OnWorkStart(r)
	}
	e.scheduleEnd(r, plan)
	return hsrunner.CallResult{Verdict: hsrunner.CallDone}
}

// scheduleEnd schedules the end of a run. A gang's run lasts from the start of its last member, whose end ends the
// others; a member that is without the others after gangTimeout ends as alone.
func (e *Endpoint) scheduleEnd(r *WorkRun, plan WorkPlan) {
	kind := hswork.EndDone
	if plan.Fails {
		kind = hswork.EndFailed
	}
	if plan.Gang == 0 {
		e.w.Schedule(e.w.now+e.slowed(plan.Duration), func() { e.finish(r, kind) })
		return
	}
	members := e.w.runningGang(r)
	if len(members) == plan.Gang {
		var takes time.Duration
		for _, m := range members {
			takes = max(takes, e.w.runnerOf(m.Worker).Endpoint.slowed(plan.Duration))
		}
		e.w.Schedule(e.w.now+takes, func() { e.finish(r, kind) })
		return
	}
	e.w.Schedule(e.w.now+gangTimeout, func() {
		if r.EndKind == "" && len(e.w.runningGang(r)) < plan.Gang {
			e.finish(r, hswork.EndAlone)
		}
	})
}

// slowed returns how long a task takes here.
func (e *Endpoint) slowed(d time.Duration) time.Duration {
	if e.Slowdown == 0 {
		return d
	}
	return time.Duration(float64(d) * e.Slowdown)
}

// progress returns the true progress of a run. A member of a gang makes progress from the start of the last member on, and then
// waits for slower ones.
func (e *Endpoint) progress(r *WorkRun) hswork.Percent {
	plan := e.w.Work(r.Run.Task)
	began := r.Began
	if plan.Gang > 0 {
		members := e.w.runningGang(r)
		if len(members) < plan.Gang {
			return 0
		}
		for _, m := range members {
			began = max(began, m.Began)
		}
	}
	return hswork.Percent(min(100*(e.w.now-began)/max(e.slowed(plan.Duration), 1), 99))
}

// runningGang returns the running members of a run's gang on all endpoints.
func (w *World) runningGang(r *WorkRun) []*WorkRun {
	var members []*WorkRun
	for _, x := range w.WorkRuns {
		a, b := x.Run, r.Run
		a.Task.Index, b.Task.Index = 0, 0
		if a == b && x.EndKind == "" {
			members = append(members, x)
		}
	}
	return members
}

// finish ends a run; the end of one member ends its gang.
func (e *Endpoint) finish(r *WorkRun, kind hswork.EndKind) {
	if r.EndKind != "" || e.running[r.Run] != r {
		return
	}
	members := e.w.runningGang(r)
	e.recordEnd(r, kind)
	if e.w.Work(r.Run.Task).Gang == 0 {
		return
	}
	if kind != hswork.EndDone {
		e.w.breakGang(members, r)
		return
	}
	for _, m := range members {
		if m != r {
			e.w.runnerOf(m.Worker).Endpoint.recordEnd(m, hswork.EndDone)
		}
	}
}

// breakGang ends the other members of a gang that lost one.
func (w *World) breakGang(members []*WorkRun, lost *WorkRun) {
	for _, m := range members {
		if m != lost && m.EndKind == "" {
			w.runnerOf(m.Worker).Endpoint.recordEnd(m, hswork.EndBroken)
		}
	}
}

// recordEnd ends a run, lists the end for the runner, and answers the hold calls that wait for one.
func (e *Endpoint) recordEnd(r *WorkRun, kind hswork.EndKind) {
	if r.EndKind != "" || e.running[r.Run] != r {
		return
	}
	r.EndKind = kind
	r.Ended = e.w.now
	delete(e.running, r.Run)
	e.lastEnd++
	e.lastStopped[r.Run.Task] = max(e.lastStopped[r.Run.Task], r.Run.Number)
	e.endedTasks = append(e.endedTasks, hsmessage.EndedTask{Number: e.lastEnd, Run: r.Run, Kind: kind})
	pending := e.pendingHolds
	e.pendingHolds = nil
	for _, answer := range pending {
		answer()
	}
}

// Stop implements hsrunner.Endpoint.
func (e *Endpoint) Stop(c hsrunner.StopCall) {
	e.deliver(c.Target, func() hsrunner.CallResult {
		if c.Fence < e.fence {
			return hsrunner.CallResult{Verdict: hsrunner.CallFenced}
		}
		e.fence = c.Fence
		e.lastStopped[c.Run.Task] = max(e.lastStopped[c.Run.Task], c.Run.Number)
		if r := e.running[c.Run]; r != nil && !r.StopRequested {
			r.StopRequested = true
			e.w.Schedule(e.w.now+time.Duration(e.w.random.Int64N(int64(maxStopTime))), func() { e.finish(r, hswork.EndStopped) })
		}
		return hsrunner.CallResult{Verdict: hsrunner.CallDone}
	}, func(x *hsrunner.Runner, r hsrunner.CallResult) { x.HandleStopResult(c.Run, r) })
}

// Pace does nothing, as runs don't slow each other down in the simulation.
func (e *Endpoint) Pace(hsrunner.PaceCall) {}

// acknowledgeEnd marks the newest end of a run on a worker as acknowledged, unless the lease expired after it.
func (w *World) acknowledgeEnd(run hswork.RunID, worker hsid.InstanceID, leaseExpired time.Duration) {
	for i := len(w.WorkRuns) - 1; i >= 0; i-- {
		if r := w.WorkRuns[i]; r.Run == run && r.Worker == worker {
			r.EndAcknowledged = r.Ended > leaseExpired
			return
		}
	}
}

func (w *World) runnerOf(id hsid.InstanceID) *Runner {
	for _, r := range w.Runners {
		if hsid.InstanceID(r.peer) == id {
			return r
		}
	}
	return nil
}
