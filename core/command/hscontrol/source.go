package hscontrol

import (
	"time"

	"hyssopseam/core/command/hslease"
	"hyssopseam/core/command/hspredict"
	"hyssopseam/core/command/hsqueue"
	"hyssopseam/core/hsfleet"
	"hyssopseam/core/hsid"
	"hyssopseam/core/hsshape"
	"hyssopseam/core/hssource"
	"hyssopseam/core/hsstate"
	"hyssopseam/core/hsview"
)

// source shows the leader's state to the reader.
func (c *Control) source() *hssource.Source {
	l := c.lead
	now := c.ports.Clock.Now()
	layout := c.layout()
	rules := c.state.Rules.InForce.Number
	s := &hssource.Source{
		State:      c.state,
		Fleet:      l.fleet,
		Layout:     layout,
		Now:        now,
		Clock:      c.replica.Clock(),
		Term:       l.term,
		Leader:     c.config.Quorum.Instance,
		Queue:      c.ordered(layout),
		Claims:     l.claims,
		Notes:      l.notes,
		Stops:      l.stops,
		Lagging:    l.leases.Lagging(rules, now),
		Everywhere: l.leases.Everywhere(rules, now),
		Learning:   !c.learned(),
		Members:    c.membersView(),
		Demand:     c.demand(),
	}
	s.Predict = func(j *hsstate.Job) time.Duration { return c.predictSpec(layout, j) }
	l.leases.Each(func(h *hslease.Holder) {
		s.Processes = append(s.Processes, hsview.Process{
			Instance: h.Instance,
			Role:     string(h.Role),
			Rules:    h.Rules,
			Silent:   now.Sub(h.Heard),
		})
	})
	return s
}

// ordered returns the queued jobs in the order in which a pass would visit them.
func (c *Control) ordered(layout *hsfleet.Layout) []*hsstate.Job {
	c.lead.queue.Compact()
	walk := c.lead.queue.Walk(c.replica.Clock(), c.shares(layout))
	var jobs []*hsstate.Job
	for j := walk.Next(); j != nil; j = walk.Next() {
		jobs = append(jobs, j)
		walk.Charge(j.Spec.Workspace, hsqueue.ShareOf(layout, &j.Spec))
	}
	return jobs
}

// predictSpec estimates how long a job waits: it counts the jobs of its class and above that were
// accepted earlier as ahead of it.
func (c *Control) predictSpec(layout *hsfleet.Layout, j *hsstate.Job) time.Duration {
	clock := c.replica.Clock()
	class := c.lead.queue.Effective(j, clock)
	var ahead hsid.Accelerators
	for _, o := range c.lead.queue.Jobs() {
		if o.Phase != hsstate.Queued || o.ID == j.ID {
			continue
		}
		other := c.lead.queue.Effective(o, clock)
		if other < class || other == class && o.Index < j.Index {
			ahead += o.Spec.Shape.Total()
		}
	}
	return hspredict.Start(c.state, clock, c.lead.runningJobs(), layout.Free(), ahead, j)
}

// demand returns the largest shape that is queued or running, or else guaranteed.
func (c *Control) demand() hsshape.Shape {
	var largest hsshape.Shape
	consider := func(s hsshape.Shape) {
		if s.Total() > largest.Total() {
			largest = s
		}
	}
	for _, j := range c.lead.queue.Jobs() {
		if j.Phase == hsstate.Queued {
			consider(j.Spec.Shape)
		}
	}
	for _, j := range c.lead.running {
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
