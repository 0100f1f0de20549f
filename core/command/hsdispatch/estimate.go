package hsdispatch

import (
	"time"

	"hyssopseam/core/hsmessage"
	"hyssopseam/core/hswork"
)

const (
	// leastRemaining is the least time that a run at work is taken to go on.
	leastRemaining = 250 * time.Millisecond
	// trustedPercent is the progress that has to be seen before it tells the remaining time.
	trustedPercent = 5
	// overrunShare is how much longer a run is taken to go on that has outlasted its estimate, in percent of the time
	// for which it has been at work.
	overrunShare = 50
)

// expectStep returns how long a task of a step is taken to run.
func (d *Dispatcher) expectStep(j *hswork.Job, s *hswork.Step) time.Duration {
	return d.state.Experiences[j.Queue].Expect(s.Estimate)
}

// took returns how long a run that is done was at work, or 0 where its begin wasn't seen.
func (d *Dispatcher) took(e hsmessage.EndedTask, now time.Time) time.Duration {
	began, ok := d.began[e.Run]
	if !ok || e.How != hswork.EndDone {
		return 0
	}
	return now.Sub(began)
}

// remaining returns how long a run is taken to go on: by the pace of its progress where that was seen, or else as
// expected.
func (d *Dispatcher) remaining(p placedRun, now time.Time) time.Duration {
	seen := d.progress[p.run]
	if gained := seen.percent - seen.from; gained >= trustedPercent {
		each := seen.at.Sub(seen.since) / time.Duration(gained)
		return max(each*time.Duration(100-seen.percent)-now.Sub(seen.at), leastRemaining)
	}
	expected := d.expectStep(p.job, p.step)
	began, ok := d.began[p.run]
	if !ok {
		return expected
	}
	elapsed := now.Sub(began)
	return max(expected-elapsed, elapsed*overrunShare/100, leastRemaining)
}

// chain returns how long the longest chain of steps is taken to run.
func (d *Dispatcher) chain(j *hswork.Job) time.Duration {
	ends := make([]time.Duration, len(j.Steps))
	var longest time.Duration
	for i := range j.Steps {
		for _, before := range j.Steps[i].After {
			ends[i] = max(ends[i], ends[before])
		}
		ends[i] += d.expectStep(j, &j.Steps[i])
		longest = max(longest, ends[i])
	}
	return longest
}
