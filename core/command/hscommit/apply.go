// Package hscommit applies committed entries to the replicated state.
//
// A State changes only through Apply. Apply is deterministic: replicas that apply the same entries hold
// equal states. It isn't safe for concurrent use on the same State.
//
// # Usage
//
//	result := hscommit.Apply(state, entry)
//	reply(entry.Index, result)
package hscommit

import (
	"hyssopseam/core/command/hsadmission"
	"hyssopseam/core/command/hslifecycle"
	"hyssopseam/core/command/hsrule"
	"hyssopseam/core/hsestimate"
	"hyssopseam/core/hsstate"
)

// Apply applies one committed entry to the state and returns the result for the entry's proposer. An entry with the
// zero command only advances the applied index and the cluster time.
func Apply(s *hsstate.State, e hsstate.Entry) hsstate.Result {
	s.Applied = e.Index
	s.Clock = max(s.Clock, e.Clock)
	result := hsstate.Result{Index: e.Index, Clock: s.Clock}
	c := e.Command
	switch {
	case c.Rules != nil:
		result.Rules = hsrule.Apply(&s.Rules, c.Rules, e.Index)
	case c.Submit != nil:
		result.Job = hsadmission.Submit(s, c.Submit, e.Index)
	case c.Start != nil:
		hsadmission.Start(s, c.Start)
	case c.Finish != nil:
		finish(s, c.Finish)
	case c.Requeue != nil:
		requeue(s, c.Requeue)
	case c.Cancel != nil:
		hsadmission.Cancel(s, c.Cancel)
	case c.Homes != nil:
		s.Homes = c.Homes.Homes
	case c.Members != nil:
		s.Cluster = c.Members.Cluster
		s.Members = c.Members.Members
	case c.Work != nil:
		hslifecycle.Apply(s.Work, c.Work, e.Index, s.Clock)
	}
	return result
}

// finish ends a job and adds its run time, if it was answered, and its stop time to the estimates.
func finish(s *hsstate.State, c *hsstate.FinishJob) {
	if !hsadmission.Finish(s, c) {
		return
	}
	j := s.Jobs[c.Job]
	if j == nil {
		return
	}
	t := hsestimate.Observation{Stop: c.StopTook}
	if c.Outcome == hsstate.Answered {
		t.Run = j.Ended - j.Started
	}
	hsestimate.Observe(s, j.Spec.Workspace, j.Spec.Kind, t)
}

// requeue ends an attempt, queues the job again and adds the attempt's stop time to the estimates.
func requeue(s *hsstate.State, c *hsstate.RequeueJob) {
	if !hsadmission.Requeue(s, c) {
		return
	}
	j := s.Jobs[c.Job]
	hsestimate.Observe(s, j.Spec.Workspace, j.Spec.Kind, hsestimate.Observation{Stop: c.StopTook})
}
