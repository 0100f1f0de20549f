package hsdispatch

import (
	"math"
	"time"

	"hyssopseam/core/hswork"
)

const (
	// minStragglerPercent is the progress of each member from which on its run time is predicted.
	minStragglerPercent = 10
	// maxRestartRisk is the largest risk of being late, summed over the workers of the restart. A restart throws work away, so
	// it needs more certainty than a placement.
	maxRestartRisk = 0.1
	// lateMargin is by how many standard deviations the predicted end has to be too late.
	lateMargin = 1.28
	// remainingDeviation is the relative standard deviation of a remaining time that progress shows.
	remainingDeviation = 0.1
	// taskVariance is the variance of the logarithm of the work of the tasks of a step.
	taskVariance = 0.05
	// maxThrownShare bounds the work that a restart throws away, as a share of the unit's work.
	maxThrownShare = 0.4
)

// Straggler describes the decision to restart a unit that is late because of a slow worker. Times count from when the
// job became due.
type Straggler struct {
	// Run is the run of the unit's first task.
	Run hswork.RunID
	// EndsAfter and RestartEndsAfter are the predicted ends without and with the restart.
	EndsAfter        time.Duration
	RestartEndsAfter time.Duration
	Objective        time.Duration
	// Thrown is the share of the unit's work that is thrown away.
	Thrown float64
}

// forecast is what the progress of a running unit shows.
type forecast struct {
	// work is the run time on an average worker in seconds, and variance that of its logarithm.
	work, variance float64
	// remaining is the time until the last member ends.
	remaining time.Duration
	// done is the mean share of the work that is done, and kept is the share that a restart keeps.
	done, kept float64
}

// restartStragglers restarts units that are going to miss their objective because of a slow worker, and that are likely to meet it
// on workers that are free now. These are claimed until the runs have stopped. A unit is restarted at most once. Units of
// speculative steps are treated like others: they get no copy.
func (d *Dispatcher) restartStragglers(offers []*offer, now time.Time) {
	if !d.config.Features.Stragglers || !d.fleet.uneven {
		return
	}
	seen := map[hswork.TaskID]bool{}
	for _, id := range d.workersWithRuns() {
		if d.factorOf(id) <= 1 {
			// The slowest worker of a straggler is slower than the average.
			continue
		}
		for _, p := range d.placedOn(id) {
			key := p.run.Task
			if p.step.Gang {
				key.Index = 0
			}
			if seen[key] || d.restarted[key] {
				continue
			}
			seen[key] = true
			if d.mayStraggle(p) {
				d.restartStraggler(p, offers, now)
			}
		}
	}
}

// mayStraggle reports whether a run belongs to a unit that may be restarted: it alone keeps its step from its end.
func (d *Dispatcher) mayStraggle(p placedRun) bool {
	if p.step.LongRunning || p.step.BestEffort || p.job.Phase != hswork.Open {
		return false
	}
	if !p.step.Gang {
		tasks := p.job.Occurrences[p.run.Task.Occurrence].Steps[p.run.Task.Step]
		for i := range tasks {
			if i != p.run.Task.Index && !tasks[i].Done {
				return false
			}
		}
	}
	return true
}

// unitRuns returns the placed runs of a run's unit, or nil if one of them is ending.
func (d *Dispatcher) unitRuns(p placedRun) []placedRun {
	if !p.step.Gang {
		if d.stopping[p.run] || d.proposedEnds[p.run] {
			return nil
		}
		return []placedRun{p}
	}
	if !d.gangIntact(p) {
		return nil
	}
	tasks := p.job.Occurrences[p.run.Task.Occurrence].Steps[p.run.Task.Step]
	var runs []placedRun
	for i := range tasks {
		m := p
		m.run.Task.Index, m.task, m.assignment = i, &tasks[i], *tasks[i].Assignment(p.run.Number)
		runs = append(runs, m)
	}
	return runs
}

// forecastOf predicts the end of a unit from the progress of its runs. It returns false without enough progress.
func (d *Dispatcher) forecastOf(runs []placedRun, now time.Time) (forecast, bool) {
	f := forecast{kept: 1}
	n := float64(len(runs))
	for _, p := range runs {
		seen, w := d.progress[p.run], d.workers[p.assignment.Worker]
		gained, took := float64(seen.percent-seen.firstPercent), seen.changedAt.Sub(seen.firstSeen).Seconds()
		if w == nil || gained < minStragglerPercent || gained > 100 || took <= 0 {
			return f, false
		}
		total := took * 100 / gained
		e := d.estimateOf(w)
		f.work += (math.Log(total) - float64(e.Slowdown)) / n
		f.variance += (taskVariance + e.Variance) / (n * n)
		f.remaining = max(f.remaining, d.remainingOf(p, d.factorOf(w.id), now))
		// A run that is waiting for the others has done its share; the last second may not be saved.
		done := min(float64(seen.percent)/100+now.Sub(seen.changedAt).Seconds()/total, 1)
		f.done += done / n
		saved := 0.0
		if p.step.Checkpoints && seen.checkpoint != "" {
			saved = max(float64(seen.percent)/100-1/total, 0)
		}
		f.kept = min(f.kept, saved)
	}
	f.work = math.Exp(f.work)
	return f, true
}

// restartStraggler restarts the unit of a run if it is a straggler.
func (d *Dispatcher) restartStraggler(p placedRun, offers []*offer, now time.Time) {
	runs := d.unitRuns(p)
	f, ok := d.forecastOf(runs, now)
	if len(runs) == 0 || !ok || f.done-f.kept > maxThrownShare {
		return
	}
	own, rest := d.expectedRunTime(p.job, p.step), d.restOfPath(p.job, p.run.Task.Step)
	path := (d.criticalPath(p.job) - own).Seconds() + f.work
	objective := time.Duration(p.job.Stretch*path*float64(time.Second)) + p.job.Target
	age := d.age(p.job, p.run.Task.Occurrence, now)
	endsAfter := age + f.remaining + rest
	deviation := math.Hypot(remainingDeviation*f.remaining.Seconds(), p.job.Stretch*f.work*math.Sqrt(f.variance))
	if (endsAfter - objective).Seconds() <= lateMargin*deviation {
		return
	}
	u := &unit{job: p.job, step: p.step, covered: d.coveredJobs[p.job.ID], readySince: now, usesHeadroom: p.job.Priority == 0, maxRisk: maxRestartRisk}
	for _, r := range runs {
		u.tasks = append(u.tasks, r.run.Task)
	}
	u.trust = d.neededTrust(u)
	delay := d.config.StopTimeout + startDelay
	u.outlook = &outlook{
		work:         f.work * (1 - f.kept),
		left:         (objective - age - rest - delay).Seconds(),
		scaling:      p.job.Stretch*path - rest.Seconds(),
		workVariance: f.variance,
		now:          uncomputed(len(d.fleet.classes)),
		later:        uncomputed(len(d.fleet.classes)),
	}
	members := d.assignLocal(u, offers, fits)
	factor, risk := d.restartOn(u, members)
	if members == nil || risk > maxRestartRisk {
		return
	}
	d.deduct(u, members, offers)
	d.claims[u.key()] = &claim{members: members, createdAt: now, restart: true}
	d.restarted[u.key()] = true
	d.traceOf(u.job.ID).straggler = true
	d.ports.Observer.Restarting(Straggler{
		Run: runs[0].run, EndsAfter: endsAfter, Objective: objective, Thrown: f.done - f.kept,
		RestartEndsAfter: age + delay + scaled(time.Duration(f.work*(1-f.kept)*float64(time.Second)), factor) + rest,
	})
	d.stopRun(runs[0], StopStraggler, "")
}

// restartOn returns the ratio of run times of the slowest member, and the risk of being late summed over the workers.
func (d *Dispatcher) restartOn(u *unit, members []hswork.Member) (factor, risk float64) {
	counted := map[*worker]bool{}
	for _, m := range members {
		w := d.workers[m.Worker]
		if counted[w] {
			continue
		}
		counted[w] = true
		factor = max(factor, d.factorOf(m.Worker))
		risk += d.lateRisk(u, w, 0)
	}
	return factor, risk
}

// dropRestarted forgets the restarted units of jobs that are no longer open.
func (d *Dispatcher) dropRestarted() {
	for key := range d.restarted {
		if !d.isOpen(key.Job) {
			delete(d.restarted, key)
		}
	}
}
