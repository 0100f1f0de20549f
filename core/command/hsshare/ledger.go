package hsshare

import (
	"cmp"
	"maps"
	"math"
	"slices"
	"time"

	"hyssopseam/core/hsid"
	"hyssopseam/core/hswork"
)

// Share is a part of the capacity, from 0 to 1.
type Share float64

// Origin is where a request comes from.
type Origin struct {
	Workspace hsid.WorkspaceID
	// Zone is that of the entry that took the request; empty if it isn't known.
	Zone hsid.ZoneID
}

// Request is a unit that waits for capacity.
type Request struct {
	Origin Origin
	// Need is the demand of each of its tasks.
	Need  hswork.Resources
	Tasks int
}

// Ledger holds what workspaces and zones use of a capacity.
type Ledger struct {
	capacity   hswork.Resources
	workspaces map[hsid.WorkspaceID]*account
}

// account is what a workspace uses, in total and by zone.
type account struct {
	used  hswork.Resources
	zones map[hsid.ZoneID]hswork.Resources
	// started is when a unit of the workspace started last; 0 if it isn't known.
	started time.Duration
}

// New returns a ledger without use.
func New(capacity hswork.Resources) *Ledger {
	return &Ledger{capacity: capacity, workspaces: map[hsid.WorkspaceID]*account{}}
}

// Use adds the resources of a number of tasks to what an origin uses.
func (l *Ledger) Use(o Origin, need hswork.Resources, tasks int) {
	a := l.account(o.Workspace)
	a.used = Sum(a.used, need, tasks)
	a.zones[o.Zone] = Sum(a.zones[o.Zone], need, tasks)
}

// Started records when a unit of a workspace started last. Among workspaces with equal shares, the one whose last start is
// longest ago goes first. Without that, units that need the whole fleet would all find shares of zero.
func (l *Ledger) Started(w hsid.WorkspaceID, at time.Duration) { l.account(w).started = at }

func (l *Ledger) account(w hsid.WorkspaceID) *account {
	a := l.workspaces[w]
	if a == nil {
		a = &account{zones: map[hsid.ZoneID]hswork.Resources{}}
		l.workspaces[w] = a
	}
	return a
}

// Sum returns the sum of resources and those of a number of tasks. Negative ones count as none, and sums that don't fit into a
// number as the largest one.
func Sum(r, need hswork.Resources, tasks int) hswork.Resources {
	return hswork.Resources{
		Cores:        hsid.MilliCores(sum(int64(r.Cores), int64(need.Cores), tasks)),
		Memory:       hsid.Bytes(sum(int64(r.Memory), int64(need.Memory), tasks)),
		Accelerators: hsid.Accelerators(sum(int64(r.Accelerators), int64(need.Accelerators), tasks)),
	}
}

func sum(a, each int64, count int) int64 {
	a, each, n := max(a, 0), max(each, 0), int64(max(count, 0))
	if each > 0 && n > (math.MaxInt64-a)/each {
		return math.MaxInt64
	}
	return a + n*each
}

// dominant returns the largest part that resources are of the capacity, over all resources. Resources of which there is no
// capacity don't count.
func (l *Ledger) dominant(r hswork.Resources) Share {
	return max(
		part(int64(r.Cores), int64(l.capacity.Cores)),
		part(int64(r.Memory), int64(l.capacity.Memory)),
		part(int64(r.Accelerators), int64(l.capacity.Accelerators)),
	)
}

func part(used, whole int64) Share {
	if whole <= 0 {
		return 0
	}
	return Share(float64(used) / float64(whole))
}

// Workspace returns the share of a workspace.
func (l *Ledger) Workspace(w hsid.WorkspaceID) Share {
	if a := l.workspaces[w]; a != nil {
		return l.dominant(a.used)
	}
	return 0
}

// Zone returns the share of the callers of a workspace from one zone.
func (l *Ledger) Zone(o Origin) Share {
	if a := l.workspaces[o.Workspace]; a != nil {
		return l.dominant(a.zones[o.Zone])
	}
	return 0
}

// Entry is the share of one origin, as operators see it.
type Entry struct {
	Origin Origin
	Share  Share
}

// Entries returns the shares of all workspaces, each followed by those of its zones if there are known ones, by name. The entry
// of a workspace as a whole has no zone.
func (l *Ledger) Entries() []Entry {
	var entries []Entry
	for _, w := range slices.Sorted(maps.Keys(l.workspaces)) {
		a := l.workspaces[w]
		entries = append(entries, Entry{Origin: Origin{Workspace: w}, Share: l.dominant(a.used)})
		for _, z := range slices.Sorted(maps.Keys(a.zones)) {
			if z != "" {
				entries = append(entries, Entry{Origin: Origin{Workspace: w, Zone: z}, Share: l.dominant(a.zones[z])})
			}
		}
	}
	return entries
}

// Order returns the order in which requests go, as positions in the given list. It takes one request after another, each time
// the first one of the workspace with the smallest share, and there of the zone with the smallest share, and counts it as use.
// Among equal shares the workspace whose last start is longest ago goes first, and then the request that comes first in the list.
// The list is kept for a single workspace without zones.
func (l *Ledger) Order(requests []Request) []int {
	queues := l.queues(requests)
	order := make([]int, 0, len(requests))
	for len(queues) > 0 {
		q := next(queues)
		i := q.waiting[0]
		q.waiting = q.waiting[1:]
		order = append(order, i)
		l.Use(q.origin, requests[i].Need, requests[i].Tasks)
		for _, other := range queues {
			if other.origin.Workspace == q.origin.Workspace {
				other.share = l.Workspace(q.origin.Workspace)
			}
		}
		q.zone = l.Zone(q.origin)
		if len(q.waiting) == 0 {
			queues = slices.DeleteFunc(queues, func(x *queue) bool { return x == q })
		}
	}
	return order
}

// next returns the queue of which a request goes first.
func next(queues []*queue) *queue {
	first := slices.MinFunc(queues, func(a, b *queue) int {
		return cmp.Or(cmp.Compare(a.share, b.share), cmp.Compare(a.started, b.started), cmp.Compare(a.waiting[0], b.waiting[0]))
	})
	best := first
	for _, q := range queues {
		if q.origin.Workspace == first.origin.Workspace && cmp.Or(cmp.Compare(q.zone, best.zone), cmp.Compare(q.waiting[0], best.waiting[0])) < 0 {
			best = q
		}
	}
	return best
}

// queue holds the requests of one origin, by position, with the shares of its workspace and zone and the last start of its
// workspace.
type queue struct {
	origin      Origin
	share, zone Share
	started     time.Duration
	waiting     []int
}

// queues returns the requests by origin, in the order in which the origins come first.
func (l *Ledger) queues(requests []Request) []*queue {
	var queues []*queue
	byOrigin := map[Origin]*queue{}
	for i := range requests {
		o := requests[i].Origin
		q := byOrigin[o]
		if q == nil {
			q = &queue{origin: o, share: l.Workspace(o.Workspace), zone: l.Zone(o), started: l.account(o.Workspace).started}
			byOrigin[o] = q
			queues = append(queues, q)
		}
		q.waiting = append(q.waiting, i)
	}
	return queues
}
