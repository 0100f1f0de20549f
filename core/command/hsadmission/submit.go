package hsadmission

import (
	"fmt"
	"time"

	"hyssopseam/core/hsid"
	"hyssopseam/core/hsstate"
)

// Limits on jobs and on the memory that they use.
const (
	// MaxQueued is the largest number of queued jobs of one workspace.
	MaxQueued = 2000
	// MaxInput is the largest size of a job's input.
	MaxInput = 64 * hsid.KiB
	// MaxAnswer is the largest size of an answer that is kept.
	MaxAnswer = 256 * hsid.KiB
	// MaxAnswers is the largest total size of all answers that are kept.
	MaxAnswers = 24 * hsid.MiB
	// MaxFinished is the largest number of finished jobs that are kept.
	MaxFinished = 10000
	// Retention is the cluster time for which a finished job is kept.
	Retention = 72 * time.Hour
)

// Submit accepts or refuses a job. A submission whose identifier is known changes nothing: the result names the
// existing job, or a conflict when its body differs.
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
	if reason := refusalReason(s, c); reason != "" {
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

// refusalReason returns the reason why a job is refused, or an empty string.
func refusalReason(s *hsstate.State, c *hsstate.SubmitJob) string {
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
