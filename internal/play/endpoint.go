package play

import (
	"time"

	"hyssopseam/core/command/hsrunner"
	"hyssopseam/core/hsid"
	"hyssopseam/core/hsmessage"
	"hyssopseam/core/hswork"
)

const (
	// heartbeatEvery is the time between two announcements of an endpoint.
	heartbeatEvery = 1500 * time.Millisecond
	// holdMost is the longest lease that an endpoint gives.
	holdMost = 10 * time.Second
	// stopTakes is how long an endpoint takes to stop a run.
	stopTakes = 400 * time.Millisecond
	// gangWaits is how long a member of a gang waits for the others.
	gangWaits = 3 * time.Second
	// answerWithin is how long a runner waits for an answer beyond the wait that it asked for.
	answerWithin = 600 * time.Millisecond
	// endpointDrift is how much slower than true time an endpoint's clock may go.
	endpointDrift = 0.02
)

// WorkRun is one line of the book of step jobs: a run that an endpoint began.
type WorkRun struct {
	Run    hswork.RunID
	Worker hsid.InstanceID
	Life   hswork.Life
	Need   hswork.Resources
	Began  time.Duration
	Ended  time.Duration
	// How is empty while it runs.
	How hswork.How
	// Noted is set once the endpoint was told to forget a listed end.
	Noted bool
	// Asked is set once the endpoint was told to stop it.
	Asked bool
}

// WorkPlan says how the tasks of a step behave.
type WorkPlan struct {
	Need  hswork.Resources
	Takes time.Duration
	// Gang is the number of members that work only together; 0 for none.
	Gang  int
	Fails bool
}

// Endpoint is a worker that runs the tasks of step jobs.
type Endpoint struct {
	w        *World
	runner   *Runner
	said     hsmessage.Endpoint
	rate     float64
	born     time.Duration
	sequence uint64
	down     bool
	// Leaving is set while it takes no new work.
	Leaving bool
	// LateShare is the share of orders that get no answer and are carried out 2 to 12 s later.
	LateShare float64

	running  map[hswork.RunID]*WorkRun
	ended    []hsmessage.EndedTask
	number   hswork.EndNumber
	stopped  map[hswork.TaskID]hswork.RunNumber
	term     hsid.Term
	deadline time.Duration
	// lapsed is when the lease last ran out. An end that was listed before counts no longer as one that can be
	// noted.
	lapsed  time.Duration
	waiting []func()
}

func newEndpoint(w *World, r *Runner, said hsmessage.Endpoint) *Endpoint {
	e := &Endpoint{w: w, runner: r, said: said, rate: 1 - endpointDrift*w.random.Float64()}
	e.begin()
	return e
}

// begin starts a life that knows nothing of before.
func (e *Endpoint) begin() {
	e.born = e.w.now
	e.said.Life = hswork.Life(1 + e.w.now.Milliseconds())
	e.sequence = 0
	e.running = map[hswork.RunID]*WorkRun{}
	e.ended = nil
	e.number = 0
	e.stopped = map[hswork.TaskID]hswork.RunNumber{}
	e.term = 0
	e.deadline = 0
	e.waiting = nil
}

// Crash ends the endpoint without a word, and everything that it runs.
func (e *Endpoint) Crash() {
	if e.down {
		return
	}
	e.down = true
	for _, r := range e.sorted() {
		members := e.w.gangOf(r)
		r.How = hswork.EndLost
		r.Ended = e.w.now
		if e.w.Work(r.Run.Task).Gang > 0 {
			e.w.breakGang(members, r)
		}
	}
	e.running = map[hswork.RunID]*WorkRun{}
	waiting := e.waiting
	e.waiting = nil
	for _, answer := range waiting {
		answer()
	}
}

// Restart starts a new life under the same name.
func (e *Endpoint) Restart() {
	if e.down {
		e.down = false
		e.begin()
	}
}

func (e *Endpoint) clock() hsrunner.Reading {
	return hsrunner.Reading(float64(e.w.now-e.born)*e.rate) + hsrunner.Reading(time.Millisecond)
}

// at turns a reading of the endpoint's clock into the world's time.
func (e *Endpoint) at(r hsrunner.Reading) time.Duration {
	return e.born + time.Duration(float64(r)/e.rate)
}

func (e *Endpoint) announceAll() {
	if !e.down {
		e.sequence++
		said := e.said
		said.Leaving = e.Leaving
		a := hsrunner.Announcement{Endpoint: said, Address: string(e.said.ID), Sequence: e.sequence, Clock: e.clock()}
		e.w.At(e.w.now+e.jitter(), func() { e.runner.do(func(x *hsrunner.Runner) { x.Announce(a) }) })
	}
	e.w.At(e.w.now+heartbeatEvery, e.announceAll)
}

func (e *Endpoint) jitter() time.Duration {
	if e.w.config.PlatformJitter <= 0 {
		return time.Millisecond
	}
	return time.Millisecond + time.Duration(e.w.random.Int64N(int64(e.w.config.PlatformJitter)))
}

// order carries out an order after its way, and gives the answer back unless it is lost.
func (e *Endpoint) order(target hsrunner.Target, carry func() hsrunner.CallResult, answer func(x *hsrunner.Runner, r hsrunner.CallResult)) {
	life, born := e.runner.life, e.born
	reply := func(after time.Duration, r hsrunner.CallResult) {
		r.Turn = target.Turn
		e.w.At(e.w.now+after, func() {
			if e.runner.life == life {
				e.runner.do(func(x *hsrunner.Runner) { answer(x, r) })
			}
		})
	}
	none := hsrunner.CallResult{Verdict: hsrunner.CallNoAnswer}
	if e.w.random.Float64() < e.LateShare {
		reply(answerWithin, none)
		late := 2*time.Second + time.Duration(e.w.random.Int64N(int64(10*time.Second)))
		e.w.At(e.w.now+late, func() {
			if !e.down && e.born == born {
				carry()
			}
		})
		return
	}
	e.w.At(e.w.now+e.jitter(), func() {
		if e.down || e.born != born {
			reply(answerWithin, none)
			return
		}
		r := carry()
		r.Clock = e.clock()
		reply(e.jitter(), r)
	})
}

// Start implements hsrunner.Endpoint.
func (e *Endpoint) Start(c hsrunner.StartCall) {
	e.order(c.Target, func() hsrunner.CallResult { return e.start(c) },
		func(x *hsrunner.Runner, r hsrunner.CallResult) { x.Started(c.Run, r) })
}

func (e *Endpoint) start(c hsrunner.StartCall) hsrunner.CallResult {
	if c.Term < e.term {
		return hsrunner.CallResult{Verdict: hsrunner.CallFenced}
	}
	e.term = c.Term
	if e.running[c.Run] != nil {
		return hsrunner.CallResult{Verdict: hsrunner.CallDone}
	}
	if c.Deadline <= e.clock() {
		return hsrunner.CallResult{Verdict: hsrunner.CallLate}
	}
	e.extend(c.Deadline)
	if c.Run.Number <= e.stopped[c.Run.Task] {
		return hsrunner.CallResult{Verdict: hsrunner.CallOld}
	}
	plan := e.w.Work(c.Run.Task)
	used := plan.Need
	for _, r := range e.running {
		used = used.Plus(r.Need)
	}
	if !e.said.Capacity.Holds(used) {
		return hsrunner.CallResult{Verdict: hsrunner.CallRefused, Reason: "room"}
	}
	r := &WorkRun{Run: c.Run, Worker: hsid.InstanceID(e.runner.peer), Life: e.said.Life, Need: plan.Need, Began: e.w.now}
	e.w.WorkBook = append(e.w.WorkBook, r)
	e.running[c.Run] = r
	if e.w.OnWorkStart != nil {
		e.w.OnWorkStart(r)
	}
	e.work(r, plan)
	return hsrunner.CallResult{Verdict: hsrunner.CallDone}
}

// work has a run end by itself. A gang's members begin once all are there.
func (e *Endpoint) work(r *WorkRun, plan WorkPlan) {
	how := hswork.EndDone
	if plan.Fails {
		how = hswork.EndFailed
	}
	if plan.Gang == 0 {
		e.w.At(e.w.now+plan.Takes, func() { e.finish(r, how) })
		return
	}
	members := e.w.gangOf(r)
	if len(members) == plan.Gang {
		e.w.At(e.w.now+plan.Takes, func() { e.finish(r, how) })
		return
	}
	e.w.At(e.w.now+gangWaits, func() {
		if r.How == "" && len(e.w.gangOf(r)) < plan.Gang {
			e.finish(r, hswork.EndAlone)
		}
	})
}

// gangOf returns the members of a run's gang that are at work, across all endpoints.
func (w *World) gangOf(r *WorkRun) []*WorkRun {
	var members []*WorkRun
	for _, x := range w.WorkBook {
		a, b := x.Run, r.Run
		a.Task.Index, b.Task.Index = 0, 0
		if a == b && x.How == "" {
			members = append(members, x)
		}
	}
	return members
}

// finish ends a run; the end of one member ends its gang.
func (e *Endpoint) finish(r *WorkRun, how hswork.How) {
	if r.How != "" || e.running[r.Run] != r {
		return
	}
	members := e.w.gangOf(r)
	e.list(r, how)
	if e.w.Work(r.Run.Task).Gang == 0 {
		return
	}
	if how != hswork.EndDone {
		e.w.breakGang(members, r)
		return
	}
	for _, m := range members {
		if m != r {
			e.w.runnerOf(m.Worker).Endpoint.list(m, hswork.EndDone)
		}
	}
}

// breakGang ends the other members of a gang that lost one.
func (w *World) breakGang(members []*WorkRun, lost *WorkRun) {
	for _, m := range members {
		if m != lost && m.How == "" {
			w.runnerOf(m.Worker).Endpoint.list(m, hswork.EndBroken)
		}
	}
}

// list notes an end for the runner, and answers the holds that wait for one.
func (e *Endpoint) list(r *WorkRun, how hswork.How) {
	if r.How != "" || e.running[r.Run] != r {
		return
	}
	r.How = how
	r.Ended = e.w.now
	delete(e.running, r.Run)
	e.number++
	e.stopped[r.Run.Task] = max(e.stopped[r.Run.Task], r.Run.Number)
	e.ended = append(e.ended, hsmessage.EndedTask{Number: e.number, Run: r.Run, How: how})
	waiting := e.waiting
	e.waiting = nil
	for _, answer := range waiting {
		answer()
	}
}

// Stop implements hsrunner.Endpoint.
func (e *Endpoint) Stop(c hsrunner.StopCall) {
	e.order(c.Target, func() hsrunner.CallResult {
		if c.Term < e.term {
			return hsrunner.CallResult{Verdict: hsrunner.CallFenced}
		}
		e.term = c.Term
		e.stopped[c.Run.Task] = max(e.stopped[c.Run.Task], c.Run.Number)
		if r := e.running[c.Run]; r != nil && !r.Asked {
			r.Asked = true
			e.w.At(e.w.now+time.Duration(e.w.random.Int64N(int64(stopTakes))), func() { e.finish(r, hswork.EndStopped) })
		}
		return hsrunner.CallResult{Verdict: hsrunner.CallDone}
	}, func(x *hsrunner.Runner, r hsrunner.CallResult) { x.Stopped(c.Run, r) })
}

// Pace does nothing: nothing disturbs anything here.
func (e *Endpoint) Pace(hsrunner.PaceCall) {}

// noted marks the newest listed end of a run on a worker as noted, unless the lease ran out since.
func (w *World) noted(run hswork.RunID, worker hsid.InstanceID, lapsed time.Duration) {
	for i := len(w.WorkBook) - 1; i >= 0; i-- {
		if r := w.WorkBook[i]; r.Run == run && r.Worker == worker {
			r.Noted = r.Ended > lapsed
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
