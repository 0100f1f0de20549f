// Package hsexplain explains the state of a job in a few lines: why it waits, where it runs, or how it ended.
//
// # Usage
//
//	e := hsexplain.Explain(state, job, view)
//	fmt.Println(e.Summary)
package hsexplain

import (
	"fmt"
	"time"

	"hyssopseam/core/hsfleet"
	"hyssopseam/core/hsleaderstate"
	"hyssopseam/core/hsstate"
	"hyssopseam/core/hsview"
)

// maxCandidates is the largest number of racks that are listed as candidates.
const maxCandidates = 5

// Explain explains the state of one job, given its view. It doesn't change the state.
func Explain(s *hsleaderstate.State, j *hsstate.Job, v hsview.Job) *hsview.Explanation {
	e := &hsview.Explanation{Job: v}
	e.Job.Answer = nil
	switch j.Phase {
	case hsstate.Queued:
		explainQueued(s, j, e)
	case hsstate.Running:
		e.Summary = fmt.Sprintf("attempt %d has been running on %d workers for %s; it was started under rules %d",
			j.Attempt, len(j.Members), roundToMillis(s.Clock-j.Started), j.StartRules)
		if j.Cancel {
			e.Obstacles = append(e.Obstacles, "it was cancelled and is being stopped")
		}
		if stop := s.StopReasons[j.ID]; stop != "" {
			e.Obstacles = append(e.Obstacles, fmt.Sprintf("it is being stopped: %s", stop))
		}
	case hsstate.Finished:
		e.Summary = fmt.Sprintf("%s after %d attempts; %s", j.Outcome, j.Attempt, ranText(j))
		if j.Detail != "" {
			e.Obstacles = append(e.Obstacles, j.Detail)
		}
	}
	return e
}

func ranText(j *hsstate.Job) string {
	if j.Ran {
		return "it ran at least in part"
	}
	return "no part of it ran"
}

func roundToMillis(d time.Duration) time.Duration { return d.Round(time.Millisecond) }

func explainQueued(s *hsleaderstate.State, j *hsstate.Job, e *hsview.Explanation) {
	for i, o := range s.Queue {
		if o.ID == j.ID {
			e.Ahead = i
		}
	}
	e.Summary = fmt.Sprintf("it has been waiting for %s with %d jobs ahead of it; predicted start in %s",
		roundToMillis(s.Clock-j.Accepted), e.Ahead, roundToMillis(e.Job.PredictStart))
	if s.Replicated.Rules.InForce.Number == 0 {
		e.Obstacles = append(e.Obstacles, "no rules are in force")
	}
	if reason, ok := s.WaitReasons[j.ID]; ok {
		e.Obstacles = append(e.Obstacles, reason.Obstacle)
		for _, w := range reason.WaitsFor {
			e.Obstacles = append(e.Obstacles, "reserved for it: "+w)
		}
	}
	if j.FailedAttempts > 0 {
		e.Obstacles = append(e.Obstacles, fmt.Sprintf("%d attempts ended without an answer; last: %s", j.FailedAttempts, j.Detail))
	}
	if c := s.Claims[j.ID]; c != nil {
		e.Candidates = append(e.Candidates, claimText(s, c))
		return
	}
	e.Candidates = candidates(s, j)
}

func claimText(s *hsleaderstate.State, c *hsfleet.Claim) string {
	text := fmt.Sprintf("a %s, ready in about %s:", c.Kind, roundToMillis(max(c.Ready-s.Clock, 0)))
	for _, p := range c.Parts {
		text += fmt.Sprintf(" %s%v", p.Worker, p.Mask.Set())
	}
	return text
}

// candidates lists the first maxCandidates racks in which any worker has room for a member of the job now.
func candidates(s *hsleaderstate.State, j *hsstate.Job) []string {
	var all []string
	for i := range s.Layout.Racks {
		r := &s.Layout.Racks[i]
		fits := 0
		for _, slot := range r.Slots {
			if slot.RoomFor(&j.Spec) && slot.Free.Count() >= j.Spec.Shape.PerWorker {
				fits++
			}
		}
		if fits > 0 && len(all) < maxCandidates {
			all = append(all, fmt.Sprintf("rack %s/%s: %d of %d workers have room now", r.Zone, r.ID, fits, j.Spec.Shape.Workers))
		}
	}
	return all
}
