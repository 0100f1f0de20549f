package hsgang_test

import (
	"testing"

	"hyssopseam/core/command/hsgang"
	"hyssopseam/core/hsfleet"
	"hyssopseam/core/hsid"
	"hyssopseam/core/hsmessage"
	"hyssopseam/core/hsstate"
)

// TestDecide checks the decision table of the package comment.
func TestDecide(t *testing.T) {
	type es = []hsgang.Evidence
	once := hsstate.Job{Once: true}
	again := hsstate.Job{}
	cancelled := hsstate.Job{Cancel: true}
	tooManyFailed := hsstate.Job{FailedAttempts: hsgang.MaxFailedAttempts}
	failedTwice := hsstate.Job{FailedOn: []hsid.InstanceID{"x", "y"}}
	tables := []struct {
		name     string
		job      hsstate.Job
		evidence es
		stop     hsfleet.StopReason
		action   hsgang.Action
		outcome  hsstate.Outcome
		ran      bool
	}{
		{"runs", again, es{hsgang.Live, hsgang.Live}, "", hsgang.Keep, "", true},
		{"nothing known", again, es{hsgang.Pending, hsgang.Live}, "", hsgang.Keep, "", true},
		{"one done early", again, es{hsgang.Done, hsgang.Live}, "", hsgang.Keep, "", true},
		{"all done", once, es{hsgang.Done, hsgang.Done}, "", hsgang.Finish, hsstate.Answered, true},
		{"all done although cancelled", cancelled, es{hsgang.Done}, "", hsgang.Finish, hsstate.Answered, true},
		{"one lost stops the rest", again, es{hsgang.Lost, hsgang.Live}, "", hsgang.StopAll, "", true},
		{"one failed stops the rest", once, es{hsgang.Failed, hsgang.Live}, "", hsgang.StopAll, "", true},
		{"one never ran stops the rest", once, es{hsgang.NeverRan, hsgang.Pending}, "", hsgang.StopAll, "", false},
		{"cancel stops all", cancelled, es{hsgang.Live}, "", hsgang.StopAll, "", true},
		{"preemption stops all", again, es{hsgang.Live}, hsfleet.StopPreempted, hsgang.StopAll, "", true},
		{"preempted", again, es{hsgang.Stopped, hsgang.Stopped}, hsfleet.StopPreempted, hsgang.Requeue, "", true},
		{"cancelled while running", cancelled, es{hsgang.Stopped}, "", hsgang.Finish, hsstate.Cancelled, true},
		{"cancelled before it ran", cancelled, es{hsgang.NeverRan}, "", hsgang.Finish, hsstate.Cancelled, false},
		{"lost, may run again", again, es{hsgang.Lost, hsgang.Stopped}, "", hsgang.Requeue, "", true},
		{"lost, at most once", once, es{hsgang.Lost, hsgang.Done}, "", hsgang.Finish, hsstate.Unknown, true},
		{"stopped, at most once", once, es{hsgang.Stopped, hsgang.NeverRan}, "", hsgang.Finish, hsstate.Failed, true},
		{"proven not run, at most once", once, es{hsgang.NeverRan, hsgang.NeverRan}, "", hsgang.Finish, hsstate.NotRun, false},
		{"failed, at most once", once, es{hsgang.Failed}, "", hsgang.Finish, hsstate.Failed, true},
		{"failed on a first worker", again, es{hsgang.Failed}, "", hsgang.Requeue, "", true},
		{"failed on a third worker", failedTwice, es{hsgang.Failed}, "", hsgang.Finish, hsstate.Failed, true},
		{"too many lost attempts", tooManyFailed, es{hsgang.Lost}, "", hsgang.Finish, hsstate.Failed, true},
	}
	for _, tt := range tables {
		var members []hsgang.Member
		for _, e := range tt.evidence {
			members = append(members, hsgang.Member{Worker: "w", Evidence: e})
		}
		d := hsgang.Decide(&tt.job, members, tt.stop)
		if d.Action != tt.action || d.Outcome != tt.outcome || d.Ran != tt.ran {
			t.Errorf("%s: got %s %q ran %v, want %s %q ran %v", tt.name, d.Action, d.Outcome, d.Ran, tt.action, tt.outcome, tt.ran)
		}
	}
}

// TestEvidenceOf checks what a report proves about a member that was placed under incarnation 1 of the agent and of
// the endpoint.
func TestEvidenceOf(t *testing.T) {
	g := hsid.Grant{Job: "j", Attempt: 1, Term: 1}
	p := hsstate.Placement{Worker: "w", Incarnation: 1, Endpoint: 1}
	task := func(phase hsmessage.TaskPhase, ran bool) []hsmessage.Task {
		return []hsmessage.Task{{Grant: g, Phase: phase, Ran: ran}}
	}
	tables := []struct {
		name       string
		agent      hsid.Incarnation
		endpoint   hsid.Incarnation
		tasksKnown bool
		serial     hsid.Sequence
		tasks      []hsmessage.Task
		lost       bool
		want       hsgang.Evidence
	}{
		{"held", 1, 1, true, 5, task(hsmessage.TaskHeld, false), false, hsgang.Live},
		{"running", 1, 1, true, 5, task(hsmessage.TaskRunning, true), false, hsgang.Live},
		{"adopted by a later agent", 2, 1, true, 0, task(hsmessage.TaskRunning, true), false, hsgang.Live},
		{"done", 1, 1, true, 5, task(hsmessage.TaskDone, true), false, hsgang.Done},
		{"refused", 1, 1, true, 5, task(hsmessage.TaskRefused, false), false, hsgang.NeverRan},
		{"stopped before it ran", 1, 1, true, 5, task(hsmessage.TaskStopped, false), false, hsgang.NeverRan},
		{"stopped", 1, 1, true, 5, task(hsmessage.TaskStopped, true), false, hsgang.Stopped},
		{"orders not seen yet", 1, 1, true, 2, nil, false, hsgang.Pending},
		{"orders seen, not held", 1, 1, true, 3, nil, false, hsgang.NeverRan},
		{"restarted, tasks not listed yet", 2, 1, false, 0, nil, false, hsgang.Pending},
		{"restarted, refused before tasks were listed", 2, 1, false, 0, task(hsmessage.TaskRefused, false), false, hsgang.Pending},
		{"restarted, same endpoint, absent", 2, 1, true, 0, nil, false, hsgang.NeverRan},
		{"restarted, endpoint replaced", 2, 2, true, 0, nil, false, hsgang.Lost},
		{"restarted, endpoint replaced, refused", 2, 2, true, 0, task(hsmessage.TaskRefused, false), false, hsgang.Lost},
		{"restarted, no endpoint", 2, 0, true, 0, nil, false, hsgang.Pending},
		{"silent past the run lease", 1, 1, true, 5, task(hsmessage.TaskRunning, true), true, hsgang.Lost},
	}
	for _, tt := range tables {
		w := &hsfleet.Worker{FirstSerials: map[hsid.Grant]hsid.Sequence{g: 3}}
		w.Report.Incarnation = tt.agent
		w.Report.Worker.Endpoint = tt.endpoint
		w.Report.TasksKnown = tt.tasksKnown
		w.Report.Serial = tt.serial
		w.Report.Tasks = tt.tasks
		if got := hsgang.EvidenceOf(g, p, w, tt.lost).Evidence; got != tt.want {
			t.Errorf("%s: got %s, want %s", tt.name, got, tt.want)
		}
	}
	if got := hsgang.EvidenceOf(g, p, nil, false).Evidence; got != hsgang.Pending {
		t.Errorf("unreported worker: got %s, want pending", got)
	}
}
