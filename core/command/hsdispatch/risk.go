package hsdispatch

import (
	"math"
	"time"

	"hyssopseam/core/hswork"
)

const (
	// costOfLate weighs the risk of being late, and costOfSpeed the speed of a worker, in the choice between workers. Both were
	// set by trials on the customers' days.
	costOfLate  = 5.0
	costOfSpeed = 0.3
	// startDelay is the time from a decision until the run has begun, and from its end until that is known, together.
	startDelay = 250 * time.Millisecond
	// minTimeLeft is the shortest time left for a unit's work with which it may still be on time, in seconds.
	minTimeLeft = 0.05
	// unevenVariance is the variance of the logarithm of a run time that neither the worker nor the estimate explains.
	unevenVariance = 0.01
	// priorWorkVariance is that of the estimated work of a step whose queue has no observed runs, and maxWorkVariance bounds
	// that of any other.
	priorWorkVariance = 0.25
	maxWorkVariance   = 1.0
	// minWorkSamples is the number of observed runs from which on their errors are used.
	minWorkSamples = 3
)

// outlook holds what decides, besides the worker, whether the units of a step will be on time.
type outlook struct {
	// work is the expected run time on an average worker, and left is how long the unit may run if it starts now, in seconds.
	work, left float64
	// scaling is the part of left that is proportional to the work: objectives and the rest of the job grow with it.
	scaling float64
	// workVariance is that of the logarithm of work.
	workVariance float64
	// now and later hold the risk by speed class of a start now and after the stop timeout; below 0 where it isn't computed.
	now, later []float64
}

// outlookOf returns the outlook of the units of a step as of this pass.
func (d *Dispatcher) outlookOf(u *unit) *outlook {
	id := stepIDOf(u.key())
	if o := d.fleet.outlooks[id]; o != nil {
		return o
	}
	own, path := d.expectedRunTime(u.job, u.step), d.criticalPath(u.job)
	rest := d.restOfPath(u.job, id.Step)
	age := d.age(u.job, id.Occurrence, d.lastPass)
	o := &outlook{
		work:         own.Seconds(),
		left:         (d.latencyObjective(u.job) - age - rest - startDelay).Seconds(),
		scaling:      u.job.Stretch*path.Seconds() - rest.Seconds(),
		workVariance: workVariance(d.state.RunTimes[u.job.Queue]),
		now:          uncomputed(len(d.fleet.classes)),
		later:        uncomputed(len(d.fleet.classes)),
	}
	d.fleet.outlooks[id] = o
	return o
}

// uncomputed returns a list of risks that aren't computed yet.
func uncomputed(n int) []float64 {
	risks := make([]float64, n)
	for i := range risks {
		risks[i] = -1
	}
	return risks
}

// workVariance returns the variance of the logarithm of the estimates of a queue, which average two independent predictors.
func workVariance(s *hswork.RunTimeStats) float64 {
	if s == nil || s.Samples < minWorkSamples || s.DeclaredError <= 0 {
		return priorWorkVariance
	}
	v := s.DeclaredError * s.MeanError / (s.DeclaredError + s.MeanError)
	if math.IsNaN(v) {
		return priorWorkVariance
	}
	return min(max(v, 0), maxWorkVariance)
}

// restOfPath returns the estimated run time of the longest chain of steps that depend on a step.
func (d *Dispatcher) restOfPath(j *hswork.Job, step int) time.Duration {
	rest := make([]time.Duration, len(j.Steps))
	for i := len(j.Steps) - 1; i > step; i-- {
		after := d.expectedRunTime(j, &j.Steps[i]) + rest[i]
		for _, dep := range j.Steps[i].After {
			rest[dep] = max(rest[dep], after)
		}
	}
	return rest[step]
}

// risk returns the probability that the units of the step, started after a wait on a worker of the given speed, end too late. It
// compares the normal distributions of the logarithms of the time left over the work and of the slowdown.
func (o *outlook) risk(s hswork.SpeedEstimate, wait time.Duration) float64 {
	left := o.left - wait.Seconds()
	if left <= minTimeLeft || o.work <= 0 {
		return 1
	}
	// If the work is larger than estimated by a small factor, so is the part of the time left that is proportional to it.
	sensitivity := min(max(o.scaling/left-1, -1), 1)
	variance := s.Variance + sensitivity*sensitivity*o.workVariance + unevenVariance
	z := (math.Log(left/o.work) - float64(s.Slowdown)) / math.Sqrt(variance)
	return 0.5 * math.Erfc(z/math.Sqrt2)
}

// lateRisk returns the probability that a unit misses its objective if it starts on a worker after a wait. The risks without a
// wait and after the stop timeout are computed once for each step and speed class in a pass. Units without an end have none.
func (d *Dispatcher) lateRisk(u *unit, w *worker, wait time.Duration) float64 {
	if u.step.LongRunning || u.step.BestEffort {
		return 0
	}
	if u.outlook == nil {
		u.outlook = d.outlookOf(u)
	}
	o := u.outlook
	var risks []float64
	switch wait {
	case 0:
		risks = o.now
	case d.config.StopTimeout:
		risks = o.later
	default:
		return o.risk(d.estimateOf(w), wait)
	}
	if risks[w.speed] < 0 {
		risks[w.speed] = o.risk(d.estimateOf(w), wait)
	}
	return risks[w.speed]
}

// speedCost returns the cost of a worker's speed to a unit in the choice between workers: the risk of being late, and for workers
// on which that is the same, more for faster ones, which stay free for units with less time.
func (d *Dispatcher) speedCost(u *unit, o *offer) float64 {
	if !d.fleet.uneven || u.step.LongRunning || u.step.BestEffort {
		return 0
	}
	return costOfLate*d.lateRisk(u, o.worker, 0) - costOfSpeed*float64(d.estimateOf(o.worker).Slowdown)
}

// latenessCost returns the work in core-seconds that is lost on average if a unit starts on a worker after the stop timeout: all
// work of a unit that ends too late.
func (d *Dispatcher) latenessCost(u *unit, o *offer) float64 {
	if !d.fleet.uneven {
		return 0
	}
	work := stepCores(u.step) * d.expectedRunTime(u.job, u.step).Seconds() * float64(len(u.tasks))
	return d.lateRisk(u, o.worker, d.config.StopTimeout) * work
}
