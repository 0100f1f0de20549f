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

// announceEvery is the time between two announcements of an endpoint.
const announceEvery = 2 * time.Second

// Worker describes a worker.
type Worker struct {
	ID           hsid.InstanceID
	Zone         hsid.ZoneID
	Rack         hsid.RackID
	Accelerators hsid.Accelerators
	// FailAll makes every task fail at once.
	FailAll bool
}

// Run is one line of the book: a task that a platform was made to run.
type Run struct {
	Worker       hsid.InstanceID
	Grant        hsid.Grant
	Rank         int
	Once         bool
	Accelerators hsshape.Set
	Began        time.Duration
	Ended        time.Duration
	// StopAsked is when the platform was made to stop it; zero for never.
	StopAsked time.Duration
	// Outcome is empty while it runs.
	Outcome hsmessage.TaskPhase
}

// Plan says how a job's tasks behave on a platform.
type Plan struct {
	Run  time.Duration
	Stop time.Duration
	// Fails makes the tasks fail on every worker.
	Fails bool
}

// plans returns the plan of a job by its kind. A nil function runs everything for a second.
type plans func(kind hsid.JobKind, input []byte) Plan

// Plans is what the platforms ask for the plan of a task.
var defaultPlan = Plan{Run: time.Second, Stop: 100 * time.Millisecond}

// ptask is a task on a platform.
type ptask struct {
	record   hsagent.Record
	run      *Run
	plan     Plan
	watched  bool
	stopping bool
}

// Agent is one worker: the agent, and the platform with its endpoint, which survives the agent.
type Agent struct {
	w      *World
	peer   hsstate.Peer
	worker Worker
	clock  clock
	agent  *hsagent.Agent
	alarm  *alarm
	life   int

	// Plans decides how tasks behave.
	Plans    plans
	endpoint hsid.Incarnation
	down     bool
	leaseEnd time.Duration
	Leaving  bool
	current  hsid.Incarnation
	allowed  map[hsid.Incarnation]bool
	tasks    map[hsid.Grant]*ptask
	// numbers are the rule numbers that this life of the agent has acted on, for checks.
	number hsid.RuleNumber
	// WentBack is set when the agent went back to an older rule number.
	WentBack bool
}

// AddWorker adds a worker and starts it.
func (w *World) AddWorker(x Worker) *Agent {
	a := &Agent{
		w:        w,
		peer:     hsstate.Peer(x.ID),
		worker:   x,
		clock:    w.newClock(),
		endpoint: w.incarnation(),
		allowed:  map[hsid.Incarnation]bool{},
		tasks:    map[hsid.Grant]*ptask{},
	}
	w.Agents = append(w.Agents, a)
	a.Start()
	a.announceAll()
	return a
}

// Role returns the running role; nil while the agent is down.
func (a *Agent) Role() *hsagent.Agent { return a.agent }

// FailAll makes every task on the worker fail from now on, or no longer.
func (a *Agent) FailAll(fail bool) { a.worker.FailAll = fail }

// Peer returns the node's address.
func (a *Agent) Peer() hsstate.Peer { return a.peer }

// Worker returns what the worker is.
func (a *Agent) Worker() Worker { return a.worker }

// Start starts the agent.
func (a *Agent) Start() {
	if a.agent != nil {
		return
	}
	a.life++
	a.number = 0
	a.current = a.w.incarnation()
	a.agent = hsagent.New(hsagent.Config{
		Instance:    a.worker.ID,
		Incarnation: a.current,
		Controls:    a.w.controlPeers(),
		Interval:    a.w.config.Interval,
		Announce:    5 * announceEvery,
	}, a.clock, a, a)
	a.alarm = &alarm{w: a.w, clock: a.clock, role: a.agent}
	a.alarm.rearm()
	a.announce()
}

// Crash ends the agent; the endpoint goes on.
func (a *Agent) Crash() {
	if a.agent == nil {
		return
	}
	a.life++
	a.agent = nil
	a.alarm.ended = true
	for _, t := range a.tasks {
		t.watched = false
	}
}

// Renew implements hsagent.Platform.
func (a *Agent) Renew(endpoint hsid.Incarnation, lease time.Duration) {
	a.atEndpoint(endpoint, func() { a.renew(lease) })
}

// renew lets the tasks run until the lease is over, and then stops those that may run again.
func (a *Agent) renew(lease time.Duration) {
	a.leaseEnd = a.w.now + lease
	end := a.leaseEnd
	a.w.At(end, func() {
		if a.leaseEnd != end {
			return
		}
		for _, g := range a.grants() {
			if t := a.tasks[g]; !t.record.Once {
				a.stop(t)
			}
		}
	})
}

func (a *Agent) stop(t *ptask) {
	if t.run.Outcome != "" || t.stopping {
		return
	}
	t.stopping = true
	t.run.StopAsked = a.w.now
	a.w.At(a.w.now+t.plan.Stop, func() {
		a.finish(t, hsagent.Result{Phase: hsmessage.TaskStopped, Reason: "stopped on request"})
	})
}

// Fail ends agent and endpoint with all tasks, as when the instance is lost.
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
	a.tasks = map[hsid.Grant]*ptask{}
	a.endpoint = a.w.incarnation()
	a.allowed = map[hsid.Incarnation]bool{}
	a.announce()
}

func (a *Agent) announceAll() {
	a.announce()
	a.w.At(a.w.now+announceEvery, a.announceAll)
}

func (a *Agent) announce() {
	if a.agent == nil || a.down {
		return
	}
	a.agent.Announce(hsmessage.Worker{
		Zone:     a.worker.Zone,
		Rack:     a.worker.Rack,
		Endpoint: a.endpoint,
		Groups:   hsshape.WholeWorker(a.worker.Accelerators),
		Cores:    30000,
		Memory:   128 * hsid.GiB,
		Leaving:  a.Leaving,
	})
	a.alarm.rearm()
}

// Send puts a message on its way.
func (a *Agent) Send(to hsstate.Peer, m hsmessage.Message) { a.w.send(a.peer, to, m) }

func (a *Agent) receive(from hsstate.Peer, m hsmessage.Message) {
	if a.agent == nil {
		return
	}
	a.agent.Receive(from, m)
	n, _ := a.agent.Rules()
	a.WentBack = a.WentBack || n < a.number
	a.number = n
	a.alarm.rearm()
}

// delay is what a call to or from the platform takes.
func (a *Agent) delay() time.Duration {
	d := a.w.config.Latency
	if j := a.w.config.PlatformJitter; j > 0 {
		d += time.Duration(a.w.random.Int64N(int64(j)))
	}
	return d
}

// later tells this life of the agent something after the platform's latency.
func (a *Agent) later(do func()) {
	life := a.life
	a.w.At(a.w.now+a.delay(), func() {
		if a.agent != nil && a.life == life {
			do()
			a.alarm.rearm()
		}
	})
}

// atEndpoint does something at the endpoint after the platform's latency, unless it was replaced.
func (a *Agent) atEndpoint(endpoint hsid.Incarnation, do func()) {
	a.w.At(a.w.now+a.delay(), func() {
		if a.endpoint == endpoint && !a.down {
			do()
		}
	})
}

// List implements hsagent.Platform.
func (a *Agent) List(endpoint, agent hsid.Incarnation) {
	a.atEndpoint(endpoint, func() {
		if agent != a.current {
			return
		}
		a.fence(agent)
		records := make([]hsagent.Record, 0, len(a.tasks))
		for _, g := range a.grants() {
			records = append(records, a.tasks[g].record)
		}
		a.later(func() { a.agent.Listed(endpoint, records, true) })
	})
}

// fence has the endpoint refuse starts of all agents but the newest.
func (a *Agent) fence(agent hsid.Incarnation) {
	clear(a.allowed)
	a.allowed[agent] = true
}

func (a *Agent) grants() []hsid.Grant {
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
		if !a.allowed[agent] {
			a.later(func() {
				a.agent.Ended(s.Grant, hsagent.Result{Phase: hsmessage.TaskRefused, Reason: "an agent that was replaced"})
			})
			return
		}
		if a.tasks[s.Grant] == nil {
			a.renew(s.Lease)
			a.begin(s)
		}
		a.tasks[s.Grant].watched = true
		a.later(func() { a.agent.Accepted(s.Grant) })
	})
}

func (a *Agent) begin(s hsagent.Start) {
	plan := defaultPlan
	if a.Plans != nil {
		plan = a.Plans(s.Spec.Kind, s.Spec.Input)
	}
	t := &ptask{plan: plan}
	t.record = hsagent.Record{Grant: s.Grant, Accelerators: s.Accelerators, Once: s.Once, Running: true}
	t.run = &Run{Worker: a.worker.ID, Grant: s.Grant, Rank: s.Rank, Once: s.Once, Accelerators: s.Accelerators, Began: a.w.now}
	a.w.Book = append(a.w.Book, t.run)
	a.tasks[s.Grant] = t
	result := hsagent.Result{Phase: hsmessage.TaskDone, Answer: []byte(s.Grant.String())}
	result.Sum = hsadmission.Sum(result.Answer)
	length := plan.Run
	if a.worker.FailAll || plan.Fails {
		result = hsagent.Result{Phase: hsmessage.TaskFailed, Reason: "the task reported a failure"}
		length = min(length, 100*time.Millisecond)
	}
	a.w.At(a.w.now+length, func() { a.finish(t, result) })
}

// finish ends a task, unless it ended before.
func (a *Agent) finish(t *ptask, r hsagent.Result) {
	if t.run.Outcome != "" || t.stopping && r.Phase != hsmessage.TaskStopped {
		return
	}
	t.run.Outcome = r.Phase
	t.run.Ended = a.w.now
	t.record.Running = false
	t.record.Result = r
	a.tell(t)
}

func (a *Agent) tell(t *ptask) {
	if t.watched {
		a.later(func() { a.agent.Ended(t.record.Grant, t.record.Result) })
	}
}

// Watch implements hsagent.Platform.
func (a *Agent) Watch(endpoint hsid.Incarnation, g hsid.Grant) {
	a.atEndpoint(endpoint, func() {
		t := a.tasks[g]
		if t == nil {
			a.later(func() { a.agent.Ended(g, hsagent.Result{Phase: hsmessage.TaskLost, Reason: "unknown to the endpoint"}) })
			return
		}
		t.watched = true
		if !t.record.Running {
			a.tell(t)
		}
	})
}

// Stop implements hsagent.Platform.
func (a *Agent) Stop(endpoint hsid.Incarnation, g hsid.Grant) {
	a.atEndpoint(endpoint, func() {
		if t := a.tasks[g]; t != nil {
			a.stop(t)
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
