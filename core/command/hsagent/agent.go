package hsagent

import (
	"time"

	"hyssopseam/core/command/hsholder"
	"hyssopseam/core/hsid"
	"hyssopseam/core/hsmessage"
	"hyssopseam/core/hsshape"
)

// task is one grant that the agent holds or has run.
type task struct {
	report hsmessage.Task
	once   bool
	// accepted is set once the platform confirmed the start.
	accepted  bool
	stopping  bool
	stoppedAt time.Time
	// dropped is set when the orders no longer list the grant: it is forgotten once it has ended.
	dropped bool
}

// Agent is the agent role of one process.
type Agent struct {
	config   Config
	clock    Clock
	sender   Sender
	platform Platform

	worker      hsmessage.Worker
	announcedAt time.Time
	listed      bool
	listAsked   bool
	tasks       map[hsid.Grant]*task
	draining    bool

	holder *hsholder.Holder
	// serial is that of the newest orders of the holder's term.
	serial   hsid.Sequence
	reportAt time.Time
	changed  bool
	runFor   time.Duration
	// renewedAt is when the platform's lease was renewed last.
	renewedAt time.Time
}

// New returns an agent that knows neither its endpoint nor the leader.
func New(c Config, clock Clock, sender Sender, platform Platform) *Agent {
	c = c.WithDefaults()
	holder := hsholder.Config{
		Instance:    c.Instance,
		Incarnation: c.Incarnation,
		Controls:    c.Controls,
		Interval:    c.Interval,
	}
	return &Agent{
		config:   c,
		clock:    clock,
		sender:   sender,
		platform: platform,
		tasks:    map[hsid.Grant]*task{},
		holder:   hsholder.New(holder, clock),
		reportAt: clock.Now(),
	}
}

// Announce takes an announcement of the endpoint. It says that the worker is there, or with Leaving
// that it takes no new work from now on.
func (a *Agent) Announce(w hsmessage.Worker) {
	w.Instance = a.config.Instance
	w.Leaving = w.Leaving || a.draining
	if w.Endpoint != a.worker.Endpoint {
		a.replaceEndpoint(w.Endpoint)
	}
	if w.Leaving != a.worker.Leaving || w.Endpoint != a.worker.Endpoint {
		a.changed = true
	}
	a.worker = w
	a.announcedAt = a.clock.Now()
	if !a.listed && !a.listAsked {
		a.listAsked = true
		a.platform.List(w.Endpoint, a.config.Incarnation)
	}
	a.flush()
}

// replaceEndpoint writes off what ran on an endpoint that was replaced.
func (a *Agent) replaceEndpoint(next hsid.Incarnation) {
	if a.worker.Endpoint != 0 && next != 0 {
		for g, t := range a.tasks {
			if !t.report.Phase.Ended() {
				a.settle(g, t, Result{Phase: hsmessage.TaskLost, Reason: "the endpoint restarted"})
			}
		}
	}
	a.listed = false
	a.listAsked = false
}

// Listed takes what the platform knows. An error is reported by ok false; the list is asked for again.
func (a *Agent) Listed(endpoint hsid.Incarnation, records []Record, ok bool) {
	if endpoint != a.worker.Endpoint {
		return
	}
	a.listAsked = false
	if !ok {
		return
	}
	a.listed = true
	for _, r := range records {
		a.adopt(r)
	}
	a.changed = true
	a.flush()
}

// adopt takes over a task that an earlier life of this agent started.
func (a *Agent) adopt(r Record) {
	if a.tasks[r.Grant] != nil {
		return
	}
	t := &task{once: r.Once, accepted: true}
	t.report = hsmessage.Task{Grant: r.Grant, Accelerators: r.Accelerators, Phase: hsmessage.TaskRunning, Ran: true}
	a.tasks[r.Grant] = t
	if r.Running {
		a.platform.Watch(a.worker.Endpoint, r.Grant)
		return
	}
	a.settle(r.Grant, t, r.Result)
}

// Accepted tells that the platform has taken a start.
func (a *Agent) Accepted(g hsid.Grant) {
	if t := a.tasks[g]; t != nil {
		t.accepted = true
	}
}

// Ended takes the end of a task.
func (a *Agent) Ended(g hsid.Grant, r Result) {
	t := a.tasks[g]
	if t == nil || t.report.Phase.Ended() {
		return
	}
	a.settle(g, t, r)
	a.flush()
}

// settle records how a task ended. It is kept until the orders no longer list it.
func (a *Agent) settle(g hsid.Grant, t *task, r Result) {
	t.report.Phase = r.Phase
	t.report.Reason = r.Reason
	t.report.Answer = r.Answer
	t.report.Sum = r.Sum
	if t.stopping && r.Phase == hsmessage.TaskStopped {
		t.report.StopTook = max(a.clock.Now().Sub(t.stoppedAt), time.Millisecond)
	}
	if r.Phase == hsmessage.TaskRefused {
		t.report.Ran = false
	}
	a.changed = true
	if t.dropped {
		a.forget(g, t)
	}
}

func (a *Agent) forget(g hsid.Grant, t *task) {
	delete(a.tasks, g)
	if t.report.Ran {
		a.platform.Forget(a.worker.Endpoint, g)
	}
}

// Drain has the agent take no new work before a planned stop. It reports whether the process may end:
// nothing is held, every start is taken by the platform, and every answer is collected. Tasks that
// still run stay with the platform, and the next life of the agent adopts them.
func (a *Agent) Drain() bool {
	if !a.draining {
		a.draining = true
		a.worker.Leaving = true
		a.changed = true
		a.flush()
	}
	for _, t := range a.tasks {
		if t.report.Phase != hsmessage.TaskRunning || !t.accepted {
			return false
		}
	}
	return true
}

// Busy returns the number of grants that the agent holds.
func (a *Agent) Busy() int { return len(a.tasks) }

// overlaps reports whether any grant that hasn't ended holds one of the accelerators.
func (a *Agent) overlaps(s hsshape.Set) bool {
	for _, t := range a.tasks {
		if !t.report.Phase.Ended() && t.report.Accelerators.Overlaps(s) {
			return true
		}
	}
	return false
}
