package hsadmission

import (
	"slices"

	"hyssopseam/core/hsid"
	"hyssopseam/core/hsstate"
)

// Start commits the start of an attempt. It reports false and changes nothing when the job isn't
// queued any more, when the attempt isn't a later one, or when a job that never runs twice was
// started before.
func Start(s *hsstate.State, c *hsstate.StartGang) bool {
	j := s.Jobs[c.Grant.Job]
	if j == nil || j.Phase != hsstate.Queued || c.Grant.Attempt <= j.Attempt {
		return false
	}
	if j.Once && j.Attempt > 0 {
		return false
	}
	s.Queued[j.Spec.Workspace]--
	j.Phase = hsstate.Running
	j.Attempt = c.Grant.Attempt
	j.Grant = c.Grant
	j.Members = c.Members
	j.StartRules = c.Rules
	j.Started = s.Clock
	return true
}

// Requeue ends an attempt and queues the job again. Jobs that never run twice stay as they are.
func Requeue(s *hsstate.State, c *hsstate.RequeueJob) bool {
	j := s.Jobs[c.Job]
	if j == nil || j.Phase != hsstate.Running || j.Attempt != c.Attempt || j.Once {
		return false
	}
	s.Queued[j.Spec.Workspace]++
	j.Phase = hsstate.Queued
	j.Members = nil
	j.Ran = j.Ran || c.Ran
	j.Detail = c.Detail
	if c.Lost {
		j.Lost++
	} else {
		j.Preempted = s.Clock
	}
	for _, w := range c.FailedOn {
		if !slices.Contains(j.FailedOn, w) {
			j.FailedOn = append(j.FailedOn, w)
		}
	}
	return true
}

// Cancel cancels a batch of jobs. Queued ones end at once; running ones end once they are stopped.
func Cancel(s *hsstate.State, c *hsstate.CancelJobs) {
	for _, id := range c.Jobs {
		j := s.Jobs[id]
		switch {
		case j == nil || j.Phase == hsstate.Finished:
		case j.Phase == hsstate.Queued:
			end(s, j, hsstate.Cancelled, "cancelled by its caller")
		default:
			j.Cancel = true
		}
	}
}

// Finish ends a job. A job whose outcome was unknown takes a later, known one; any other finished job
// stays as it is.
func Finish(s *hsstate.State, c *hsstate.FinishJob) bool {
	j := s.Jobs[c.Job]
	if j == nil || j.Attempt != c.Attempt {
		return false
	}
	if j.Phase == hsstate.Finished {
		return resolve(s, j, c)
	}
	j.Ran = j.Ran || c.Ran
	keepAnswer(s, j, c)
	end(s, j, c.Outcome, c.Detail)
	return true
}

// resolve replaces the outcome unknown by what was found out later.
func resolve(s *hsstate.State, j *hsstate.Job, c *hsstate.FinishJob) bool {
	if j.Outcome != hsstate.Unknown || c.Outcome == hsstate.Unknown {
		return false
	}
	j.Outcome = c.Outcome
	j.Ran = j.Ran || c.Ran
	j.Detail = c.Detail
	keepAnswer(s, j, c)
	return true
}

func end(s *hsstate.State, j *hsstate.Job, o hsstate.Outcome, detail string) {
	if j.Phase == hsstate.Queued {
		s.Queued[j.Spec.Workspace]--
	}
	j.Phase = hsstate.Finished
	j.Outcome = o
	j.Detail = detail
	j.Ended = s.Clock
	j.Spec.Input = nil
	s.Finished = append(s.Finished, j.ID)
	forget(s)
}

func keepAnswer(s *hsstate.State, j *hsstate.Job, c *hsstate.FinishJob) {
	j.Answer = c.Answer
	j.AnswerSum = c.Sum
	s.AnswerBytes += hsid.Bytes(len(c.Answer))
}

// forget keeps the memory of finished jobs within its bounds.
func forget(s *hsstate.State) {
	drop := 0
	for _, id := range s.Finished {
		j := s.Jobs[id]
		if len(s.Finished)-drop <= MaxFinished && s.Clock-j.Ended <= Retention {
			break
		}
		s.AnswerBytes -= hsid.Bytes(len(j.Answer))
		delete(s.Jobs, id)
		drop++
	}
	if drop > 0 {
		s.Finished = s.Finished[drop:]
	}
	for _, id := range s.Finished {
		if s.AnswerBytes <= MaxAnswers {
			return
		}
		j := s.Jobs[id]
		s.AnswerBytes -= hsid.Bytes(len(j.Answer))
		j.Answer = nil
	}
}
