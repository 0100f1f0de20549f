package hsspeed

import (
	"maps"
	"slices"
	"time"

	"hyssopseam/core/hsid"
	"hyssopseam/core/hswork"
)

const (
	// maxGroups bounds the steps whose runs are followed, to twice the runs of the target in docs/CAPACITY.md. Runs of
	// further steps aren't observed.
	maxGroups = 16384
	// forgetAfter is how long a worker that isn't heard of is kept.
	forgetAfter = time.Hour
)

// Tracker estimates the speeds of the workers during one leadership.
type Tracker struct {
	// began is the time from which instants are counted, and now that of the last update.
	began   time.Time
	now     instant
	workers map[hsid.InstanceID]*worker
	// order lists the workers in the order in which they were first seen.
	order  []*worker
	groups map[stepKey]*group
	runs   map[hswork.RunID]*run
	// dirty lists the groups with readings since the last update.
	dirty []*group
	// closing lists the groups without runs, in the order in which they are settled. A group whose runs go on is in it in
	// vain.
	closing []closing
	// mean is the mean slowdown of the known workers.
	mean float64
	// uneven is set while the observations show that the fleet is uneven.
	uneven bool
	// terms is the scratch space of estimateWork.
	terms []term
	// changes is the scratch space of Update.
	changes []ClassChange
	counts  Counts

	// pending is set while a proposal isn't applied, since proposedAt.
	pending    bool
	proposedAt instant
	// next is the position in order from which the next proposal begins.
	next int
}

// closing is a group that is settled at a time, unless another run of it starts.
type closing struct {
	group *group
	at    instant
}

// New returns a tracker that begins with the committed speeds, as of the given cluster time and time.
func New(committed map[hsid.InstanceID]hswork.WorkerSpeed, clock time.Duration, now time.Time) *Tracker {
	t := &Tracker{
		began:   now,
		workers: map[hsid.InstanceID]*worker{},
		groups:  map[stepKey]*group{},
		runs:    map[hswork.RunID]*run{},
		// The first proposal may be made at once.
		proposedAt: -proposeTimeout,
	}
	for _, id := range slices.Sorted(maps.Keys(committed)) {
		c := committed[id].Bounded()
		if clock-c.Updated > hswork.SpeedRetention {
			continue
		}
		w := t.worker(id)
		if w == nil {
			break
		}
		w.incarnation = c.Incarnation
		w.runs = c.Runs
		w.committed, w.hasCommitted = c, true
		w.committedAt = -max(clock-c.Updated, 0)
		w.settled = belief{mean: float64(c.Slowdown), variance: c.Variance, at: w.committedAt}
	}
	// Workers differ if they did when their speeds were committed, however long ago that is.
	for _, w := range t.order {
		w.current = w.settled
	}
	t.updateMean()
	t.weighEvidence()
	t.Update(now)
	return t
}

// instant returns a time as the tracker counts it.
func (t *Tracker) instant(now time.Time) instant { return now.Sub(t.began) }

// worker returns a worker, which it adds if it is new. It returns nil when there are too many.
func (t *Tracker) worker(id hsid.InstanceID) *worker {
	w := t.workers[id]
	if w == nil && len(t.order) < hswork.MaxSpeeds {
		w = &worker{id: id, seen: t.now, settled: belief{variance: hswork.PriorVariance, at: t.now}, class: Unknown}
		w.current = w.settled
		t.workers[id] = w
		t.order = append(t.order, w)
	}
	return w
}

// Seen records that a worker was heard of, with an incarnation of its endpoint.
func (t *Tracker) Seen(id hsid.InstanceID, incarnation hswork.EndpointIncarnation, now time.Time) {
	w := t.worker(id)
	if w == nil {
		return
	}
	w.seen = t.instant(now)
	if w.incarnation != incarnation && incarnation != 0 {
		w.changeIncarnation(incarnation, w.seen)
	}
}

// Progress records a reading. The first one of a run only marks its beginning. Readings with impossible values are ignored.
func (t *Tracker) Progress(r Reading) {
	if r.Percent < 0 || r.Percent > maxPercent || r.Gang && r.Percent >= barrierPercent {
		return
	}
	w := t.worker(r.Worker)
	if w == nil {
		return
	}
	x := t.runs[r.Run]
	if x == nil {
		t.begin(r, w)
		return
	}
	if x.worker != w {
		return
	}
	g := x.group
	before := *x
	if !x.advance(mark{r.Percent, t.instant(r.At)}) {
		return
	}
	w.hasReading = true
	if x.member < 0 || g.members[x.member].epoch != w.epoch {
		if !w.known() {
			// An unknown worker is expected to be like the others.
			w.settled.mean = t.mean
		}
		w.runs++
		x.member = g.memberOf(w)
		before.observed, before.hasRecent = false, false
	}
	g.members[x.member].update(&before, x)
	t.touch(g)
}

// begin starts to follow a run.
func (t *Tracker) begin(r Reading, w *worker) {
	key := stepKey{r.Run.Task.Job, r.Run.Task.Occurrence, r.Run.Task.Step}
	g := t.groups[key]
	if g == nil {
		if len(t.groups) >= maxGroups {
			return
		}
		g = &group{key: key, prior: logSeconds(r.Expected)}
		t.groups[key] = g
	}
	g.open++
	x := &run{group: g, worker: w, member: -1}
	x.restart(mark{r.Percent, t.instant(r.At)})
	t.runs[r.Run] = x
}

// Ended records that a run has ended. It has no effect for a run without readings.
func (t *Tracker) Ended(id hswork.RunID, now time.Time) {
	x := t.runs[id]
	if x == nil {
		return
	}
	delete(t.runs, id)
	g := x.group
	if x.member >= 0 {
		after := *x
		after.hasRecent = false
		g.members[x.member].update(x, &after)
		t.touch(g)
	}
	if g.open--; g.open == 0 {
		g.settleAt = t.instant(now) + settleAfter
		t.closing = append(t.closing, closing{group: g, at: g.settleAt})
	}
}

// touch makes the next update refresh a group.
func (t *Tracker) touch(g *group) {
	if !g.dirty {
		g.dirty = true
		t.dirty = append(t.dirty, g)
	}
}

// Update brings the estimates up to date, and returns the workers whose class has changed. The result is valid until the next
// call.
func (t *Tracker) Update(at time.Time) []ClassChange {
	now := max(t.instant(at), t.now)
	t.now = now
	for i, g := range t.dirty {
		g.dirty = false
		t.refresh(g, now)
		t.dirty[i] = nil
	}
	t.dirty = t.dirty[:0]
	t.settleFinished(now)
	unseen := false
	for _, w := range t.order {
		w.update(now)
		unseen = unseen || w.unseen(now)
	}
	if unseen {
		t.dropUnseen(now)
	}
	t.updateMean()
	t.weighEvidence()
	return t.classify()
}

// updateMean computes the mean slowdown of the known workers.
func (t *Tracker) updateMean() {
	var sum float64
	known := 0
	for _, w := range t.order {
		if w.known() {
			sum += w.current.mean
			known++
		}
	}
	t.mean = 0
	if known > 0 {
		t.mean = sum / float64(known)
	}
}

// settleFinished settles the groups without runs whose time has come.
func (t *Tracker) settleFinished(now instant) {
	done := 0
	for ; done < len(t.closing) && now >= t.closing[done].at; done++ {
		g, at := t.closing[done].group, t.closing[done].at
		if g.open == 0 && g.settleAt == at && t.groups[g.key] == g {
			t.settle(g, at)
			delete(t.groups, g.key)
		}
	}
	t.closing = slices.Delete(t.closing, 0, done)
}

// dropUnseen drops the workers that are unseen.
func (t *Tracker) dropUnseen(now instant) {
	t.order = slices.DeleteFunc(t.order, func(w *worker) bool {
		if w.unseen(now) {
			delete(t.workers, w.id)
		}
		return w.unseen(now)
	})
}

// Estimate returns the estimate for a worker. Where the observations don't show that workers differ, it is the zero value.
func (t *Tracker) Estimate(id hsid.InstanceID) hswork.SpeedEstimate {
	w := t.workers[id]
	switch {
	case w != nil && w.known() && (t.uneven || w.shown):
		b := w.placing()
		return hswork.SpeedEstimate{Slowdown: hswork.LogFactor(clampSlowdown(b.mean - t.mean)), Variance: b.variance}
	case t.uneven && (w == nil || !w.known()):
		return hswork.SpeedEstimate{Variance: hswork.PriorVariance}
	}
	return hswork.SpeedEstimate{}
}
