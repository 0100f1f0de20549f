package hsadmission

import (
	"fmt"
	"time"

	"hyssopseam/core/hsid"
	"hyssopseam/core/hsstate"
)

// Bounds of jobs and of the memory for them.
const (
	// MaxQueued bounds the queued jobs of one workspace.
	MaxQueued = 2000
	// MaxInput is the largest input of a job.
	MaxInput = 64 * hsid.KiB
	// MaxAnswer is the largest answer that is kept.
	MaxAnswer = 256 * hsid.KiB
	// MaxAnswers bounds all answers that are kept.
	MaxAnswers = 24 * hsid.MiB
	// MaxFinished bounds the finished jobs that are remembered.
	MaxFinished = 10000
	// Retention is how long, in cluster time, a finished job is remembered.
	Retention = 72 * time.Hour
)

// Submit accepts a job, finds the one that the same submission made before, or refuses.
func Submit(s *hsstate.State, c *hsstate.SubmitJob, at hsid.LogIndex) *hsstate.JobResult {
	result := &hsstate.JobResult{ID: c.ID, Rules: s.Rules.InForce.Number}
	if j := s.Jobs[c.ID]; j != nil {
		result.Rules = j.Rules
		result.Verdict = hsstate.JobExisting
		if j.Sum != c.Sum {
			result.Verdict = hsstate.JobConflict
			result.Reason = "the idempotency key names a job with another body"
		}
		return result
	}
	if reason := refusal(s, c); reason != "" {
		result.Verdict = hsstate.JobRefused
		result.Reason = reason
		return result
	}
	s.Jobs[c.ID] = &hsstate.Job{
		ID:        c.ID,
		Spec:      c.Spec,
		Sum:       c.Sum,
		Once:      s.Rules.InForce.IsOnce(c.Spec.Kind),
		MayRefuse: s.Rules.InForce.MayRefuse(c.Spec.Kind),
		Rules:     s.Rules.InForce.Number,
		Accepted:  s.Clock,
		Index:     at,
		Phase:     hsstate.Queued,
	}
	s.Queued[c.Spec.Workspace]++
	result.Verdict = hsstate.JobAccepted
	return result
}

func refusal(s *hsstate.State, c *hsstate.SubmitJob) string {
	rules := &s.Rules.InForce
	switch quota, bounded := rules.Quota(c.Spec.Workspace); {
	case rules.Number == 0:
		return "no rules are in force"
	case rules.IsOnce(c.Spec.Kind) && c.Spec.Key == "":
		return fmt.Sprintf("jobs of kind %s never run twice and need an idempotency key", c.Spec.Kind)
	case bounded && c.Spec.Shape.Total() > quota:
		return fmt.Sprintf("the shape %s is over the quota of %d accelerators", c.Spec.Shape, quota)
	case s.Queued[c.Spec.Workspace] >= MaxQueued:
		return fmt.Sprintf("the workspace has %d queued jobs, the bound", MaxQueued)
	}
	return ""
}
