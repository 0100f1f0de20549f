package hsdispatch

import (
	"slices"
	"time"

	"hyssopseam/core/command/hsshare"
	"hyssopseam/core/hsid"
	"hyssopseam/core/hswork"
)

// shareInterval is how often the shares are computed for operators while no decision needs them.
const shareInterval = time.Second

// shares is what the leader knows about the fair shares of workspaces. All but the last starts follows from what runs.
type shares struct {
	// entries holds the shares of all runs that no guarantee covers, as of computedAt.
	entries    []hsshare.Entry
	computedAt time.Time
	// lastStart holds the last start of a unit of each workspace with open jobs.
	lastStart map[hsid.WorkspaceID]time.Duration
}

// use is what runs of one origin and priority use.
type use struct {
	origin    hsshare.Origin
	priority  int
	resources hswork.Resources
}

// Shares returns the shares of workspaces, and of the zones that their callers come from, of what no guarantee covers. It is
// empty unless Features.Shares is on.
func (d *Dispatcher) Shares() []hsshare.Entry { return d.shares.entries }

// shareUnits reorders the units that no guarantee covers by the shares of their workspaces, among those of the same priority and
// timeliness. The units must be in scheduling order, which is kept while room isn't short.
func (d *Dispatcher) shareUnits(units []*unit, now time.Time) {
	short := d.roomIsShort(units)
	if !short && now.Sub(d.shares.computedAt) < shareInterval {
		return
	}
	d.dropLastStarts()
	uses := d.uncoveredUse()
	d.shares.entries, d.shares.computedAt = d.newLedger(uses).Entries(), now
	if !short {
		return
	}
	ledgers := map[int]*hsshare.Ledger{}
	for len(units) > 0 {
		n := 1
		for n < len(units) && sameClass(units[0], units[n]) {
			n++
		}
		if !units[0].covered {
			d.shareClass(units[:n], uses, ledgers)
		}
		units = units[n:]
	}
}

// sameClass reports whether shares decide between two units: their priority and timeliness are the same, and no guarantee covers
// them.
func sameClass(a, b *unit) bool {
	return a.covered == b.covered && a.job.Priority == b.job.Priority && a.timeliness == b.timeliness && a.cost.rank == b.cost.rank
}

// shareClass reorders units of one class. Only use by their priority and higher ones counts: runs of lower priorities may be
// preempted for them, and so the bulk jobs of a workspace don't delay its urgent ones. The ledgers hold that use by priority,
// with the units that were ordered before.
func (d *Dispatcher) shareClass(units []*unit, uses []use, ledgers map[int]*hsshare.Ledger) {
	priority := units[0].job.Priority
	l := ledgers[priority]
	if l == nil {
		l = d.newLedger(slices.DeleteFunc(slices.Clone(uses), func(x use) bool { return x.priority > priority }))
		ledgers[priority] = l
	}
	requests := make([]hsshare.Request, len(units))
	for i, u := range units {
		requests[i] = hsshare.Request{Origin: originOf(u.job), Need: need(u.step), Tasks: len(u.tasks)}
	}
	before := slices.Clone(units)
	for i, k := range l.Order(requests) {
		units[i] = before[k]
	}
}

// originOf returns where the requests of a job come from.
func originOf(j *hswork.Job) hsshare.Origin {
	return hsshare.Origin{Workspace: j.Workspace, Zone: j.Zone}
}

// newLedger returns the ledger of uses, relative to the capacity that nobody is guaranteed.
func (d *Dispatcher) newLedger(uses []use) *hsshare.Ledger {
	capacity := d.total
	for i := range d.state.Catalog.Workspaces {
		capacity.Accelerators -= max(d.state.Catalog.Workspaces[i].Guaranteed, 0)
	}
	if d.total.Accelerators > 0 {
		capacity.Accelerators = max(capacity.Accelerators, 1)
	}
	l := hsshare.New(capacity)
	for _, x := range uses {
		l.Use(x.origin, x.resources, 1)
	}
	for w, at := range d.shares.lastStart {
		l.Started(w, at)
	}
	return l
}

// uncoveredUse returns what the placed, proposed and claimed runs of jobs use that no guarantee covers.
func (d *Dispatcher) uncoveredUse() []use {
	type key struct {
		origin   hsshare.Origin
		priority int
	}
	var uses []use
	index := map[key]int{}
	var job *hswork.Job
	i := -1
	add := func(j *hswork.Job, s *hswork.Step) {
		if j != job {
			job, i = j, -1
			if j != nil && !d.coveredJobs[j.ID] {
				k := key{originOf(j), j.Priority}
				at, ok := index[k]
				if !ok {
					at = len(uses)
					index[k] = at
					uses = append(uses, use{origin: k.origin, priority: k.priority})
				}
				i = at
			}
		}
		if i >= 0 {
			uses[i].resources = hsshare.Sum(uses[i].resources, need(s), 1)
		}
	}
	for _, runs := range d.placed.byWorker {
		for r := range runs {
			add(runs[r].job, runs[r].step)
		}
	}
	member := func(m hswork.Member) {
		if j := d.state.Jobs[m.Task.Job]; j != nil && j.Step(m.Task) != nil {
			add(j, j.Step(m.Task))
		}
	}
	for _, s := range d.proposedStarts {
		for _, m := range s.Members {
			member(m)
		}
	}
	for _, c := range d.claims {
		for _, m := range c.members {
			member(m)
		}
	}
	return uses
}

// recordStart records the start of a unit for the shares.
func (d *Dispatcher) recordStart(u *unit) {
	if !d.config.Features.Shares {
		return
	}
	if d.shares.lastStart == nil {
		d.shares.lastStart = map[hsid.WorkspaceID]time.Duration{}
	}
	d.shares.lastStart[u.job.Workspace] = d.ports.Log.Clock()
}

// dropLastStarts forgets the last starts of workspaces without open jobs.
func (d *Dispatcher) dropLastStarts() {
	open := map[hsid.WorkspaceID]bool{}
	for _, j := range d.state.Jobs {
		if j.Phase == hswork.Open {
			open[j.Workspace] = true
		}
	}
	for w := range d.shares.lastStart {
		if !open[w] {
			delete(d.shares.lastStart, w)
		}
	}
}
