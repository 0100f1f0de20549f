package hsrunner

import (
	"slices"
	"time"

	"hyssopseam/core/hsid"
	"hyssopseam/core/hsmessage"
	"hyssopseam/core/hswork"
)

// life is what the runner knows of one life of its endpoint.
type life struct {
	endpoint hsmessage.Endpoint
	address  string
	turn     int
	sequence uint64

	// clock is the newest known reading of the endpoint's clock, and clockAt when it was read.
	clock   Reading
	clockAt time.Time
	// listClock is the reading of the newest lists.
	listClock Reading
	listed    bool
	running   []hsmessage.RunningTask
	ended     []hsmessage.EndedTask

	holds   int
	holding bool
	holdAt  time.Time
	// answered is when the endpoint last answered a hold.
	answered time.Time
	// deadline is the latest that any call may have set.
	deadline Reading
	// noted is the newest end that the endpoint was told to forget.
	noted hswork.EndNumber
	// heldTerm is the newest term that a hold carried.
	heldTerm hsid.Term
	// leavesAt is when the endpoint may be gone; zero while it stays.
	leavesAt time.Time
	// goneAt is when the endpoint said goodbye; zero while it didn't.
	goneAt time.Time
	over   bool
	// unsure is set from an unanswered call until a hold shows that this life still goes on. Meanwhile nothing is
	// started and no end is noted: the next life, under the same name, would take both for its own.
	unsure bool

	calls    map[hswork.RunID]*call
	nextCall time.Time
	refused  map[hswork.RunID]string
	never    map[hswork.RunID]bool
	// paces holds the share at which each filling run works; those that aren't listed work at full speed.
	paces map[hswork.RunID]hswork.Percent
}

// call is a start or stop that isn't settled.
type call struct {
	stop    bool
	waiting bool
	at      time.Time
	// settledBy is the first hold that was asked for after a stop was confirmed; zero before.
	settledBy int
}

// Announce takes what the endpoint says of itself. A late announcement of an earlier life is dropped.
func (r *Runner) Announce(a Announcement) bool {
	now := r.ports.Clock.Now()
	l := r.current
	if l != nil && (l.endpoint.ID != a.Endpoint.ID || l.endpoint.Life != a.Endpoint.Life) {
		if a.Endpoint.Life < l.endpoint.Life && now.Sub(l.answered) < unhealthyAfter {
			return false
		}
		l = nil
	}
	if l == nil {
		r.begin(a, now)
		return true
	}
	if a.Sequence <= l.sequence {
		return true
	}
	l.sequence = a.Sequence
	if l.endpoint.Leaving != a.Endpoint.Leaving {
		r.tallyDue = true
		r.ports.Observer.EndpointChanged(a)
	}
	l.endpoint = a.Endpoint
	l.address = a.Address
	l.learnClock(a.Clock, now)
	l.learnLeaving(now)
	return true
}

// begin starts with a new life of the endpoint, of which nothing is known yet.
func (r *Runner) begin(a Announcement, now time.Time) {
	r.turns++
	l := &life{
		endpoint: a.Endpoint,
		address:  a.Address,
		turn:     r.turns,
		sequence: a.Sequence,
		answered: now,
		holdAt:   now,
		calls:    map[hswork.RunID]*call{},
		refused:  map[hswork.RunID]string{},
		never:    map[hswork.RunID]bool{},
		paces:    map[hswork.RunID]hswork.Percent{},
	}
	l.learnClock(a.Clock, now)
	l.learnLeaving(now)
	r.current = l
	clear(r.sealed)
	r.tallyDue = true
	r.ports.Observer.EndpointChanged(a)
	r.reconcile()
}

// Goodbye takes the endpoint's word that it ends. What it runs ends with it.
func (r *Runner) Goodbye(id hswork.EndpointID) {
	l := r.current
	if l == nil || l.endpoint.ID != id || !l.goneAt.IsZero() {
		return
	}
	l.endpoint.Leaving = true
	l.goneAt = r.ports.Clock.Now()
	r.tallyDue = true
}

// learnClock keeps the newest reading.
func (l *life) learnClock(c Reading, now time.Time) {
	if c > 0 && (l.clockAt.IsZero() || c >= l.clock) {
		l.clock = c
		l.clockAt = now
	}
}

func (l *life) learnLeaving(now time.Time) {
	if l.endpoint.Leaving && l.leavesAt.IsZero() {
		l.leavesAt = now.Add(l.endpoint.LeavesIn)
	}
}

// deadlineAt returns the reading that the endpoint's clock shows at the latest at a time.
func (l *life) deadlineAt(t time.Time) Reading {
	ahead := t.Sub(l.clockAt)
	return l.clock + Reading(ahead-ahead*clockShare/100)
}

// lapsed reports whether every lease that a call may have set is over.
func (l *life) lapsed(now time.Time) bool {
	ahead := time.Duration(l.deadline - l.clock)
	return now.After(l.clockAt.Add(ahead + ahead*clockShare/100 + lapseSlack))
}

// checkLife finds out whether all that was started on this life is over.
func (r *Runner) checkLife(now time.Time) {
	l := r.current
	if l == nil || l.over {
		return
	}
	switch {
	case !l.goneAt.IsZero() && now.Sub(l.goneAt) >= overAfter:
		r.endLife("it left", now)
	case l.listed && now.Sub(l.answered) > unhealthyAfter && l.lapsed(now):
		r.endLife("it is silent and its lease is over", now)
	case !l.listed && now.Sub(l.answered) > r.config.MaxHold:
		r.endLife("it never answered, and no lease lasts that long", now)
	}
}

// endLife tells the leader that nothing runs there any more. The runs of the plan are never started after
// that, should the endpoint come back.
func (r *Runner) endLife(reason string, now time.Time) {
	l := r.current
	l.over = true
	for _, p := range r.plan.Runs {
		r.seal(p.Run)
	}
	for _, run := range r.plan.Stops {
		r.seal(run)
	}
	l.running = nil
	r.tallyDue = true
	r.tallyAt = now
	r.ports.Observer.EndpointOver(l.endpoint.ID, reason)
}

// seal keeps a run from being started, and tells the leader that it is over.
func (r *Runner) seal(run hswork.RunID) {
	r.sealed[run] = true
	if !r.current.hasEnded(run) {
		r.current.never[run] = true
	}
}

// healthy reports whether the endpoint answers.
func (l *life) healthy(now time.Time) bool {
	return l.goneAt.IsZero() && now.Sub(l.answered) <= unhealthyAfter
}

// tally writes what is known of this life.
func (l *life) tally(t *hsmessage.Tally, now time.Time) {
	t.Endpoint = l.endpoint
	if !l.leavesAt.IsZero() {
		t.Endpoint.LeavesIn = max(l.leavesAt.Sub(now), 0)
	}
	t.Listed = l.listed
	t.Healthy = l.healthy(now)
	t.Over = l.over
	t.Running = l.running
	t.Ended = l.ended
	for run := range l.never {
		t.Never = append(t.Never, run)
	}
	slices.SortFunc(t.Never, hswork.CompareRuns)
	for run, reason := range l.refused {
		t.Refused = append(t.Refused, hsmessage.RefusedRun{Run: run, Reason: reason})
	}
	slices.SortFunc(t.Refused, func(a, b hsmessage.RefusedRun) int { return hswork.CompareRuns(a.Run, b.Run) })
}
