// Package hsgang decides what becomes of a gang whose start was committed.
//
// A gang runs whole or not at all. As soon as one member is out, the others are stopped, and only when
// nothing of it runs any more is the attempt ended. Judge is the truth table: it turns what is known of
// the members into one decision. It is a pure function, so the order in which reports arrive, or how
// often they do, doesn't matter.
//
//	members                         may run again        never twice
//	all done                        answered             answered
//	one out, others live            stop the others      stop the others
//	all out, cancelled              cancelled            cancelled
//	all out, some failed            again, or failed     failed
//	all out, some lost              again                unknown
//	all out, some stopped           again                failed
//	all out, none ever ran          again                notRun
//
// # Usage
//
//	decision := hsgang.Judge(job, members, "")
//	if decision.Action == hsgang.Finish {
//		propose(decision.Outcome)
//	}
package hsgang

import (
	"fmt"
	"slices"
	"time"

	"hyssopseam/core/hsfleet"
	"hyssopseam/core/hsid"
	"hyssopseam/core/hsstate"
)

// Bounds of attempts.
const (
	// MaxFailedOn is the number of distinct workers on which a job may fail before it is given up.
	MaxFailedOn = 3
	// MaxLost is the number of attempts that may end without an answer before a job is given up.
	MaxLost = 20
)

// Action is what is to be done with a running gang.
type Action string

// The actions.
const (
	// Keep: let it run.
	Keep Action = "keep"
	// StopAll: stop the members that still run.
	StopAll Action = "stop"
	// Finish: it ended.
	Finish Action = "finish"
	// Requeue: the attempt ended and the job runs again.
	Requeue Action = "requeue"
)

// Decision is what Judge returns. Outcome and Answer are set with Finish.
type Decision struct {
	Action  Action
	Outcome hsstate.Outcome
	Ran     bool
	Detail  string
	Answer  []byte
	Sum     string
	// Lost is set when an attempt didn't end on purpose.
	Lost bool
	// FailedOn lists the workers that reported a failure.
	FailedOn []hsid.InstanceID
	StopTook time.Duration
}

// tally counts the members by evidence.
type tally struct {
	count  map[Evidence]int
	size   int
	reason string
}

func (t *tally) all(e Evidence) bool { return t.count[e] == t.size }

// open counts the members that may still run.
func (t *tally) open() int { return t.count[Live] + t.count[Pending] }

// Judge decides about a running job. Stop is set when the leader wants it to give way.
func Judge(j *hsstate.Job, members []Member, stop hsfleet.Stop) Decision {
	t := tally{count: map[Evidence]int{}, size: len(members)}
	d := Decision{Action: Keep}
	for _, m := range members {
		t.count[m.Evidence]++
		d.StopTook = max(d.StopTook, m.StopTook)
		if m.Evidence == Failed {
			d.FailedOn = append(d.FailedOn, m.Worker)
		}
		if t.reason == "" && m.Evidence != Live && m.Evidence != Pending && m.Evidence != Done {
			t.reason = fmt.Sprintf("%s on %s: %s", m.Evidence, m.Worker, m.Reason)
		}
	}
	d.Ran = t.count[Live]+t.count[Done]+t.count[Failed]+t.count[Stopped]+t.count[Lost] > 0
	d.Detail = t.reason
	if t.all(Done) {
		d.Action = Finish
		d.Outcome = hsstate.Answered
		d.Answer = members[0].Answer
		d.Sum = members[0].Sum
		return d
	}
	broken := t.count[Done]+t.open() < t.size
	if t.open() > 0 {
		if broken || j.Cancel || stop != "" {
			d.Action = StopAll
		}
		return d
	}
	return conclude(j, &t, d, stop)
}

// conclude decides once no member runs any more and not all are done.
func conclude(j *hsstate.Job, t *tally, d Decision, stop hsfleet.Stop) Decision {
	d.Action = Finish
	switch {
	case j.Cancel:
		d.Outcome = hsstate.Cancelled
		d.Detail = "cancelled by its caller"
	case j.Once:
		d.Outcome = onceOutcome(t)
	case t.count[Failed] > 0 && failedOn(j, d.FailedOn) >= MaxFailedOn:
		d.Outcome = hsstate.Failed
	case j.Lost >= MaxLost:
		d.Outcome = hsstate.Failed
		d.Detail = fmt.Sprintf("given up after %d attempts; %s", j.Lost+1, d.Detail)
	default:
		d.Action = Requeue
		d.Lost = stop == ""
	}
	return d
}

func onceOutcome(t *tally) hsstate.Outcome {
	switch {
	case t.count[Lost] > 0:
		return hsstate.Unknown
	case t.all(NeverRan):
		return hsstate.NotRun
	}
	return hsstate.Failed
}

// failedOn counts the distinct workers on which a job failed, with the newest ones.
func failedOn(j *hsstate.Job, newest []hsid.InstanceID) int {
	n := len(j.FailedOn)
	for _, w := range newest {
		if !slices.Contains(j.FailedOn, w) {
			n++
		}
	}
	return n
}
