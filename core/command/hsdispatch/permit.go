package hsdispatch

import (
	"slices"
	"time"

	"hyssopseam/core/hswork"
)

const (
	// maxWorkersPerRequest bounds the workers that one request to the policy service names.
	maxWorkersPerRequest = 30
	// permitRetryInterval is how long after the largest possible decision time an unanswered request is repeated.
	permitRetryInterval = 500 * time.Millisecond
	// permitMargin is how long before its expiry a permit is no longer used. It covers the delay to the worker and
	// one retry.
	permitMargin = 700 * time.Millisecond
)

// StepID identifies a step of one occurrence of a job.
type StepID struct {
	Job        hswork.ID
	Occurrence int
	Step       int
}

// Adviser asks the policy service on which workers a step may run. Request doesn't block; the answer is passed to
// Dispatcher.HandleAdvice.
type Adviser interface {
	Request(step StepID, workers []hswork.EndpointID)
}

// Permit allows the tasks of a step to run on one endpoint.
type Permit struct {
	Endpoint hswork.EndpointID
	Ticket   hswork.Ticket
}

// Advice is the answer of the policy service about a step.
type Advice struct {
	Step    StepID
	Asked   []hswork.EndpointID
	Allowed []Permit
	// Valid is how long the tickets are valid, counted from the receipt of the answer.
	Valid time.Duration
	// OK is false if the request got no answer.
	OK bool
}

// stepPermits records for one step which endpoints the policy service was asked about, each with its incarnation, and
// which of them it allowed.
type stepPermits struct {
	pending bool
	askedAt time.Time
	asked   map[hswork.EndpointID]hswork.EndpointIncarnation
	allowed map[hswork.EndpointID]grantedPermit
}

// grantedPermit is a permit for one incarnation of an endpoint.
type grantedPermit struct {
	ticket      hswork.Ticket
	incarnation hswork.EndpointIncarnation
	validUntil  time.Time
}

func stepIDOf(t hswork.TaskID) StepID {
	return StepID{Job: t.Job, Occurrence: t.Occurrence, Step: t.Step}
}

// needsPermit reports whether the tasks of a job run only where the policy service allows it. That is never so
// without a policy service.
func (d *Dispatcher) needsPermit(j *hswork.Job) bool {
	return j.NeedsPermit && d.ports.Adviser != nil
}

// validTicket returns the ticket that allows a unit on a worker, which is empty for a job that needs none. It returns
// false if a ticket is needed and there is no valid one.
func (d *Dispatcher) validTicket(u *unit, o *offer) (hswork.Ticket, bool) {
	if !d.needsPermit(u.job) {
		return "", true
	}
	p := d.permits[stepIDOf(u.key())]
	if p == nil {
		return "", false
	}
	e := &o.worker.report.Endpoint
	g, ok := p.allowed[e.ID]
	if !ok || g.incarnation != e.Incarnation || d.ports.Clock.Now().Add(permitMargin).After(g.validUntil) {
		return "", false
	}
	return g.ticket, true
}

// requestPermits asks the policy service about workers whose current incarnation it wasn't asked about yet, or whose
// permit expires soon. If there are too many for one request, those with the most free accelerators are asked about
// first.
func (d *Dispatcher) requestPermits(u *unit, offers []*offer, now time.Time) {
	if !d.needsPermit(u.job) {
		return
	}
	id := stepIDOf(u.key())
	p := d.permits[id]
	if p == nil {
		p = &stepPermits{asked: map[hswork.EndpointID]hswork.EndpointIncarnation{}, allowed: map[hswork.EndpointID]grantedPermit{}}
		d.permits[id] = p
	}
	if p.pending && now.Sub(p.askedAt) < permitRetryInterval+d.maxAdviceTime(u.job) {
		return
	}
	var unasked []*offer
	for _, o := range offers {
		e := &o.worker.report.Endpoint
		g, allowed := p.allowed[e.ID]
		expired := allowed && now.Add(permitMargin).After(g.validUntil)
		if o.suits(u.job.Pool, u.step) && (expired || p.asked[e.ID] != e.Incarnation) {
			unasked = append(unasked, o)
		}
	}
	if len(unasked) == 0 {
		return
	}
	slices.SortStableFunc(unasked, func(a, b *offer) int {
		return int(b.free.Accelerators) - int(a.free.Accelerators)
	})
	unasked = unasked[:min(len(unasked), maxWorkersPerRequest)]
	p.pending = true
	p.askedAt = now
	p.markAsked(unasked)
	d.ports.Adviser.Request(id, p.endpointIDs(unasked))
}

// markAsked records the incarnations that a request is about, and drops their earlier permits.
func (p *stepPermits) markAsked(offers []*offer) {
	for _, o := range offers {
		e := &o.worker.report.Endpoint
		p.asked[e.ID] = e.Incarnation
		delete(p.allowed, e.ID)
	}
}

// endpointIDs returns the endpoint ids of the offers' workers.
func (p *stepPermits) endpointIDs(offers []*offer) []hswork.EndpointID {
	ids := make([]hswork.EndpointID, 0, len(offers))
	for _, o := range offers {
		ids = append(ids, o.worker.report.Endpoint.ID)
	}
	return ids
}

// maxAdviceTime returns how long the policy service takes to decide on the largest request.
func (d *Dispatcher) maxAdviceTime(j *hswork.Job) time.Duration {
	for i := range d.state.Catalog.Queues {
		if q := &d.state.Catalog.Queues[i]; q.Name == j.Queue {
			return q.Advice.Decision + maxWorkersPerRequest*q.Advice.PerWorker
		}
	}
	return 0
}

// HandleAdvice records the answer of the policy service about a step. If there was none, the next pass repeats the
// request.
func (d *Dispatcher) HandleAdvice(a Advice) {
	p := d.permits[a.Step]
	if p == nil {
		return
	}
	p.pending = false
	d.passDue = true
	if !a.OK {
		for _, e := range a.Asked {
			delete(p.asked, e)
		}
		return
	}
	validUntil := d.ports.Clock.Now().Add(a.Valid)
	for _, granted := range a.Allowed {
		if incarnation, asked := p.asked[granted.Endpoint]; asked {
			p.allowed[granted.Endpoint] = grantedPermit{ticket: granted.Ticket, incarnation: incarnation, validUntil: validUntil}
		}
	}
}

// ticketFor returns the ticket that goes out with a planned run; it is empty if there is none.
func (d *Dispatcher) ticketFor(w *worker, t hswork.TaskID) hswork.Ticket {
	if p := d.permits[stepIDOf(t)]; p != nil {
		return p.allowed[w.report.Endpoint.ID].ticket
	}
	return ""
}

// dropPermit drops the permit of a step on a worker that refused one of its runs, so that it is requested again.
func (d *Dispatcher) dropPermit(w *worker, t hswork.TaskID) {
	if p := d.permits[stepIDOf(t)]; p != nil {
		delete(p.allowed, w.report.Endpoint.ID)
		delete(p.asked, w.report.Endpoint.ID)
	}
}

// dropUnusedPermits drops the permits for steps of jobs that are no longer open.
func (d *Dispatcher) dropUnusedPermits() {
	for id := range d.permits {
		if j := d.state.Jobs[id.Job]; j == nil || j.Phase != hswork.Open {
			delete(d.permits, id)
		}
	}
}
