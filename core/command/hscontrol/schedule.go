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

// pass is one scheduling pass over the queued jobs. Its layout is updated as jobs are placed.
type pass struct {
	control     *Control
	now         time.Time
	clusterTime time.Duration
	rules       *hsstate.RuleSet
	layout      *hsfleet.Layout
	walk        *hsqueue.Walk
	// unplaceable holds why jobs with a key weren't placed in this pass. Other jobs with the key needn't be tried, as
	// the layout only fills up during a pass.
	unplaceable map[placementKey]hsfleet.WaitReason
	// unclaimable holds the keys of jobs that could claim nothing in this pass.
	unclaimable map[placementKey]bool
	// needsOthers caches needsOthersHomes.
	needsOthers map[placementKey]bool
	homes       []homeMasks
}

// homeMasks is a home with its accelerators as masks, indexed like Layout.Slots.
type homeMasks struct {
	guarantee *hsstate.Guarantee
	home      *hsstate.Home
	masks     []hsfleet.Mask
}

// placementKey holds the properties of a job that matter for placement. Within a pass, jobs with equal keys are
// treated alike.
type placementKey struct {
	workspace hsid.WorkspaceID
	kind      hsid.JobKind
	shape     hsshape.Shape
	class     hsstate.Class
	cores     hsid.MilliCores
	memory    hsid.Bytes
	failures  int
}

func placementKeyOf(j *hsstate.Job, class hsstate.Class) placementKey {
	return placementKey{
		workspace: j.Spec.Workspace,
		kind:      j.Spec.Kind,
		shape:     j.Spec.Shape,
		class:     class,
		cores:     j.Spec.Cores,
		memory:    j.Spec.Memory,
		failures:  len(j.FailedOn),
	}
}

// schedule runs a scheduling pass: it visits the queued jobs in order and prepares those that fit. Nothing is
// scheduled before rules are in force.
func (c *Control) schedule() {
	c.dropStaleClaims()
	if c.leader.queue.Compact() == 0 || c.state.Rules.InForce.Number == 0 {
		return
	}
	p := c.newPass()
	for j := p.walk.Next(); j != nil; j = p.walk.Next() {
		p.visit(j)
	}
}

// newPass returns a pass that visits the queued jobs.
func (c *Control) newPass() *pass {
	p := c.newPassWithoutQueue()
	p.walk = c.leader.queue.Walk(p.clusterTime, c.dominantShares(p.layout))
	p.unplaceable = map[placementKey]hsfleet.WaitReason{}
	p.unclaimable = map[placementKey]bool{}
	p.markProbes()
	return p
}

// newPassWithoutQueue returns a pass that visits no jobs. It serves to find out where a job could be placed.
func (c *Control) newPassWithoutQueue() *pass {
	p := &pass{
		control:     c,
		now:         c.ports.Clock.Now(),
		clusterTime: c.replica.Clock(),
		rules:       &c.state.Rules.InForce,
		layout:      c.layout(),
		needsOthers: map[placementKey]bool{},
	}
	p.loadHomes()
	return p
}

// dominantShares returns the dominant share of each workspace, or none when fairness is disabled.
func (c *Control) dominantShares(l *hsfleet.Layout) hsqueue.Shares {
	if c.config.Disabled.Fairness {
		return hsqueue.Shares{}
	}
	return hsqueue.SharesOf(l, c.leader.allocated)
}

// markProbes makes the quarantined workers that are due for a probe available to jobs that may serve as one.
func (p *pass) markProbes() {
	for _, s := range p.layout.Slots {
		if !p.control.leader.breakers.ProbeDue(s.ID, p.now) {
			continue
		}
		w := *s.Worker
		w.Quarantined = false
		if !w.Usable(p.rules.Number) {
			continue
		}
		s.ProbeDue = true
		s.ProbeOverdue = p.control.leader.breakers.ProbeOverdue(s.ID, p.now)
		s.Usable = true
		s.Free = s.Worker.All() &^ s.Held
	}
}

// loadHomes fills homes with the homes of the guarantees in force. Guarantees without a home are left out.
func (p *pass) loadHomes() {
	if p.control.config.Disabled.Homes {
		return
	}
	for i := range p.rules.Guarantees {
		g := &p.rules.Guarantees[i]
		h := hshome.HomeOf(p.control.state.Homes, g)
		if h == nil || len(h.Parts) == 0 {
			continue
		}
		masks := make([]hsfleet.Mask, len(p.layout.Slots))
		for _, part := range h.Parts {
			if s := p.layout.Slot(part.Worker); s != nil {
				masks[s.Index] = hsfleet.MaskOf(part.Accelerators)
			}
		}
		p.homes = append(p.homes, homeMasks{guarantee: g, home: h, masks: masks})
	}
}

// visit places a queued job. If the job doesn't fit, visit records why, and claims accelerators for it or gives it up
// where its class, its wait and the guarantees call for that. A job over its workspace's quota only waits.
func (p *pass) visit(j *hsstate.Job) {
	leader := p.control.leader
	if leader.attempts[j.ID] != nil || leader.ending[j.ID] {
		return
	}
	if p.startDeadlinePassed(j) {
		p.control.giveUp(j, "it couldn't be started within the asked time")
		return
	}
	inUse := leader.allocated.Usage(j.Spec.Workspace).Accelerators
	if quota, hasQuota := p.rules.Quota(j.Spec.Workspace); hasQuota && inUse+j.Spec.Shape.Total() > quota {
		leader.waitReasons[j.ID] = hsfleet.WaitReason{Obstacle: fmt.Sprintf("the workspace uses %d of its quota of %d accelerators", inUse, quota)}
		return
	}
	key := placementKeyOf(j, leader.queue.EffectiveClass(j, p.clusterTime))
	claim := leader.claims[j.ID]
	if reason, ok := p.unplaceable[key]; ok && claim == nil {
		leader.waitReasons[j.ID] = reason
		p.claimFor(j, key)
		return
	}
	if members := p.place(j, claim); members != nil {
		p.allocate(j, members)
		return
	}
	if p.neverPlaceable(j) {
		p.control.giveUp(j, neverOutsideHomes)
		return
	}
	reason := p.waitReason(j)
	p.unplaceable[key] = reason
	leader.waitReasons[j.ID] = reason
	if claim == nil {
		p.claimFor(j, key)
	}
}

// neverOutsideHomes is the reason for refusing a job that could run only on the homes of other workspaces and may not
// borrow them.
const neverOutsideHomes = "it fits only on homes of other workspaces' guarantees, and its kind wasn't seen to stop in their time"

// neverPlaceable reports whether a job that has waited for twice its age bound can never run because of the
// guarantees of other workspaces, although it could run without them.
func (p *pass) neverPlaceable(j *hsstate.Job) bool {
	if !p.control.fleetDiscovered() || p.clusterTime-j.Accepted < 2*p.control.config.AgeBounds[j.Spec.Class] {
		return false
	}
	return p.layout.CouldHold(&j.Spec, nil) && !p.layout.CouldHold(&j.Spec, p.excludedHomes(j))
}

// excludedHomes returns the homes of other workspaces that a job may not borrow.
func (p *pass) excludedHomes(j *hsstate.Job) []hsfleet.Mask {
	return p.homesWhere(func(g *hsstate.Guarantee) bool {
		return g.Workspace != j.Spec.Workspace && !p.mayBorrow(j, g)
	})
}

// othersHomes returns the homes of all workspaces but the job's own.
func (p *pass) othersHomes(j *hsstate.Job) []hsfleet.Mask {
	return p.homesWhere(func(g *hsstate.Guarantee) bool { return g.Workspace != j.Spec.Workspace })
}

// homesWhere returns the homes of the guarantees that match.
func (p *pass) homesWhere(match func(g *hsstate.Guarantee) bool) []hsfleet.Mask {
	masks := make([]hsfleet.Mask, len(p.layout.Slots))
	for i := range p.homes {
		if match(p.homes[i].guarantee) {
			masks = unionMasks(masks, p.homes[i].masks)
		}
	}
	return masks
}

// startDeadlinePassed reports whether a job that may be refused, and hasn't run, has waited longer than its caller
// allowed.
func (p *pass) startDeadlinePassed(j *hsstate.Job) bool {
	return j.MayRefuse && j.Attempt == 0 && j.Spec.StartWithin > 0 && p.clusterTime-j.Accepted > j.Spec.StartWithin
}

// allocate marks a placement as taken in the layout, charges it to the workspace's share, and begins the attempt. A
// worker that gets its probe takes no other job.
func (p *pass) allocate(j *hsstate.Job, members []hsstate.Placement) {
	p.layout.Allocate(members, &j.Spec)
	p.walk.Charge(j.Spec.Workspace, hsqueue.ShareOf(p.layout, &j.Spec))
	p.control.prepare(j, members)
	for _, m := range members {
		if s := p.layout.Slot(m.Worker); s.ProbeDue {
			s.Usable = false
			s.Free = 0
		}
	}
}

// place finds a placement for a job on its own claim, once that is free, or else outside the claims of other jobs. It
// returns nil when there is none. When a reservation is occupied only by jobs that were backfilled on it, it has them
// preempted.
func (p *pass) place(j *hsstate.Job, claim *hsfleet.Claim) []hsstate.Placement {
	if claim != nil {
		if members := p.placeOnClaim(j, claim); members != nil {
			return members
		}
		if claim.Kind == hsfleet.Reservation {
			p.preemptBackfill(claim)
		}
	}
	return hsplacement.Place(p.layout, p.control.config.Weights, p.placementRequest(j))
}

// placeOnClaim returns the placement of a job on its claim, or nil when a part of the claim isn't free.
func (p *pass) placeOnClaim(j *hsstate.Job, claim *hsfleet.Claim) []hsstate.Placement {
	var members []hsstate.Placement
	for _, part := range claim.Parts {
		s := p.layout.Slot(part.Worker)
		if s == nil || s.Free&part.Mask != part.Mask || !s.RoomFor(&j.Spec) {
			return nil
		}
		members = append(members, hsplacement.NewPlacement(s, part.Mask))
	}
	return members
}

// placementRequest describes where a job may be placed: on homes of other workspaces only if it may borrow them, and
// on accelerators claimed for other jobs only if it may be backfilled there.
func (p *pass) placementRequest(j *hsstate.Job) hsplacement.Request {
	q := hsplacement.Request{
		Spec:     &j.Spec,
		Excluded: make([]hsfleet.Mask, len(p.layout.Slots)),
		FailedOn: j.FailedOn,
		Probe:    probePreference(j),
	}
	for i := range p.homes {
		h := &p.homes[i]
		switch {
		case h.guarantee.Workspace == j.Spec.Workspace:
			q.OwnHomes = unionMasks(q.OwnHomes, h.masks)
			q.PreferOwnHomes = q.PreferOwnHomes || j.Spec.Shape == h.guarantee.Shape
		case p.mayBorrow(j, h.guarantee):
			q.Borrowed = unionMasks(q.Borrowed, h.masks)
		default:
			q.Excluded = unionMasks(q.Excluded, h.masks)
		}
	}
	for id, claim := range p.control.leader.claims {
		if id == j.ID {
			continue
		}
		if p.mayBackfill(j, claim) {
			q.Reserved = p.addClaimMasks(q.Reserved, claim)
			continue
		}
		q.Excluded = p.addClaimMasks(q.Excluded, claim)
	}
	return q
}

// probePreference returns when a job may serve as the probe of a quarantined worker. Single-worker jobs that may run
// again and aren't urgent are preferred. Urgent jobs, whose callers are waiting, and gangs become probes only when
// they fit nowhere else, and jobs that must not run twice only when the probe is overdue as well.
func probePreference(j *hsstate.Job) hsplacement.ProbePreference {
	switch {
	case j.Once:
		return hsplacement.ProbeIfOverdue
	case j.Spec.Class == hsstate.Urgent || j.Spec.Shape.Workers > 1:
		return hsplacement.ProbeIfNecessary
	}
	return hsplacement.ProbePreferred
}

// addClaimMasks adds the accelerators of a claim to masks. It allocates masks when they are nil.
func (p *pass) addClaimMasks(masks []hsfleet.Mask, claim *hsfleet.Claim) []hsfleet.Mask {
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

// unionMasks adds masks to into, which it allocates when it is nil.
func unionMasks(into, masks []hsfleet.Mask) []hsfleet.Mask {
	if into == nil {
		into = make([]hsfleet.Mask, len(masks))
	}
	for i, m := range masks {
		into[i] |= m
	}
	return into
}

// waitReason returns why a job wasn't placed in this pass.
func (p *pass) waitReason(j *hsstate.Job) hsfleet.WaitReason {
	free := p.layout.Free()
	switch {
	case !p.layout.CouldHold(&j.Spec, nil):
		return hsfleet.WaitReason{Obstacle: "no known worker or rack can hold its shape, cores and memory; it waits for one"}
	case free < j.Spec.Shape.Total():
		return hsfleet.WaitReason{Obstacle: fmt.Sprintf("%d accelerators are free, it needs %d", free, j.Spec.Shape.Total())}
	}
	anywhere := hsplacement.Request{Spec: &j.Spec, FailedOn: j.FailedOn}
	if hsplacement.Place(p.layout, p.control.config.Weights, anywhere) != nil {
		return hsfleet.WaitReason{Obstacle: "it fits only on the homes of other workspaces or the claims of other jobs"}
	}
	return hsfleet.WaitReason{Obstacle: fmt.Sprintf("%d accelerators are free, but not %s of adjacent ones", free, j.Spec.Shape)}
}

// updateHomes assigns homes again when workers or rules have changed, and proposes them if they differ from the
// current ones. It waits until the leader knows the fleet and its previous proposal is applied.
func (c *Control) updateHomes() {
	l := c.leader
	if !l.homesDue || l.homesProposed || !c.fleetDiscovered() || c.config.Disabled.Homes {
		return
	}
	l.homesDue = false
	homes := hshome.Assign(c.layout(), c.state.Rules.InForce.Guarantees, c.state.Homes)
	if equalHomes(homes, c.state.Homes) {
		return
	}
	if _, ok := c.propose(hsstate.Command{Homes: &hsstate.SetHomes{Homes: homes}}); ok {
		l.homesProposed = true
	}
}

func equalHomes(a, b []hsstate.Home) bool {
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
