package hsdispatch

import (
	"cmp"
	"slices"
	"time"

	"hyssopseam/core/hsid"
	"hyssopseam/core/hswork"
)

const (
	// lossPoints, for the loss of a worker with its runs and for a short life, and failurePoints, for a failed or refused run, weigh
	// the evidence. A single failure may be the fault of the task, so it takes two for what one loss shows.
	lossPoints    = 2
	failurePoints = 1
	// offencePoints is the number of points that make one offence, and maxPoints bounds those of a worker.
	offencePoints = 2
	maxPoints     = 12
	// forgivePeriod is the time without evidence, and forgiveRuns the number of completed runs, after which a point is dropped.
	// Tasks fail by themselves now and then, on a busy worker more often than in a period.
	forgivePeriod = 30 * time.Second
	forgiveRuns   = 10
	// minTrustPause is how long a worker with one offence stays at each level. It doubles with each further offence, up to
	// maxTrustPause. A completed run counts as a pause, several for a worker with several offences.
	minTrustPause = time.Second
	maxTrustPause = 32 * time.Second
	// shortLife is the life of an incarnation below which it counts as evidence.
	shortLife = 30 * time.Second
	// sameEvent is the time within which several losses on a worker count as one.
	sameEvent = 2 * time.Second
	// shortRun is the longest expected run time of a task that counts as short.
	shortRun = 5 * time.Second
	// maxDistrustedPercent bounds the workers that are held back, in percent of those that accept new runs. More failures at a
	// time have a common cause.
	maxDistrustedPercent = 25
	// maxTrusts bounds the workers about which evidence is kept.
	maxTrusts = 4096
	// penaltyDistrust is the cost of a worker for each level that it is short of, to units that may use it all the same.
	penaltyDistrust = 25.0
)

// TrustLevel says which units a worker gets. Each level includes those below.
type TrustLevel int

// The levels.
const (
	// TrustShort allows single tasks that are short or save checkpoints.
	TrustShort TrustLevel = iota
	// TrustSingle allows all single tasks.
	TrustSingle
	// TrustGang allows gangs below priority 0.
	TrustGang
	// TrustFull allows everything.
	TrustFull
)

// String returns the level as logs and metrics name it.
func (l TrustLevel) String() string {
	return [...]string{"short", "single", "gang", "full"}[min(max(l, TrustShort), TrustFull)]
}

// Evidence is what lowers the trust in a worker.
type Evidence string

// The kinds of evidence.
const (
	// EvidenceLost is the end of runs that were lost with the worker.
	EvidenceLost Evidence = "lost"
	// EvidenceRefused is a start that the endpoint refused.
	EvidenceRefused Evidence = "refused"
	// EvidenceFailed is a failed run that isn't attributed to its job.
	EvidenceFailed Evidence = "failed"
	// EvidenceShortLife is an incarnation of the endpoint that lived shorter than 30 s.
	EvidenceShortLife Evidence = "shortLife"
)

// TrustChange describes a change of the trust in a worker.
type TrustChange struct {
	Worker hsid.InstanceID
	Level  TrustLevel
	// Points is the weight of the evidence that isn't forgiven, and Last is the newest of it.
	Points int
	Last   Evidence
}

// trust is the evidence against a worker. It survives the incarnations of its endpoint.
type trust struct {
	points     int
	last       Evidence
	lastAt     time.Time
	forgivenAt time.Time
	// done counts the runs that were completed since the last evidence, and doneForgiven those that count for the next point.
	done, doneForgiven int
	// level is the one reported last.
	level TrustLevel
}

// offences returns the number of offences that aren't forgiven.
func (t *trust) offences() int { return t.points / offencePoints }

// levelAt returns the level that the evidence allows at a time.
func (t *trust) levelAt(now time.Time) TrustLevel {
	offences := t.offences()
	if offences == 0 {
		return TrustFull
	}
	pause := min(minTrustPause<<(offences-1), maxTrustPause)
	steps := int64(now.Sub(t.lastAt)/pause) + int64(t.done/offences)
	return TrustLevel(min(max(steps, 0), int64(TrustFull)))
}

// forgive drops the points for which enough time has passed, or enough runs were completed.
func (t *trust) forgive(now time.Time) {
	for t.points > 0 && now.Sub(t.forgivenAt) >= forgivePeriod {
		t.points--
		t.forgivenAt = t.forgivenAt.Add(forgivePeriod)
	}
	for ; t.points > 0 && t.doneForgiven >= forgiveRuns; t.doneForgiven -= forgiveRuns {
		t.points--
	}
}

// recordEvidence records evidence against a worker.
func (d *Dispatcher) recordEvidence(id hsid.InstanceID, e Evidence, now time.Time) {
	if !d.config.Features.Trust {
		return
	}
	t := d.trusts[id]
	if t == nil {
		if len(d.trusts) >= maxTrusts {
			return
		}
		t = &trust{level: TrustFull}
		d.trusts[id] = t
	}
	points := failurePoints
	if e == EvidenceLost || e == EvidenceShortLife {
		points = lossPoints
		if t.last == EvidenceLost || t.last == EvidenceShortLife {
			if now.Sub(t.lastAt) < sameEvent {
				return
			}
		}
	}
	t.points = min(t.points+points, maxPoints)
	t.last, t.lastAt, t.forgivenAt = e, now, now
	t.done, t.doneForgiven = 0, 0
}

// recordLosses records the ends of runs that were lost with a worker.
func (d *Dispatcher) recordLosses(ends []hswork.End, id hsid.InstanceID) {
	if slices.ContainsFunc(ends, func(e hswork.End) bool { return e.Kind == hswork.EndLost }) {
		d.recordEvidence(id, EvidenceLost, d.ports.Clock.Now())
	}
}

// recordCompleted records a completed run.
func (d *Dispatcher) recordCompleted(id hsid.InstanceID) {
	if t := d.trusts[id]; t != nil {
		t.done++
		t.doneForgiven++
	}
}

// life is the incarnation of a worker's endpoint that was reported last. It stays while a restarted runner reports none.
type life struct {
	incarnation hswork.EndpointIncarnation
	// began is when it was first reported; zero if it was there when the worker first reported.
	began time.Time
}

// recordLife records the incarnation that a report names. If it is a new one, and the one before, which was heard of last at the
// given time, lived short, that is evidence against the worker.
func (d *Dispatcher) recordLife(w *worker, lastHeard time.Time) {
	named, before := w.report.Endpoint.Incarnation, w.life
	if named <= before.incarnation {
		return
	}
	w.life = life{incarnation: named}
	if before.incarnation == 0 {
		return
	}
	w.life.began = w.lastHeard
	if !before.began.IsZero() && lastHeard.Sub(before.began) < shortLife {
		d.recordEvidence(w.id, EvidenceShortLife, w.lastHeard)
	}
}

// updateTrust sets the level of the workers that accept new runs for a pass, reports changes, and forgets the evidence that is
// forgiven. If too many workers are distrusted, those with the least evidence count as trusted.
func (d *Dispatcher) updateTrust(offers []*offer, now time.Time) {
	if !d.config.Features.Trust {
		return
	}
	var distrusted []*offer
	for _, o := range offers {
		o.trust = TrustFull
		t := d.trusts[o.worker.id]
		if t == nil {
			continue
		}
		t.forgive(now)
		o.trust = t.levelAt(now)
		if o.trust != t.level {
			t.level = o.trust
			d.ports.Observer.TrustChanged(TrustChange{Worker: o.worker.id, Level: t.level, Points: t.points, Last: t.last})
		}
		if o.trust < TrustFull {
			distrusted = append(distrusted, o)
		}
	}
	slices.SortStableFunc(distrusted, func(a, b *offer) int {
		return cmp.Compare(d.trusts[b.worker.id].points, d.trusts[a.worker.id].points)
	})
	limit := max(len(offers)*maxDistrustedPercent/100, 1)
	for _, o := range distrusted[min(limit, len(distrusted)):] {
		o.trust = TrustFull
	}
	for id, t := range d.trusts {
		t.forgive(now)
		if t.points == 0 {
			delete(d.trusts, id)
		}
	}
}

// neededTrust returns the level of a worker from which on it gets a unit; the lowest one without Features.Trust.
func (d *Dispatcher) neededTrust(u *unit) TrustLevel {
	switch {
	case !d.config.Features.Trust:
		return TrustShort
	case len(u.tasks) > 1 && u.job.Priority == 0:
		return TrustFull
	case len(u.tasks) > 1:
		return TrustGang
	case u.step.Checkpoints || !u.step.LongRunning && d.expectedRunTime(u.job, u.step) <= shortRun:
		return TrustShort
	}
	return TrustSingle
}

// distrust returns by how many levels the trust in a worker falls short of what a unit needs; 0 if it suffices.
func (d *Dispatcher) distrust(u *unit, o *offer) int {
	if !d.config.Features.Trust {
		return 0
	}
	return max(int(u.trust-o.trust), 0)
}
