package hsdispatch

import (
	"slices"
	"time"

	"hyssopseam/core/hswork"
)

const (
	// maxAsked bounds the workers that one question names.
	maxAsked = 30
	// askPause is the time between two questions about a step when the first had no answer.
	askPause = 500 * time.Millisecond
	// permitSlack is how long before its end a permit isn't used any more: the way to the worker and a retry.
	permitSlack = 700 * time.Millisecond
)

// StepID names a step of one occurrence of a job.
type StepID struct {
	Work       hswork.ID
	Occurrence int
	Step       int
}

// Adviser asks the policy service which workers may run a step, without blocking. The answer comes back
// through Advised.
type Adviser interface {
	Ask(step StepID, workers []hswork.EndpointID)
}

// Permit allows the tasks of a step on one endpoint.
type Permit struct {
	Endpoint hswork.EndpointID
	Ticket   hswork.Ticket
}

// Advice is what the policy service said about a step.
type Advice struct {
	Step    StepID
	Asked   []hswork.EndpointID
	Allowed []Permit
	// Valid is how long the tickets are valid, from the answer on.
	Valid time.Duration
	// OK is false when there was no answer.
	OK bool
}

// permits is what is known of a step: which endpoints were asked about, and which are allowed.
type permits struct {
	asking  bool
	askedAt time.Time
	asked   map[hswork.EndpointID]hswork.Life
	allowed map[hswork.EndpointID]grantedPermit
}

type grantedPermit struct {
	ticket hswork.Ticket
	life   hswork.Life
	until  time.Time
}

func stepOf(t hswork.TaskID) StepID {
	return StepID{Work: t.Work, Occurrence: t.Occurrence, Step: t.Step}
}

// needsPermit reports whether the queue of a job asks for advice.
func (d *Dispatcher) needsPermit(j *hswork.Job) bool {
	return j.Advised && d.ports.Adviser != nil
}

// permitted returns the ticket for a step on a worker; the second result is false without a valid one.
func (d *Dispatcher) permitted(u *unit, r *room) (hswork.Ticket, bool) {
	if !d.needsPermit(u.job) {
		return "", true
	}
	p := d.permits[stepOf(u.key())]
	if p == nil {
		return "", false
	}
	e := &r.worker.tally.Endpoint
	g, ok := p.allowed[e.ID]
	if !ok || g.life != e.Life || d.ports.Clock.Now().Add(permitSlack).After(g.until) {
		return "", false
	}
	return g.ticket, true
}

// ask asks about the workers with the most room that weren't asked about yet, or whose permit is over.
func (d *Dispatcher) ask(u *unit, rooms []*room, now time.Time) {
	if !d.needsPermit(u.job) {
		return
	}
	id := stepOf(u.key())
	p := d.permits[id]
	if p == nil {
		p = &permits{asked: map[hswork.EndpointID]hswork.Life{}, allowed: map[hswork.EndpointID]grantedPermit{}}
		d.permits[id] = p
	}
	if p.asking && now.Sub(p.askedAt) < askPause+d.adviceTime(u.job) {
		return
	}
	var unknown []*room
	for _, r := range rooms {
		e := &r.worker.tally.Endpoint
		g, allowed := p.allowed[e.ID]
		expired := allowed && now.Add(permitSlack).After(g.until)
		if r.suits(u.job.Pool, u.step) && (expired || p.asked[e.ID] != e.Life) {
			unknown = append(unknown, r)
		}
	}
	if len(unknown) == 0 {
		return
	}
	slices.SortStableFunc(unknown, func(a, b *room) int {
		return int(b.free.Accelerators) - int(a.free.Accelerators)
	})
	unknown = unknown[:min(len(unknown), maxAsked)]
	p.asking = true
	p.askedAt = now
	p.lives(unknown)
	d.ports.Adviser.Ask(id, p.names(unknown))
}

// lives notes for which lives the question is.
func (p *permits) lives(rooms []*room) {
	for _, r := range rooms {
		e := &r.worker.tally.Endpoint
		p.asked[e.ID] = e.Life
		delete(p.allowed, e.ID)
	}
}

func (p *permits) names(rooms []*room) []hswork.EndpointID {
	names := make([]hswork.EndpointID, 0, len(rooms))
	for _, r := range rooms {
		names = append(names, r.worker.tally.Endpoint.ID)
	}
	return names
}

// adviceTime is how long the service takes for the largest question.
func (d *Dispatcher) adviceTime(j *hswork.Job) time.Duration {
	for i := range d.state.Catalog.Queues {
		if q := &d.state.Catalog.Queues[i]; q.Name == j.Queue {
			return q.Advice.Decision + maxAsked*q.Advice.PerWorker
		}
	}
	return 0
}

// Advised takes the answer about a step. Without one the question is asked again.
func (d *Dispatcher) Advised(a Advice) {
	p := d.permits[a.Step]
	if p == nil {
		return
	}
	p.asking = false
	d.passDue = true
	if !a.OK {
		for _, e := range a.Asked {
			delete(p.asked, e)
		}
		return
	}
	until := d.ports.Clock.Now().Add(a.Valid)
	for _, x := range a.Allowed {
		if life, was := p.asked[x.Endpoint]; was {
			p.allowed[x.Endpoint] = grantedPermit{ticket: x.Ticket, life: life, until: until}
		}
	}
}

// ticketFor returns the ticket that a planned run needs; empty for none.
func (d *Dispatcher) ticketFor(w *worker, t hswork.TaskID) hswork.Ticket {
	if p := d.permits[stepOf(t)]; p != nil {
		return p.allowed[w.tally.Endpoint.ID].ticket
	}
	return ""
}

// dropPermit forgets a permit that the endpoint refused, so that it is asked for again.
func (d *Dispatcher) dropPermit(w *worker, t hswork.TaskID) {
	if p := d.permits[stepOf(t)]; p != nil {
		delete(p.allowed, w.tally.Endpoint.ID)
		delete(p.asked, w.tally.Endpoint.ID)
	}
}

// forgetPermits drops what is known of the steps of a job that ended.
func (d *Dispatcher) forgetPermits() {
	for id := range d.permits {
		if j := d.state.Jobs[id.Work]; j == nil || j.Phase != hswork.Open {
			delete(d.permits, id)
		}
	}
}
