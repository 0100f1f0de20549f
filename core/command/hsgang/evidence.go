package hsgang

import (
	"time"

	"hyssopseam/core/hsfleet"
	"hyssopseam/core/hsid"
	"hyssopseam/core/hsmessage"
	"hyssopseam/core/hsstate"
)

// Evidence is what the leader knows about the state of one member of a started gang.
type Evidence string

// The kinds of evidence.
const (
	// Pending: nothing is known yet.
	Pending Evidence = "pending"
	// Live: the member holds its accelerators, and runs or is about to run.
	Live Evidence = "live"
	// Done: the member ran to its end and returned a complete answer.
	Done Evidence = "done"
	// Failed: the member ran and reported a failure.
	Failed Evidence = "failed"
	// Stopped: the member ran and was stopped.
	Stopped Evidence = "stopped"
	// NeverRan: the member is proven not to have run, and will not run.
	NeverRan Evidence = "neverRan"
	// Lost: whether the member ran to its end can't be determined.
	Lost Evidence = "lost"
)

// Member is one member of a gang and the evidence about it.
type Member struct {
	Worker   hsid.InstanceID
	Evidence Evidence
	Reason   string
	Answer   []byte
	Sum      string
	StopTook time.Duration
}

// EvidenceOf derives the evidence about a member from the newest report of its worker. The worker is nil when it
// hasn't reported to this leader. Lost is set once the worker's run lease has expired.
func EvidenceOf(g hsid.Grant, p hsstate.Placement, w *hsfleet.Worker, lost bool) Member {
	m := Member{Worker: p.Worker, Evidence: Pending}
	if lost {
		m.Evidence = Lost
		m.Reason = "the worker was silent past its run lease"
		return m
	}
	if w == nil {
		return m
	}
	t := w.Task(g)
	restarted := w.Report.Incarnation != p.Incarnation
	switch {
	case t != nil && (t.Ran || !t.Phase.Ended() || !restarted):
		return observeTask(m, t)
	case !w.Report.TasksKnown:
		return m
	}
	// Either the report doesn't list the grant, or an agent that restarted since the placement reports that the
	// task ended without running. The latter proves nothing about the time before the restart.
	return observeAbsence(m, g, p, w)
}

// observeTask maps the phase that the agent reports for the task to evidence.
func observeTask(m Member, t *hsmessage.Task) Member {
	m.Reason = t.Reason
	m.StopTook = t.StopTook
	switch t.Phase {
	case hsmessage.TaskHeld, hsmessage.TaskRunning:
		m.Evidence = Live
	case hsmessage.TaskDone:
		m.Evidence = Done
		m.Answer = t.Answer
		m.Sum = t.Sum
	case hsmessage.TaskFailed:
		m.Evidence = Failed
	case hsmessage.TaskLost:
		m.Evidence = Lost
	case hsmessage.TaskStopped, hsmessage.TaskRefused:
		m.Evidence = NeverRan
		if t.Ran {
			m.Evidence = Stopped
		}
	}
	return m
}

// observeAbsence derives the evidence from a report without a usable entry for the grant. An agent lists every
// grant that it was ordered to hold, so an entry is missing because the agent hasn't received the orders, or
// because it restarted. The endpoint keeps the results of its tasks until the agent collects them: if the endpoint
// wasn't replaced and the agent doesn't know the grant, the member never ran.
func observeAbsence(m Member, g hsid.Grant, p hsstate.Placement, w *hsfleet.Worker) Member {
	restarted := w.Report.Incarnation != p.Incarnation
	replaced := w.Report.Worker.Endpoint != p.Endpoint
	switch {
	case restarted && w.Report.Worker.Endpoint == 0:
		return m
	case restarted && replaced:
		m.Evidence = Lost
		m.Reason = "agent and endpoint were replaced"
	case restarted:
		m.Evidence = NeverRan
		m.Reason = "the agent restarted before the start"
	case w.HasSeenOrder(g):
		m.Evidence = NeverRan
		m.Reason = "the agent doesn't hold the grant"
	}
	return m
}
