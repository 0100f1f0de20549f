package hscontrol

import (
	"time"

	"hyssopseam/core/command/hslease"
	"hyssopseam/core/command/hspredict"
	"hyssopseam/core/command/hsqueue"
	"hyssopseam/core/hsfleet"
	"hyssopseam/core/hsid"
	"hyssopseam/core/hsleaderstate"
	"hyssopseam/core/hsshape"
	"hyssopseam/core/hsstate"
	"hyssopseam/core/hsview"
)

// queryState returns the leader's state as the reader of queries sees it.
func (c *Control) queryState() *hsleaderstate.State {
	l := c.leader
	now := c.ports.Clock.Now()
	layout := c.layout()
	rules := c.state.Rules.InForce.Number
	s := &hsleaderstate.State{
		Replicated:  c.state,
		Fleet:       l.fleet,
		Layout:      layout,
		Now:         now,
		Clock:       c.replica.Clock(),
		Term:        l.term,
		Leader:      c.config.Quorum.Instance,
		Queue:       c.visitOrder(layout),
		Claims:      l.claims,
		WaitReasons: l.waitReasons,
		StopReasons: l.stopReasons,
		Lagging:     l.leases.Lagging(rules, now),
		Everywhere:  l.leases.InForceEverywhere(rules, now),
		Learning:    !c.fleetDiscovered(),
		Members:     c.membersView(),
		Demand:      c.largestDemand(),
		WorkShares:  c.WorkShares(),
	}
	s.Predict = func(j *hsstate.Job) time.Duration { return c.predictWait(layout, j) }
	l.leases.Each(func(h *hslease.Holder) {
		s.Processes = append(s.Processes, hsview.Process{
			Instance: h.Instance,
			Role:     string(h.Role),
			Rules:    h.Rules,
			Silent:   now.Sub(h.LastRequest),
		})
	})
	return s
}

// visitOrder returns the queued jobs in the order in which a pass would visit them if it placed every one.
func (c *Control) visitOrder(layout *hsfleet.Layout) []*hsstate.Job {
	c.leader.queue.Compact()
	walk := c.leader.queue.Walk(c.replica.Clock(), c.dominantShares(layout))
	var jobs []*hsstate.Job
	for j := walk.Next(); j != nil; j = walk.Next() {
		jobs = append(jobs, j)
		walk.Charge(j.Spec.Workspace, hsqueue.ShareOf(layout, &j.Spec))
	}
	return jobs
}

// predictWait estimates how long a job waits until it starts. Queued jobs of a higher class, and those of its own
// class that were accepted earlier, count as ahead of it.
func (c *Control) predictWait(layout *hsfleet.Layout, j *hsstate.Job) time.Duration {
	clock := c.replica.Clock()
	class := c.leader.queue.EffectiveClass(j, clock)
	var ahead hsid.Accelerators
	for _, o := range c.leader.queue.Jobs() {
		if o.Phase != hsstate.Queued || o.ID == j.ID {
			continue
		}
		other := c.leader.queue.EffectiveClass(o, clock)
		if other < class || other == class && o.Index < j.Index {
			ahead += o.Spec.Shape.Total()
		}
	}
	return hspredict.Start(c.state, clock, c.leader.runningJobs(), layout.Free(), ahead, j)
}

// largestDemand returns the largest shape that is queued or running, or else the largest that is guaranteed.
func (c *Control) largestDemand() hsshape.Shape {
	var largest hsshape.Shape
	consider := func(s hsshape.Shape) {
		if s.Total() > largest.Total() {
			largest = s
		}
	}
	for _, j := range c.leader.queue.Jobs() {
		if j.Phase == hsstate.Queued {
			consider(j.Spec.Shape)
		}
	}
	for _, j := range c.leader.running {
		consider(j.Spec.Shape)
	}
	if largest.Total() > 0 {
		return largest
	}
	for _, g := range c.state.Rules.InForce.Guarantees {
		consider(g.Shape)
	}
	return largest
}
