package hsagent

import (
	"slices"
	"time"

	"hyssopseam/core/command/hsleaseclient"
	"hyssopseam/core/hsid"
	"hyssopseam/core/hsmessage"
	"hyssopseam/core/hsshape"
)

// task is a grant that the agent holds or has run, with what it reports about it.
type task struct {
	report hsmessage.Task
	// once is set for a job that must never run twice.
	once bool
	// startConfirmed is set once the platform has confirmed the start.
	startConfirmed bool
	stopping       bool
	stoppedAt      time.Time
	// dropped is set when the orders no longer list the grant. Its task is then forgotten once it has ended.
	dropped bool
}

// maxPreviousEndpoints is the number of earlier incarnations of the endpoint that are remembered.
const maxPreviousEndpoints = 16

// Agent implements the agent role of one process.
type Agent struct {
	config   Config
	clock    Clock
	sender   Sender
	platform Platform

	worker      hsmessage.Worker
	announcedAt time.Time
	// endpoint is the newest incarnation of the endpoint, also once its announcements have stopped, and
	// previousEndpoints holds those before it. Incarnations are random, so their order can't be told from them.
	endpoint          hsid.Incarnation
	previousEndpoints []hsid.Incarnation
	// tasksKnown is set once the platform has listed the endpoint's tasks, and listPending while the list is awaited.
	tasksKnown  bool
	listPending bool
	tasks       map[hsid.Grant]*task
	draining    bool

	leaseClient *hsleaseclient.Client
	// serial is that of the newest orders of the lease client's term; zero when there were none.
	serial hsid.Sequence
	// reportAt is when the next periodic report is sent; reportDue is set when one should be sent at once.
	reportAt  time.Time
	reportDue bool
	// runLease is the length of the run lease; zero before the first orders.
	runLease time.Duration
	// platformRenewedAt is when the platform's lease was last renewed.
	platformRenewedAt time.Time
}

// New returns an agent that knows neither its endpoint nor the leader. Zero times in c are replaced by their
// defaults.
func New(c Config, clock Clock, sender Sender, platform Platform) *Agent {
	c = c.WithDefaults()
	leaseConfig := hsleaseclient.Config{
		Instance:    c.Instance,
		Incarnation: c.Incarnation,
		Controls:    c.Controls,
		Interval:    c.Interval,
	}
	return &Agent{
		config:      c,
		clock:       clock,
		sender:      sender,
		platform:    platform,
		tasks:       map[hsid.Grant]*task{},
		leaseClient: hsleaseclient.New(leaseConfig, clock),
		reportAt:    clock.Now(),
	}
}

// HandleAnnouncement handles an announcement of the endpoint, which makes the worker available, or with Leaving set
// stops it from taking new work. An announcement with another value of Endpoint means that the endpoint was
// restarted. One that was replaced before is ignored, as its announcement arrived late.
func (a *Agent) HandleAnnouncement(w hsmessage.Worker) {
	if slices.Contains(a.previousEndpoints, w.Endpoint) {
		return
	}
	a.recordEndpoint(w.Endpoint)
	w.Instance = a.config.Instance
	w.Leaving = w.Leaving || a.draining
	if w.Endpoint != a.worker.Endpoint {
		a.replaceEndpoint(w.Endpoint)
	}
	if w.Leaving != a.worker.Leaving || w.Endpoint != a.worker.Endpoint {
		a.reportDue = true
	}
	a.worker = w
	a.announcedAt = a.clock.Now()
	if !a.tasksKnown && !a.listPending {
		a.listPending = true
		a.platform.List(w.Endpoint, a.config.Incarnation)
	}
	a.sendIfDue()
}

// recordEndpoint records the newest incarnation of the endpoint.
func (a *Agent) recordEndpoint(next hsid.Incarnation) {
	if next == a.endpoint {
		return
	}
	if a.endpoint != 0 {
		a.previousEndpoints = append(a.previousEndpoints, a.endpoint)
		a.previousEndpoints = a.previousEndpoints[max(0, len(a.previousEndpoints)-maxPreviousEndpoints):]
	}
	a.endpoint = next
}

// replaceEndpoint records the tasks on a replaced endpoint as lost and discards its list of tasks.
func (a *Agent) replaceEndpoint(next hsid.Incarnation) {
	if a.worker.Endpoint != 0 && next != 0 {
		for g, t := range a.tasks {
			if !t.report.Phase.Ended() {
				a.recordEnd(g, t, Result{Phase: hsmessage.TaskLost, Reason: "the endpoint restarted"})
			}
		}
	}
	a.tasksKnown = false
	a.listPending = false
}

// HandleTaskList handles the platform's list of tasks. With ok false the request failed, and Wake sends it again. A
// list of an earlier incarnation of the endpoint is ignored.
func (a *Agent) HandleTaskList(endpoint hsid.Incarnation, records []Record, ok bool) {
	if endpoint != a.worker.Endpoint {
		return
	}
	a.listPending = false
	if !ok {
		return
	}
	a.tasksKnown = true
	for _, r := range records {
		a.adopt(r)
	}
	a.reportDue = true
	a.sendIfDue()
}

// adopt takes over a task that an earlier incarnation of this agent started.
func (a *Agent) adopt(r Record) {
	if a.tasks[r.Grant] != nil {
		return
	}
	t := &task{once: r.Once, startConfirmed: true}
	t.report = hsmessage.Task{Grant: r.Grant, Accelerators: r.Accelerators, Phase: hsmessage.TaskRunning, Ran: true}
	a.tasks[r.Grant] = t
	if r.Running {
		a.platform.Watch(a.worker.Endpoint, r.Grant)
		return
	}
	a.recordEnd(r.Grant, t, r.Result)
}

// HandleStartConfirmed handles the platform's confirmation of a start. An unknown grant is ignored.
func (a *Agent) HandleStartConfirmed(g hsid.Grant) {
	if t := a.tasks[g]; t != nil {
		t.startConfirmed = true
	}
}

// HandleTaskEnd handles the end of a task. An unknown grant, or one whose end is known, is ignored.
func (a *Agent) HandleTaskEnd(g hsid.Grant, r Result) {
	t := a.tasks[g]
	if t == nil || t.report.Phase.Ended() {
		return
	}
	a.recordEnd(g, t, r)
	a.sendIfDue()
}

// recordEnd records how a task ended. The task is kept until the orders no longer list its grant.
func (a *Agent) recordEnd(g hsid.Grant, t *task, r Result) {
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
	a.reportDue = true
	if t.dropped {
		a.forget(g, t)
	}
}

// forget drops a grant, and lets the endpoint drop its record if the task was started there.
func (a *Agent) forget(g hsid.Grant, t *task) {
	delete(a.tasks, g)
	if t.report.Ran {
		a.platform.Forget(a.worker.Endpoint, g)
	}
}

// Drain stops the agent from taking new work before a planned shutdown. It reports whether the process may exit:
// every grant is started, the platform has confirmed every start, and every ended task is forgotten. Tasks that are
// still running remain on the platform, and the next incarnation of the agent adopts them.
func (a *Agent) Drain() bool {
	if !a.draining {
		a.draining = true
		a.worker.Leaving = true
		a.reportDue = true
		a.sendIfDue()
	}
	for _, t := range a.tasks {
		if t.report.Phase != hsmessage.TaskRunning || !t.startConfirmed {
			return false
		}
	}
	return true
}

// GrantCount returns the number of grants that the agent holds or has run and not forgotten yet.
func (a *Agent) GrantCount() int { return len(a.tasks) }

// overlaps reports whether a grant that hasn't ended uses any of the accelerators in s.
func (a *Agent) overlaps(s hsshape.Set) bool {
	for _, t := range a.tasks {
		if !t.report.Phase.Ended() && t.report.Accelerators.Overlaps(s) {
			return true
		}
	}
	return false
}
