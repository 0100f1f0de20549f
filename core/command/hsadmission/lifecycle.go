package hsadmission

import (
	"slices"

	"hyssopseam/core/hsid"
	"hyssopseam/core/hsstate"
)

// Start starts an attempt. It returns false and changes nothing when the job isn't queued, when the attempt isn't a
// new one, or when a job that must never run twice was started before.
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

// Requeue ends an attempt and returns the job to the queue. It returns false and changes nothing when the attempt isn't
// the running one, or when the job must never run twice.
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
	if c.Failed {
		j.FailedAttempts++
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

// Cancel cancels a batch of jobs. A queued job ends at once; a running one is marked, and ends once it is stopped.
// Unknown and finished jobs are ignored.
func Cancel(s *hsstate.State, c *hsstate.CancelJobs) {
	for _, id := range c.Jobs {
		j := s.Jobs[id]
		switch {
		case j == nil || j.Phase == hsstate.Finished:
		case j.Phase == hsstate.Queued:
			finishJob(s, j, hsstate.Cancelled, "cancelled by its caller")
		default:
			j.Cancel = true
		}
	}
}

// Finish ends a job. A job that finished with an unknown outcome may finish once more with a known one. Otherwise it
// returns false and changes nothing when the job has finished, or when the attempt isn't its latest one.
func Finish(s *hsstate.State, c *hsstate.FinishJob) bool {
	j := s.Jobs[c.Job]
	if j == nil || j.Attempt != c.Attempt {
		return false
	}
	if j.Phase == hsstate.Finished {
		return resolveUnknown(s, j, c)
	}
	j.Ran = j.Ran || c.Ran
	storeAnswer(s, j, c)
	finishJob(s, j, c.Outcome, c.Detail)
	return true
}

// resolveUnknown replaces an unknown outcome by a known one.
func resolveUnknown(s *hsstate.State, j *hsstate.Job, c *hsstate.FinishJob) bool {
	if j.Outcome != hsstate.Unknown || c.Outcome == hsstate.Unknown {
		return false
	}
	j.Outcome = c.Outcome
	j.Ran = j.Ran || c.Ran
	j.Detail = c.Detail
	storeAnswer(s, j, c)
	return true
}

func finishJob(s *hsstate.State, j *hsstate.Job, o hsstate.Outcome, detail string) {
	if j.Phase == hsstate.Queued {
		s.Queued[j.Spec.Workspace]--
	}
	j.Phase = hsstate.Finished
	j.Outcome = o
	j.Detail = detail
	j.Ended = s.Clock
	j.Spec.Input = nil
	s.Finished = append(s.Finished, j.ID)
	evictFinished(s)
}

func storeAnswer(s *hsstate.State, j *hsstate.Job, c *hsstate.FinishJob) {
	j.Answer = c.Answer
	j.AnswerSum = c.Sum
	s.AnswerBytes += hsid.Bytes(len(c.Answer))
}

// evictFinished removes the oldest finished jobs and answers that exceed the limits.
func evictFinished(s *hsstate.State) {
	evicted := 0
	for _, id := range s.Finished {
		j := s.Jobs[id]
		if len(s.Finished)-evicted <= MaxFinished && s.Clock-j.Ended <= Retention {
			break
		}
		s.AnswerBytes -= hsid.Bytes(len(j.Answer))
		delete(s.Jobs, id)
		evicted++
	}
	if evicted > 0 {
		s.Finished = s.Finished[evicted:]
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
