package play

import (
	"maps"
	"slices"
	"time"

	"hyssopseam/core/command/hsadmission"
	"hyssopseam/core/command/hsagent"
	"hyssopseam/core/hsid"
	"hyssopseam/core/hsmessage"
	"hyssopseam/core/hsshape"
	"hyssopseam/core/hsstate"
)

// announceInterval is the time between two announcements of an endpoint.
const announceInterval = 2 * time.Second

// Worker describes the worker of an agent.
type Worker struct {
	ID           hsid.InstanceID
	Zone         hsid.ZoneID
	Rack         hsid.RackID
	Accelerators hsid.Accelerators
	// FailAll makes every task fail after at most 100 ms.
	FailAll bool
}

// Run records one execution of a task on a platform.
type Run struct {
	Worker       hsid.InstanceID
	Grant        hsid.Grant
	Rank         int
	Once         bool
	Accelerators hsshape.Set
	Began        time.Duration
	Ended        time.Duration
	// StopStartedAt is when the platform began to stop it; zero for never.
	StopStartedAt time.Duration
	// Outcome is empty while it runs.
	Outcome hsmessage.TaskPhase
}

// Plan describes how a job's tasks behave on a platform.
type Plan struct {
	// Run is the time that a task runs, and Stop the time that it takes to stop.
	Run  time.Duration
	Stop time.Duration
	// Fails makes the tasks fail on every worker.
	Fails bool
}

// planFunc returns the plan of a job by its kind and input. A nil function stands for defaultPlan.
type planFunc func(kind hsid.JobKind, input []byte) Plan

// defaultPlan is the plan of every job on a worker without a planFunc.
var defaultPlan = Plan{Run: time.Second, Stop: 100 * time.Millisecond}

// platformTask is a task on a platform. A watched one reports its end to the agent.
type platformTask struct {
	record   hsagent.Record
	run      *Run
	plan     Plan
	watched  bool
	stopping bool
}

// Agent is a node with the agent role, and the platform with its endpoint, which keeps running when the agent
// crashes.
type Agent struct {
	w          *World
	peer       hsstate.Peer
	worker     Worker
	clock      clock
	agent      *hsagent.Agent
	timer      *wakeTimer
	generation int

	// Plans returns how the tasks behave; nil for defaultPlan.
	Plans       planFunc
	endpoint    hsid.Incarnation
	down        bool
	leaseEnd    time.Duration
	Leaving     bool
	incarnation hsid.Incarnation
	// mayStart holds the incarnation of the agent that listed the tasks last; the endpoint refuses starts from others.
	mayStart map[hsid.Incarnation]bool
	tasks    map[hsid.Grant]*platformTask
	// ruleNumber is the number of the agent's rules after the last message; 0 at its start.
	ruleNumber hsid.RuleNumber
	// RulesRegressed is set once the agent, without a restart, replaced rules by those of a lower number.
	RulesRegressed bool
}

// AddWorker adds a worker and starts it.
func (w *World) AddWorker(x Worker) *Agent {
	a := &Agent{
		w:        w,
		peer:     hsstate.Peer(x.ID),
		worker:   x,
		clock:    w.newClock(),
		endpoint: w.incarnation(),
		mayStart: map[hsid.Incarnation]bool{},
		tasks:    map[hsid.Grant]*platformTask{},
	}
	w.Agents = append(w.Agents, a)
	a.Start()
	a.announceLoop()
	return a
}

// Role returns the running role; nil while the agent is down.
func (a *Agent) Role() *hsagent.Agent { return a.agent }

// FailAll sets whether the tasks that start on the worker from now on fail.
func (a *Agent) FailAll(fail bool) { a.worker.FailAll = fail }

// Peer returns the node's address.
func (a *Agent) Peer() hsstate.Peer { return a.peer }

// Worker returns the description of the worker.
func (a *Agent) Worker() Worker { return a.worker }

// Start starts the agent with a new incarnation, unless it is running.
func (a *Agent) Start() {
	if a.agent != nil {
		return
	}
	a.generation++
	a.ruleNumber = 0
	a.incarnation = a.w.incarnation()
	a.agent = hsagent.New(hsagent.Config{
		Instance:        a.worker.ID,
		Incarnation:     a.incarnation,
		Controls:        a.w.controlPeers(),
		Interval:        a.w.config.Interval,
		AnnouncementTTL: 5 * announceInterval,
	}, a.clock, a, a)
	a.timer = &wakeTimer{w: a.w, clock: a.clock, role: a.agent}
	a.timer.rearm()
	a.announce()
}

// Crash stops the agent; the endpoint and its tasks keep running.
func (a *Agent) Crash() {
	if a.agent == nil {
		return
	}
	a.generation++
	a.agent = nil
	a.timer.stopped = true
	for _, t := range a.tasks {
		t.watched = false
	}
}

// Renew implements hsagent.Platform.
func (a *Agent) Renew(endpoint hsid.Incarnation, lease time.Duration) {
	a.atEndpoint(endpoint, func() { a.renew(lease) })
}

// renew sets the end of the run lease. When it expires, the tasks that may run more than once are stopped.
func (a *Agent) renew(lease time.Duration) {
	a.leaseEnd = a.w.now + lease
	end := a.leaseEnd
	a.w.Schedule(end, func() {
		if a.leaseEnd != end {
			return
		}
		for _, g := range a.sortedGrants() {
			if t := a.tasks[g]; !t.record.Once {
				a.stopTask(t)
			}
		}
	})
}

func (a *Agent) stopTask(t *platformTask) {
	if t.run.Outcome != "" || t.stopping {
		return
	}
	t.stopping = true
	t.run.StopStartedAt = a.w.now
	a.w.Schedule(a.w.now+t.plan.Stop, func() {
		a.finish(t, hsagent.Result{Phase: hsmessage.TaskStopped, Reason: "stopped on request"})
	})
}

// Fail ends the agent and the endpoint with all its tasks, as when the instance is lost.
func (a *Agent) Fail() {
	a.Crash()
	a.RestartEndpoint()
	a.down = true
}

// Recover starts a failed instance again.
func (a *Agent) Recover() {
	a.down = false
	a.Start()
}

// RestartEndpoint ends the endpoint with all its tasks and starts a new one.
func (a *Agent) RestartEndpoint() {
	for _, t := range a.tasks {
		if t.run.Outcome == "" {
			t.run.Outcome = hsmessage.TaskLost
			t.run.Ended = a.w.now
		}
	}
	a.tasks = map[hsid.Grant]*platformTask{}
	a.endpoint = a.w.incarnation()
	a.mayStart = map[hsid.Incarnation]bool{}
	a.announce()
}

// announceLoop announces the endpoint at once and after every announceInterval.
func (a *Agent) announceLoop() {
	a.announce()
	a.w.Schedule(a.w.now+announceInterval, a.announceLoop)
}

func (a *Agent) announce() {
	if a.agent == nil || a.down {
		return
	}
	a.agent.HandleAnnouncement(hsmessage.Worker{
		Zone:     a.worker.Zone,
		Rack:     a.worker.Rack,
		Endpoint: a.endpoint,
		Groups:   hsshape.WholeWorker(a.worker.Accelerators),
		Cores:    30000,
		Memory:   128 * hsid.GiB,
		Leaving:  a.Leaving,
	})
	a.timer.rearm()
}

// Send sends a message over the simulated network.
func (a *Agent) Send(to hsstate.Peer, m hsmessage.Message) { a.w.send(a.peer, to, m) }

func (a *Agent) receive(from hsstate.Peer, m hsmessage.Message) {
	if a.agent == nil {
		return
	}
	a.agent.Receive(from, m)
	n, _ := a.agent.Rules()
	a.RulesRegressed = a.RulesRegressed || n < a.ruleNumber
	a.ruleNumber = n
	a.timer.rearm()
}

// platformDelay draws the delay of a call to or from the platform.
func (a *Agent) platformDelay() time.Duration {
	d := a.w.config.Latency
	if j := a.w.config.PlatformJitter; j > 0 {
		d += time.Duration(a.w.random.Int64N(int64(j)))
	}
	return d
}

// callAgent calls the agent after the platform's delay, unless it was stopped or restarted in the meantime.
func (a *Agent) callAgent(do func()) {
	generation := a.generation
	a.w.Schedule(a.w.now+a.platformDelay(), func() {
		if a.agent != nil && a.generation == generation {
			do()
			a.timer.rearm()
		}
	})
}

// atEndpoint runs a function at the endpoint after the platform's delay, unless the endpoint was replaced or is down.
func (a *Agent) atEndpoint(endpoint hsid.Incarnation, do func()) {
	a.w.Schedule(a.w.now+a.platformDelay(), func() {
		if a.endpoint == endpoint && !a.down {
			do()
		}
	})
}

// List implements hsagent.Platform. Calls of earlier incarnations of the agent get no answer.
func (a *Agent) List(endpoint, agent hsid.Incarnation) {
	a.atEndpoint(endpoint, func() {
		if agent != a.incarnation {
			return
		}
		a.fence(agent)
		records := make([]hsagent.Record, 0, len(a.tasks))
		for _, g := range a.sortedGrants() {
			records = append(records, a.tasks[g].record)
		}
		a.callAgent(func() { a.agent.HandleTaskList(endpoint, records, true) })
	})
}

// fence makes the endpoint refuse starts from all incarnations of the agent but this one.
func (a *Agent) fence(agent hsid.Incarnation) {
	clear(a.mayStart)
	a.mayStart[agent] = true
}

func (a *Agent) sortedGrants() []hsid.Grant {
	return slices.SortedFunc(maps.Keys(a.tasks), func(x, y hsid.Grant) int {
		if x.String() < y.String() {
			return -1
		}
		return 1
	})
}

// Run implements hsagent.Platform.
func (a *Agent) Run(endpoint, agent hsid.Incarnation, s hsagent.Start) {
	a.atEndpoint(endpoint, func() {
		if !a.mayStart[agent] {
			a.callAgent(func() {
				a.agent.HandleTaskEnd(s.Grant, hsagent.Result{Phase: hsmessage.TaskRefused, Reason: "an agent that was replaced"})
			})
			return
		}
		if a.tasks[s.Grant] == nil {
			a.renew(s.Lease)
			a.startTask(s)
		}
		a.tasks[s.Grant].watched = true
		a.callAgent(func() { a.agent.HandleStartConfirmed(s.Grant) })
	})
}

func (a *Agent) startTask(s hsagent.Start) {
	plan := defaultPlan
	if a.Plans != nil {
		plan = a.Plans(s.Spec.Kind, s.Spec.Input)
	}
	t := &platformTask{plan: plan}
	t.record = hsagent.Record{Grant: s.Grant, Accelerators: s.Accelerators, Once: s.Once, Running: true}
	t.run = &Run{Worker: a.worker.ID, Grant: s.Grant, Rank: s.Rank, Once: s.Once, Accelerators: s.Accelerators, Began: a.w.now}
	a.w.Runs = append(a.w.Runs, t.run)
	a.tasks[s.Grant] = t
	result := hsagent.Result{Phase: hsmessage.TaskDone, Answer: []byte(s.Grant.String())}
	result.Sum = hsadmission.Checksum(result.Answer)
	duration := plan.Run
	if a.worker.FailAll || plan.Fails {
		result = hsagent.Result{Phase: hsmessage.TaskFailed, Reason: "the task reported a failure"}
		duration = min(duration, 100*time.Millisecond)
	}
	a.w.Schedule(a.w.now+duration, func() { a.finish(t, result) })
}

// finish ends a task, unless it has ended. A stopping task can only end as stopped.
func (a *Agent) finish(t *platformTask, r hsagent.Result) {
	if t.run.Outcome != "" || t.stopping && r.Phase != hsmessage.TaskStopped {
		return
	}
	t.run.Outcome = r.Phase
	t.run.Ended = a.w.now
	t.record.Running = false
	t.record.Result = r
	a.reportEnd(t)
}

// reportEnd reports a task's result to the agent if it watches the task.
func (a *Agent) reportEnd(t *platformTask) {
	if t.watched {
		a.callAgent(func() { a.agent.HandleTaskEnd(t.record.Grant, t.record.Result) })
	}
}

// Watch implements hsagent.Platform.
func (a *Agent) Watch(endpoint hsid.Incarnation, g hsid.Grant) {
	a.atEndpoint(endpoint, func() {
		t := a.tasks[g]
		if t == nil {
			a.callAgent(func() {
				a.agent.HandleTaskEnd(g, hsagent.Result{Phase: hsmessage.TaskLost, Reason: "unknown to the endpoint"})
			})
			return
		}
		t.watched = true
		if !t.record.Running {
			a.reportEnd(t)
		}
	})
}

// Stop implements hsagent.Platform.
func (a *Agent) Stop(endpoint hsid.Incarnation, g hsid.Grant) {
	a.atEndpoint(endpoint, func() {
		if t := a.tasks[g]; t != nil {
			a.stopTask(t)
		}
	})
}

// Forget implements hsagent.Platform.
func (a *Agent) Forget(endpoint hsid.Incarnation, g hsid.Grant) {
	a.atEndpoint(endpoint, func() {
		if t := a.tasks[g]; t != nil && t.run.Outcome != "" {
			delete(a.tasks, g)
		}
	})
}
