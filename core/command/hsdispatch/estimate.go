package hsdispatch

import (
	"math"
	"time"

	"hyssopseam/core/hswork"
)

const (
	// learnShare is the weight of a new observation, in percent.
	learnShare = 20
	// minSamples is how many runs of a queue are seen before their times are used.
	minSamples = 3
	// minRun bounds estimates from below; declared times may be far off.
	minRun = 250 * time.Millisecond
	// trustedPercent is the progress from which on it tells the remaining time.
	trustedPercent = 5
)

// experience is what was seen of the runs of one queue: how long they took, and how far off the declared
// times and the mean were.
type experience struct {
	samples       int
	mean          float64
	declaredError float64
	meanError     float64
}

// observe takes the time that a run took and that it was declared to take.
func (e *experience) observe(took, declared time.Duration) {
	actual := math.Log(max(took, minRun).Seconds())
	told := math.Log(max(declared, minRun).Seconds())
	if e.samples == 0 {
		e.mean = actual
	}
	e.samples++
	blend(&e.declaredError, math.Abs(actual-told))
	blend(&e.meanError, math.Abs(actual-e.mean))
	blend(&e.mean, actual)
}

func blend(value *float64, sample float64) {
	*value += (sample - *value) * learnShare / 100
}

// expect returns how long a run is taken to last: as declared, unless the mean of what was seen came nearer.
func (e *experience) expect(declared time.Duration) time.Duration {
	declared = max(declared, minRun)
	if e == nil || e.samples < minSamples || e.declaredError <= e.meanError {
		return declared
	}
	return time.Duration(math.Exp(e.mean) * float64(time.Second))
}

// expectStep returns how long a task of a step is taken to run.
func (d *Dispatcher) expectStep(j *hswork.Job, s *hswork.Step) time.Duration {
	return d.experiences[j.Queue].expect(s.Estimate)
}

// learn notes how long a run took that was done.
func (d *Dispatcher) learn(run hswork.RunID, now time.Time) {
	began, ok := d.began[run]
	j := d.state.Jobs[run.Task.Work]
	if !ok || j == nil || run.Number > 1 {
		return
	}
	e := d.experiences[j.Queue]
	if e == nil {
		e = &experience{}
		d.experiences[j.Queue] = e
	}
	e.observe(now.Sub(began), j.Steps[run.Task.Step].Estimate)
}

// remaining returns how long a run is taken to go on: by its progress where it tells, or else as expected.
func (d *Dispatcher) remaining(p placedRun, now time.Time) time.Duration {
	expected := d.expectStep(p.job, p.step)
	began, ok := d.began[p.run]
	if !ok {
		return expected
	}
	elapsed := now.Sub(began)
	if percent := d.percentOf(p); percent >= trustedPercent {
		return elapsed * time.Duration(100-percent) / time.Duration(percent)
	}
	return max(expected-elapsed, minRun)
}

func (d *Dispatcher) percentOf(p placedRun) hswork.Percent {
	w := d.workers[p.place.Worker]
	if w == nil {
		return 0
	}
	for _, r := range w.tally.Running {
		if r.Run == p.run {
			return r.Percent
		}
	}
	return 0
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
