package hsdispatch

import (
	"math"
	"time"

	"hyssopseam/core/hsid"
	"hyssopseam/core/hswork"
)

const (
	// maxSlowdown bounds the estimates that are used: a worker takes at most e^2 = 7.4 times as long as the average one.
	maxSlowdown = 2.0
	// maxVariance is the largest variance that is used. It is far above that of an unknown worker.
	maxVariance = 1.0
	// speedResolution is what estimates are rounded to, so that workers with about the same estimate share results. It is
	// small against the errors of the estimates.
	speedResolution = 1.0 / 64

	// maxScaled bounds scaled durations so that sums of a few of them don't overflow.
	maxScaled = float64(math.MaxInt64 / 8)
)

// speedClass identifies the workers whose estimates are equal after rounding, as of one pass.
type speedClass int

// averageClass holds the workers with the zero value as their estimate, which all have while the fleet appears to be even.
const averageClass speedClass = 0

// speed is the estimate of a class, and the ratio of run times that it stands for.
type speed struct {
	estimate hswork.SpeedEstimate
	factor   float64
}

// fleetSpeeds holds the speeds of the workers as of one pass, and the results that depend on them.
type fleetSpeeds struct {
	// uneven is set if there is an estimate that differs from the zero value. Speeds doesn't give one before observations show
	// that workers differ, so nothing depends on speeds while the fleet appears to be even.
	uneven  bool
	classes []speed
	classOf map[hswork.SpeedEstimate]speedClass
	// outlooks holds the outlook of each step that was considered in the pass.
	outlooks map[StepID]*outlook
	// gangs holds the slowest member and the remaining time of gangs, by the run of their first member.
	gangs map[hswork.RunID]gangPace
}

// gangPace is the ratio of run times of a gang's slowest member, and the time until its last member ends.
type gangPace struct {
	factor float64
	endsIn time.Duration
}

// newFleetSpeeds returns the speeds of an even fleet.
func newFleetSpeeds() fleetSpeeds {
	f := fleetSpeeds{
		classOf:  map[hswork.SpeedEstimate]speedClass{},
		outlooks: map[StepID]*outlook{},
		gangs:    map[hswork.RunID]gangPace{},
	}
	f.reset()
	return f
}

// reset drops the results of the last pass.
func (f *fleetSpeeds) reset() {
	f.uneven = false
	f.classes = append(f.classes[:0], speed{factor: 1})
	clear(f.classOf)
	f.classOf[hswork.SpeedEstimate{}] = averageClass
	clear(f.outlooks)
	clear(f.gangs)
}

// class returns the class of an estimate.
func (f *fleetSpeeds) class(e hswork.SpeedEstimate) speedClass {
	c, ok := f.classOf[e]
	if !ok {
		c = speedClass(len(f.classes))
		f.classes = append(f.classes, speed{estimate: e, factor: math.Exp(float64(e.Slowdown))})
		f.classOf[e] = c
	}
	return c
}

// readSpeeds reads the estimates of the workers' speeds for a pass.
func (d *Dispatcher) readSpeeds() {
	f := &d.fleet
	f.reset()
	if !d.config.Features.Speeds {
		return
	}
	for id, w := range d.workers {
		w.speed = f.class(roundEstimate(d.speeds.Estimate(id)))
		f.uneven = f.uneven || w.speed != averageClass
	}
}

// roundEstimate returns a rounded estimate within the bounds. Values that aren't numbers count as an unknown worker of average
// speed.
func roundEstimate(e hswork.SpeedEstimate) hswork.SpeedEstimate {
	slowdown, deviation := float64(e.Slowdown), math.Sqrt(e.Variance)
	if math.IsNaN(slowdown) {
		slowdown, deviation = 0, 1
	}
	if math.IsNaN(deviation) {
		deviation = 1
	}
	slowdown = roundTo(min(max(slowdown, -maxSlowdown), maxSlowdown))
	deviation = roundTo(min(deviation, math.Sqrt(maxVariance)))
	return hswork.SpeedEstimate{Slowdown: hswork.LogFactor(slowdown), Variance: deviation * deviation}
}

// roundTo rounds a number to a multiple of speedResolution.
func roundTo(x float64) float64 { return math.Round(x/speedResolution) * speedResolution }

// estimateOf returns the estimate of a worker's speed as of this pass.
func (d *Dispatcher) estimateOf(w *worker) hswork.SpeedEstimate {
	return d.fleet.classes[w.speed].estimate
}

// factorOf returns how many times as long a worker takes as the average one; 1 for a worker that hasn't reported.
func (d *Dispatcher) factorOf(id hsid.InstanceID) float64 {
	w := d.workers[id]
	if w == nil {
		return 1
	}
	return d.fleet.classes[w.speed].factor
}

// expectedRunTimeOn returns the estimated run time of a task of a step on a worker.
func (d *Dispatcher) expectedRunTimeOn(j *hswork.Job, s *hswork.Step, w *worker) time.Duration {
	return scaled(d.expectedRunTime(j, s), d.fleet.classes[w.speed].factor)
}

// factorOfRun returns how many times as long a run takes as on the average worker. A gang is as slow as its slowest member.
func (d *Dispatcher) factorOfRun(p placedRun) float64 {
	switch {
	case !d.fleet.uneven:
		return 1
	case p.step.Gang:
		return d.gangPaceOf(p).factor
	}
	return d.factorOf(p.assignment.Worker)
}

// gangPaceOf returns the pace of a run's gang as of this pass.
func (d *Dispatcher) gangPaceOf(p placedRun) gangPace {
	first := p.run
	first.Task.Index = 0
	if g, ok := d.fleet.gangs[first]; ok {
		return g
	}
	g := gangPace{}
	tasks := p.job.Occurrences[p.run.Task.Occurrence].Steps[p.run.Task.Step]
	for i := range tasks {
		a := tasks[i].Assignment(p.run.Number)
		if a == nil {
			continue
		}
		m := p
		m.run.Task.Index, m.task, m.assignment = i, &tasks[i], *a
		factor := d.factorOf(a.Worker)
		g.factor = max(g.factor, factor)
		g.endsIn = max(g.endsIn, d.remainingOf(m, factor, d.lastPass))
	}
	d.fleet.gangs[first] = g
	return g
}

// scaled multiplies a duration by a positive factor, up to maxScaled.
func scaled(t time.Duration, factor float64) time.Duration {
	if factor == 1 {
		return t
	}
	return time.Duration(min(float64(t)*factor, maxScaled))
}
