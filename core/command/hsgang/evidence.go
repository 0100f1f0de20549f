package hsgang

import (
	"time"

	"hyssopseam/core/hsfleet"
	"hyssopseam/core/hsid"
	"hyssopseam/core/hsmessage"
	"hyssopseam/core/hsstate"
)

// Evidence is what is known about one member of a started gang.
type Evidence string

// The kinds of evidence.
const (
	// Pending: nothing is known yet.
	Pending Evidence = "pending"
	// Live: it holds its accelerators and runs or is about to.
	Live Evidence = "live"
	// Done: it ran to its end and its answer is whole.
	Done Evidence = "done"
	// Failed: it ran and reported a failure.
	Failed Evidence = "failed"
	// Stopped: it ran and was stopped.
	Stopped Evidence = "stopped"
	// NeverRan: there is proof that it didn't run and won't.
	NeverRan Evidence = "neverRan"
	// Lost: its fate can't be found out.
	Lost Evidence = "lost"
)

// Member is one member of a gang with what is known about it.
type Member struct {
	Worker   hsid.InstanceID
	Evidence Evidence
	Reason   string
	Answer   []byte
	Sum      string
	StopTook time.Duration
}

// Observe tells what the newest report of a worker proves about a member. The worker is nil when it
// hasn't reported to this leader; lost is set once its run lease is over.
func Observe(g hsid.Grant, p hsstate.Placement, w *hsfleet.Worker, lost bool) Member {
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
	case !w.Report.Listed:
		return m
	}
	// A later life of the agent speaks for itself only when it says that it didn't run the task.
	return observeAbsence(m, g, p, w)
}

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

// observeAbsence judges a report that doesn't list the grant. An agent lists what it was ordered to
// hold, so the grant is missing because the agent hasn't seen the orders, or because it restarted. The
// endpoint keeps what it ran until the agent has it collected: if it is the same one, the member never
// ran there.
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
	case w.Reflects(g):
		m.Evidence = NeverRan
		m.Reason = "the agent doesn't hold the grant"
	}
	return m
}
