package hsspeed

import (
	"math"
	"time"

	"hyssopseam/core/hsid"
	"hyssopseam/core/hswork"
)

const (
	// minGained and minElapsed are the progress and the time from which on the time of a run is extrapolated.
	minGained  = 10
	minElapsed = 300 * time.Millisecond
	// recentSpan is the least time that the recent rate of a run covers, apart from its first seconds; it covers at most
	// twice as much. Progress is listed about once a second.
	recentSpan = 2 * time.Second
	// minRecent is the time of a run from which on it has a recent rate.
	minRecent = 1500 * time.Millisecond
	// percentVariance is the variance of the difference of two whole percentages.
	percentVariance = 1.0 / 6
	// timeVariance is the variance, in square seconds, of the difference of the times of two readings: a report arrives up
	// to half a second after the listing.
	timeVariance = 0.04
	// barrierPercent is the progress from which on a member of a gang may be waiting for slower members.
	barrierPercent = 95
	maxPercent     = 100
	// maxRecent is the time above which a rate isn't a recent one: the run made no progress for long.
	maxRecent = 10 * time.Second
	// maxFactor bounds the logarithm of the ratio of a run's time to the expected one, to a factor of 160,000. Declared times
	// may be off by a factor of a thousand.
	maxFactor = 12.0
)

// Reading is one reading of the progress of a run.
type Reading struct {
	Run     hswork.RunID
	Worker  hsid.InstanceID
	Percent hswork.Percent
	At      time.Time
	// Expected is the expected run time of the task on an average worker.
	Expected time.Duration
	// Gang is set for a member of a gang.
	Gang bool
}

// mark is the progress of a run at a time.
type mark struct {
	percent hswork.Percent
	at      instant
}

// until returns the logarithm of the total time of a run in seconds, extrapolated from two marks, and the variance that
// the resolution of progress and of time causes. It requires that time has passed and progress was made.
func (m mark) until(last mark) (total, noise float64) {
	elapsed, gained := (last.at - m.at).Seconds(), float64(last.percent-m.percent)
	return math.Log(elapsed * maxPercent / gained), percentVariance/(gained*gained) + timeVariance/(elapsed*elapsed)
}

// run is a run in progress.
type run struct {
	group  *group
	worker *worker
	// member is the position of the run's member in its group; -1 before the first observation.
	member int
	first  mark
	last   mark
	// older and newer are marks of the last seconds, from which the recent rate is measured.
	older, newer mark
	// total is the logarithm of the extrapolated time, once observed is set.
	total    float64
	observed bool
	// recent is the same from the recent rate, with the variance of the measurement, once hasRecent is set.
	recent      float64
	recentNoise float64
	hasRecent   bool
}

// restart makes the observation of a run begin again at a mark. What was observed before stays.
func (r *run) restart(m mark) {
	r.first, r.last, r.older, r.newer = m, m, m, m
}

// advance adds a mark, and reports whether the extrapolated times may have changed.
func (r *run) advance(m mark) bool {
	if m.at < r.last.at || m.percent < r.last.percent {
		// A clock was set back, or the task began again.
		r.restart(m)
		return false
	}
	if m.percent == r.last.percent {
		return false
	}
	r.last = m
	changed := false
	if m.percent-r.first.percent >= minGained && m.at-r.first.at >= minElapsed {
		total, _ := r.first.until(m)
		r.total, r.observed, changed = r.group.limit(total), true, true
	}
	if m.at-r.newer.at >= recentSpan {
		r.older, r.newer = r.newer, m
	}
	if span := m.at - r.older.at; span > maxRecent {
		r.hasRecent = false
	} else if r.observed && span >= minRecent {
		recent, noise := r.older.until(m)
		r.recent, r.recentNoise, r.hasRecent = r.group.limit(recent), noise, true
		changed = true
	}
	return changed
}

// logSeconds returns the logarithm of an expected run time in seconds.
func logSeconds(d time.Duration) float64 { return math.Log(max(d, minExpected).Seconds()) }
