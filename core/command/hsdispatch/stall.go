package hsdispatch

import (
	"time"

	"hyssopseam/core/hsmessage"
	"hyssopseam/core/hswork"
)

const (
	// stallTimeout is how long a run may make no progress before it is restarted on another worker. Progress is
	// reported about once a second.
	stallTimeout = 2 * time.Second
	// gangStallTimeout is the same for members of a gang, which need time to connect to each other.
	gangStallTimeout = 4 * time.Second
	// stallPercent raises the timeout for runs without checkpoints, which lose their work: it is at least this share,
	// in percent, of the time for which the run made progress.
	stallPercent = 50
	// endCommitTime is how long it takes until an end is reported, committed and acknowledged.
	endCommitTime = 300 * time.Millisecond
	// stallSteps is how many percent steps a run is expected to take within the time that it may go without progress, on
	// top of its timeout. Progress is reported in whole percent, and a long task takes seconds for each.
	stallSteps = 2
	// gangBarrierPercent is the progress from which on a member of a gang may be waiting for slower members, as a
	// gang ends together. It isn't taken for stalled then.
	gangBarrierPercent = 95
)

// progress is the last reported progress of a run, and its last reported checkpoint.
type progress struct {
	percent    hswork.Percent
	checkpoint hswork.Checkpoint
	// savedAt is when checkpoint was first reported; zero without a checkpoint.
	savedAt time.Time
	// changedAt is when percent was first reported.
	changedAt time.Time
	// firstPercent is the progress at firstSeen, when the run was first reported as running.
	firstPercent hswork.Percent
	firstSeen    time.Time
}

// trackProgress records the progress that a report shows.
func (d *Dispatcher) trackProgress(report *hsmessage.RunnerReport, now time.Time) {
	for _, r := range report.Running {
		p, ok := d.progress[r.Run]
		if !ok {
			p.firstPercent, p.firstSeen = r.Percent, now
		}
		if !ok || p.percent != r.Percent {
			p.percent, p.changedAt = r.Percent, now
			d.observeProgress(report, r, now)
		}
		if r.Checkpoint != "" && p.checkpoint != r.Checkpoint {
			p.savedAt = now
		}
		p.checkpoint = r.Checkpoint
		d.progress[r.Run] = p
	}
}

// relocateRuns stops runs that make no progress, and runs that won't begin or end before their worker leaves. Later passes
// start them again on other workers. Runs on silent or unhealthy workers are left alone, and so are long-running ones
// unless their worker leaves.
func (d *Dispatcher) relocateRuns(now time.Time) {
	for _, id := range d.workersWithRuns() {
		w := d.workers[id]
		if w == nil || now.Sub(w.lastHeard) > silenceTimeout || !w.report.Healthy {
			continue
		}
		for _, p := range d.placedOn(id) {
			switch {
			case d.stopping[p.run] || d.proposedEnds[p.run] || p.job.Phase != hswork.Open:
			case p.step.LongRunning && !w.report.Endpoint.Leaving:
			case d.stalled(p, now):
				w.health.recordStall(now)
				d.stopRun(p, StopStalled, "")
			case w.report.Endpoint.Leaving && (d.cannotBegin(p, w) || d.outlastsWorker(p, w, now)):
				d.stopRun(p, StopLeaving, "")
			}
		}
	}
}

// stalled reports whether a run has made no progress for longer than its stall timeout.
func (d *Dispatcher) stalled(p placedRun, now time.Time) bool {
	seen, ok := d.progress[p.run]
	if !ok {
		return false
	}
	limit := stallTimeout
	if p.step.Gang {
		if seen.percent >= gangBarrierPercent {
			return false
		}
		limit = gangStallTimeout
	}
	if began, ok := d.runningSince[p.run]; ok && !p.step.Checkpoints {
		limit = max(limit, seen.changedAt.Sub(began)*stallPercent/100)
	}
	idle := now.Sub(seen.changedAt)
	return idle > limit && idle > limit+stallSteps*d.percentTime(p, seen)
}

// percentTime returns how long a run is expected to take for one percent: by the larger of the declared and the estimated work,
// times the slowdown of the slowest worker, or by its own progress if that is slower, as both may be too short.
func (d *Dispatcher) percentTime(p placedRun, seen progress) time.Duration {
	expected := scaled(max(p.step.Estimate, d.expectedRunTime(p.job, p.step))/100, d.factorOfRun(p))
	if gained := seen.percent - seen.firstPercent; gained >= minExtrapolationPercent {
		expected = max(expected, seen.changedAt.Sub(seen.firstSeen)/time.Duration(gained))
	}
	return expected
}
