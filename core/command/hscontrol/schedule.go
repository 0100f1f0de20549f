package hscontrol

import (
	"fmt"
	"time"

	"hyssopseam/core/command/hsplacement"
	"hyssopseam/core/command/hsqueue"
	"hyssopseam/core/hsfleet"
	"hyssopseam/core/hshome"
	"hyssopseam/core/hsid"
	"hyssopseam/core/hsshape"
	"hyssopseam/core/hsstate"
)

// pass is one visit of the queued jobs. Its layout is kept up to date as jobs are placed.
type pass struct {
	c      *Control
	now    time.Time
	clock  time.Duration
	rules  *hsstate.RuleSet
	layout *hsfleet.Layout
	walk   *hsqueue.Walk
	// failed holds the kinds of jobs that didn't fit in this pass; the layout only fills up.
	failed map[sameness]hsfleet.Note
	// unclaimed holds the kinds of jobs for which nothing could be claimed in this pass.
	unclaimed map[sameness]bool
	// needs remembers which kinds of jobs fit on homes of others only.
	needs map[sameness]bool
	homes []passHome
}

// passHome is a home with its masks, indexed like Layout.Slots.
type passHome struct {
	guarantee *hsstate.Guarantee
	home      *hsstate.Home
	masks     []hsfleet.Mask
}

// sameness is what makes two jobs alike for placement.
type sameness struct {
	workspace hsid.WorkspaceID
	kind      hsid.JobKind
	shape     hsshape.Shape
	class     hsstate.Class
	cores     hsid.MilliCores
	memory    hsid.Bytes
	failed    int
}

func samenessOf(j *hsstate.Job, class hsstate.Class) sameness {
	return sameness{
		workspace: j.Spec.Workspace,
		kind:      j.Spec.Kind,
		shape:     j.Spec.Shape,
		class:     class,
		cores:     j.Spec.Cores,
		memory:    j.Spec.Memory,
		failed:    len(j.FailedOn),
	}
}

// schedule visits the queued jobs in order and prepares those that fit.
func (c *Control) schedule() {
	c.dropClaims()
	if c.lead.queue.Compact() == 0 || c.state.Rules.InForce.Number == 0 {
		return
	}
	p := c.newPass()
	for j := p.walk.Next(); j != nil; j = p.walk.Next() {
		p.visit(j)
	}
}

func (c *Control) newPass() *pass {
	p := c.survey()
	p.walk = c.lead.queue.Walk(p.clock, c.shares(p.layout))
	p.failed = map[sameness]hsfleet.Note{}
	p.unclaimed = map[sameness]bool{}
	p.markProbes()
	return p
}

// survey returns a pass that visits nothing; it answers what could be placed where.
func (c *Control) survey() *pass {
	p := &pass{
		c:      c,
		now:    c.ports.Clock.Now(),
		clock:  c.replica.Clock(),
		rules:  &c.state.Rules.InForce,
		layout: c.layout(),
		needs:  map[sameness]bool{},
	}
	p.markHomes()
	return p
}

func (c *Control) shares(l *hsfleet.Layout) hsqueue.Shares {
	if c.config.Off.Fairness {
		return hsqueue.Shares{}
	}
	return hsqueue.SharesOf(l, c.lead.book)
}

// markProbes opens the workers whose probe is due to jobs that may be a probe.
func (p *pass) markProbes() {
	for _, s := range p.layout.Slots {
		if !p.c.lead.breakers.ProbeDue(s.ID, p.now) {
			continue
		}
		w := *s.Worker
		w.Quarantined = false
		if !w.Usable(p.rules.Number) {
			continue
		}
		s.Probe = true
		s.Overdue = p.c.lead.breakers.ProbeOverdue(s.ID, p.now)
		s.Usable = true
		s.Free = s.Worker.All() &^ s.Held
	}
}

func (p *pass) markHomes() {
	if p.c.config.Off.Homes {
		return
	}
	for i := range p.rules.Guarantees {
		g := &p.rules.Guarantees[i]
		h := hshome.Find(p.c.state.Homes, g)
		if h == nil || len(h.Parts) == 0 {
			continue
		}
		masks := make([]hsfleet.Mask, len(p.layout.Slots))
		for _, part := range h.Parts {
			if s := p.layout.Slot(part.Worker); s != nil {
				masks[s.Index] = hsfleet.MaskOf(part.Accelerators)
			}
		}
		p.homes = append(p.homes, passHome{guarantee: g, home: h, masks: masks})
	}
}

// visit places a job, or notes why it waits and what is done about it.
func (p *pass) visit(j *hsstate.Job) {
	l := p.c.lead
	if l.attempts[j.ID] != nil || l.ending[j.ID] {
		return
	}
	if p.overdue(j) {
		p.c.giveUp(j, "it couldn't be started within the asked time")
		return
	}
	used := l.book.Usage(j.Spec.Workspace).Accelerators
	if quota, bounded := p.rules.Quota(j.Spec.Workspace); bounded && used+j.Spec.Shape.Total() > quota {
		l.notes[j.ID] = hsfleet.Note{Obstacle: fmt.Sprintf("the workspace holds %d of its quota of %d accelerators", used, quota)}
		return
	}
	same := samenessOf(j, l.queue.Effective(j, p.clock))
	claim := l.claims[j.ID]
	if note, ok := p.failed[same]; ok && claim == nil {
		l.notes[j.ID] = note
		p.claimFor(j, same)
		return
	}
	if members := p.place(j, claim); members != nil {
		p.take(j, members)
		return
	}
	if p.hopeless(j) {
		p.c.giveUp(j, neverOutsideHomes)
		return
	}
	note := p.explain(j)
	p.failed[same] = note
	l.notes[j.ID] = note
	if claim == nil {
		p.claimFor(j, same)
	}
}

// neverOutsideHomes is why a job is refused that would have to run on homes of other workspaces.
const neverOutsideHomes = "it fits only on homes of other workspaces' guarantees, and its kind wasn't seen to stop in their time"

// hopeless reports whether a job waited for twice its age bound, could run if there were no guarantees,
// and can't with them however long it waits.
func (p *pass) hopeless(j *hsstate.Job) bool {
	if !p.c.learned() || p.clock-j.Accepted < 2*p.c.config.AgeBounds[j.Spec.Class] {
		return false
	}
	return p.layout.CanEver(&j.Spec, nil) && !p.layout.CanEver(&j.Spec, p.homesClosedTo(j))
}

// homesClosedTo returns the homes of other workspaces that a job may not borrow.
func (p *pass) homesClosedTo(j *hsstate.Job) []hsfleet.Mask {
	return p.homesWhere(func(g *hsstate.Guarantee) bool {
		return g.Workspace != j.Spec.Workspace && !p.mayBorrow(j, g)
	})
}

// foreignHomes returns all homes of other workspaces.
func (p *pass) foreignHomes(j *hsstate.Job) []hsfleet.Mask {
	return p.homesWhere(func(g *hsstate.Guarantee) bool { return g.Workspace != j.Spec.Workspace })
}

// homesWhere returns the homes of the guarantees that are meant.
func (p *pass) homesWhere(meant func(g *hsstate.Guarantee) bool) []hsfleet.Mask {
	masks := make([]hsfleet.Mask, len(p.layout.Slots))
	for i := range p.homes {
		if meant(p.homes[i].guarantee) {
			masks = union(masks, p.homes[i].masks)
		}
	}
	return masks
}

// overdue reports whether a job that may be refused waited longer than its caller asked for.
func (p *pass) overdue(j *hsstate.Job) bool {
	return j.MayRefuse && j.Attempt == 0 && j.Spec.StartWithin > 0 && p.clock-j.Accepted > j.Spec.StartWithin
}

func (p *pass) take(j *hsstate.Job, members []hsstate.Placement) {
	p.layout.Take(members, &j.Spec)
	p.walk.Charge(j.Spec.Workspace, hsqueue.ShareOf(p.layout, &j.Spec))
	p.c.prepare(j, members)
	for _, m := range members {
		if s := p.layout.Slot(m.Worker); s.Probe {
			s.Usable = false
			s.Free = 0
		}
	}
}

// place finds room for a job outside everybody else's claims, or on its own claim once that is free.
func (p *pass) place(j *hsstate.Job, claim *hsfleet.Claim) []hsstate.Placement {
	if claim != nil {
		if members := p.placeOnClaim(j, claim); members != nil {
			return members
		}
		if claim.Kind == hsfleet.Reservation {
			p.clearFillers(claim)
		}
	}
	return hsplacement.Place(p.layout, p.c.config.Weights, p.request(j))
}

func (p *pass) placeOnClaim(j *hsstate.Job, claim *hsfleet.Claim) []hsstate.Placement {
	var members []hsstate.Placement
	for _, part := range claim.Parts {
		s := p.layout.Slot(part.Worker)
		if s == nil || s.Free&part.Mask != part.Mask || !s.RoomFor(&j.Spec) {
			return nil
		}
		members = append(members, hsplacement.PlacementOn(s, part.Mask))
	}
	return members
}

// request describes where a job may go: not on homes of others unless it can be stopped in time, and
// not on what is claimed for others unless it ends before that is needed.
func (p *pass) request(j *hsstate.Job) hsplacement.Request {
	q := hsplacement.Request{
		Spec:     &j.Spec,
		Closed:   make([]hsfleet.Mask, len(p.layout.Slots)),
		FailedOn: j.FailedOn,
		Probe:    probeOf(j),
	}
	for i := range p.homes {
		h := &p.homes[i]
		switch {
		case h.guarantee.Workspace == j.Spec.Workspace:
			q.Own = union(q.Own, h.masks)
			q.PreferOwn = q.PreferOwn || j.Spec.Shape == h.guarantee.Shape
		case p.mayBorrow(j, h.guarantee):
			q.Borrowed = union(q.Borrowed, h.masks)
		default:
			q.Closed = union(q.Closed, h.masks)
		}
	}
	for id, claim := range p.c.lead.claims {
		if id == j.ID {
			continue
		}
		if p.mayFill(j, claim) {
			q.Reserved = p.mark(q.Reserved, claim)
			continue
		}
		q.Closed = p.mark(q.Closed, claim)
	}
	return q
}

// probeOf tells how willingly a job is made a probe: small jobs that may run again and wait for nobody at
// a counter first, and jobs that never run twice only as the last resort.
func probeOf(j *hsstate.Job) hsplacement.Probe {
	switch {
	case j.Once:
		return hsplacement.ProbeOverdue
	case j.Spec.Class == hsstate.Urgent || j.Spec.Shape.Workers > 1:
		return hsplacement.ProbeLast
	}
	return hsplacement.ProbeFirst
}

// mark adds the accelerators of a claim to masks.
func (p *pass) mark(masks []hsfleet.Mask, claim *hsfleet.Claim) []hsfleet.Mask {
	if masks == nil {
		masks = make([]hsfleet.Mask, len(p.layout.Slots))
	}
	for _, part := range claim.Parts {
		if s := p.layout.Slot(part.Worker); s != nil {
			masks[s.Index] |= part.Mask
		}
	}
	return masks
}

func union(into, masks []hsfleet.Mask) []hsfleet.Mask {
	if into == nil {
		into = make([]hsfleet.Mask, len(masks))
	}
	for i, m := range masks {
		into[i] |= m
	}
	return into
}

// explain says why a job didn't fit in this pass.
func (p *pass) explain(j *hsstate.Job) hsfleet.Note {
	free := p.layout.Free()
	switch {
	case !p.layout.CanEver(&j.Spec, nil):
		return hsfleet.Note{Obstacle: "no announced worker or rack can hold its shape, cores and memory; it waits for one"}
	case free < j.Spec.Shape.Total():
		return hsfleet.Note{Obstacle: fmt.Sprintf("%d accelerators are free, it needs %d", free, j.Spec.Shape.Total())}
	}
	anywhere := hsplacement.Request{Spec: &j.Spec, FailedOn: j.FailedOn}
	if hsplacement.Place(p.layout, p.c.config.Weights, anywhere) != nil {
		return hsfleet.Note{Obstacle: "it fits only on homes or claims of others"}
	}
	return hsfleet.Note{Obstacle: fmt.Sprintf("%d accelerators are free, but not %s adjacent ones", free, j.Spec.Shape)}
}

// updateHomes proposes new homes when workers or rules changed and the old ones don't fit any more.
func (c *Control) updateHomes() {
	l := c.lead
	if !l.homesDue || l.homesAsked || !c.learned() || c.config.Off.Homes {
		return
	}
	l.homesDue = false
	homes := hshome.Assign(c.layout(), c.state.Rules.InForce.Guarantees, c.state.Homes)
	if sameHomes(homes, c.state.Homes) {
		return
	}
	if _, ok := c.propose(hsstate.Command{Homes: &hsstate.SetHomes{Homes: homes}}); ok {
		l.homesAsked = true
	}
}

func sameHomes(a, b []hsstate.Home) bool {
	if len(a) != len(b) {
		return false
	}
	for i := range a {
		if a[i].Workspace != b[i].Workspace || a[i].Shape != b[i].Shape || a[i].Reason != b[i].Reason || len(a[i].Parts) != len(b[i].Parts) {
			return false
		}
		for k := range a[i].Parts {
			x, y := a[i].Parts[k], b[i].Parts[k]
			if x.Worker != y.Worker || hsfleet.MaskOf(x.Accelerators) != hsfleet.MaskOf(y.Accelerators) {
				return false
			}
		}
	}
	return true
}
