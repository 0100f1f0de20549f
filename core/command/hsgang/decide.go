// Package hsgang decides how the attempt of a gang continues after its start was committed.
//
// A gang runs completely or not at all. As soon as one member ends without an answer, the others are stopped, and
// the attempt ends only once no member can still be running. Decide implements the decision table below. It is a
// pure function of the members' newest evidence, so the order and the number of their reports don't matter.
//
//	members                         may run again        at most once
//	all done                        answered             answered
//	one ended not done, others live stop the others      stop the others
//	all ended, cancelled            cancelled            cancelled
//	all ended, some failed          requeue, or failed   failed
//	all ended, some lost            requeue, or failed   unknown
//	all ended, some stopped         requeue, or failed   failed
//	all ended, none ever ran        requeue, or failed   notRun
//
// A job that may run again fails once it failed on MaxFailedOn workers, or after MaxFailedAttempts failed attempts.
//
// # Usage
//
//	decision := hsgang.Decide(job, members, "")
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

// Retry limits of jobs that may run again.
const (
	// MaxFailedOn is the number of distinct workers on which a job fails before its outcome is failed.
	MaxFailedOn = 3
	// MaxFailedAttempts is the number of attempts that may fail or be lost. After that many, the job fails when its
	// next attempt ends without an answer.
	MaxFailedAttempts = 20
)

// Action is what the leader does with a running gang.
type Action string

// The actions.
const (
	// Keep: let the gang run.
	Keep Action = "keep"
	// StopAll: stop the members that still run.
	StopAll Action = "stop"
	// Finish: the job ended with Decision.Outcome.
	Finish Action = "finish"
	// Requeue: the attempt ended, and the job is queued again.
	Requeue Action = "requeue"
)

// Decision is the result of Decide. Outcome is set with Finish; Answer and Sum are set when the outcome is answered.
type Decision struct {
	Action  Action
	Outcome hsstate.Outcome
	// Ran is set when any member ran, or may have run.
	Ran    bool
	Detail string
	Answer []byte
	Sum    string
	// Failed is set with Requeue when the leader didn't stop the attempt itself.
	Failed bool
	// FailedOn lists the workers that reported a failure.
	FailedOn []hsid.InstanceID
	// StopTook is the longest time that a member took to stop.
	StopTook time.Duration
}

// evidenceCounts counts the members by evidence.
type evidenceCounts struct {
	byEvidence map[Evidence]int
	members    int
	// firstReason describes the first member that ended without an answer.
	firstReason string
}

func (c *evidenceCounts) allAre(e Evidence) bool { return c.byEvidence[e] == c.members }

// unended counts the members that may still run.
func (c *evidenceCounts) unended() int { return c.byEvidence[Live] + c.byEvidence[Pending] }

// Decide decides what the leader does with a running job. Stop is set when the leader preempts the job, and empty
// otherwise.
func Decide(j *hsstate.Job, members []Member, stop hsfleet.StopReason) Decision {
	counts := evidenceCounts{byEvidence: map[Evidence]int{}, members: len(members)}
	d := Decision{Action: Keep}
	for _, m := range members {
		counts.byEvidence[m.Evidence]++
		d.StopTook = max(d.StopTook, m.StopTook)
		if m.Evidence == Failed {
			d.FailedOn = append(d.FailedOn, m.Worker)
		}
		if counts.firstReason == "" && m.Evidence != Live && m.Evidence != Pending && m.Evidence != Done {
			counts.firstReason = fmt.Sprintf("%s on %s: %s", m.Evidence, m.Worker, m.Reason)
		}
	}
	d.Ran = counts.byEvidence[Live]+counts.byEvidence[Done]+counts.byEvidence[Failed]+counts.byEvidence[Stopped]+counts.byEvidence[Lost] > 0
	d.Detail = counts.firstReason
	if counts.allAre(Done) {
		d.Action = Finish
		d.Outcome = hsstate.Answered
		d.Answer = members[0].Answer
		d.Sum = members[0].Sum
		return d
	}
	attemptFailed := counts.byEvidence[Done]+counts.unended() < counts.members
	if counts.unended() > 0 {
		if attemptFailed || j.Cancel || stop != "" {
			d.Action = StopAll
		}
		return d
	}
	return decideEnded(j, &counts, d, stop)
}

// decideEnded decides about an attempt of which no member runs any more and not all are done.
func decideEnded(j *hsstate.Job, counts *evidenceCounts, d Decision, stop hsfleet.StopReason) Decision {
	d.Action = Finish
	switch {
	case j.Cancel:
		d.Outcome = hsstate.Cancelled
		d.Detail = "cancelled by its caller"
	case j.Once:
		d.Outcome = outcomeOfOnce(counts)
	case counts.byEvidence[Failed] > 0 && failedWorkers(j, d.FailedOn) >= MaxFailedOn:
		d.Outcome = hsstate.Failed
	case j.FailedAttempts >= MaxFailedAttempts:
		d.Outcome = hsstate.Failed
		d.Detail = fmt.Sprintf("given up after %d attempts; %s", j.FailedAttempts+1, d.Detail)
	default:
		d.Action = Requeue
		d.Failed = stop == ""
	}
	return d
}

// outcomeOfOnce returns the outcome of a job that must not run twice and ended without an answer.
func outcomeOfOnce(counts *evidenceCounts) hsstate.Outcome {
	switch {
	case counts.byEvidence[Lost] > 0:
		return hsstate.Unknown
	case counts.allAre(NeverRan):
		return hsstate.NotRun
	}
	return hsstate.Failed
}

// failedWorkers counts the distinct workers on which a job failed, in earlier attempts and in the latest one.
func failedWorkers(j *hsstate.Job, latest []hsid.InstanceID) int {
	count := len(j.FailedOn)
	for _, w := range latest {
		if !slices.Contains(j.FailedOn, w) {
			count++
		}
	}
	return count
}
