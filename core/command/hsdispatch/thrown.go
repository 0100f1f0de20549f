package hsdispatch

import (
	"time"

	"hyssopseam/core/hscost"
	"hyssopseam/core/hswork"
)

const (
	// checkpointLoss bounds the run time that a run with checkpoints loses when it is stopped, as it saves one then.
	checkpointLoss = time.Second
	// restartTime is how long it takes until a stopped run continues elsewhere, beside the time to stop it.
	restartTime = endCommitTime
)

// lostByStop returns the run time that a run loses when it is stopped: since its last checkpoint, and at most checkpointLoss
// if it saves checkpoints.
func (d *Dispatcher) lostByStop(p placedRun, now time.Time) time.Duration {
	lost, ok := d.lostByLoss(p, now)
	if !ok {
		lost = unknownLostWork
	}
	if p.step.Checkpoints {
		lost = min(lost, checkpointLoss)
	}
	return lost
}

// lostByLoss returns the run time that a run loses when it ends without saving a checkpoint. It returns false for a run that
// this leader never saw running.
func (d *Dispatcher) lostByLoss(p placedRun, now time.Time) (time.Duration, bool) {
	began, ok := d.runningSince[p.run]
	if !ok {
		return 0, false
	}
	if saved := d.progress[p.run].savedAt; saved.After(began) {
		began = saved
	}
	return max(now.Sub(began), 0), true
}

// thrownByStop returns the work that is thrown away when a run is stopped, with the rest of its gang. It is 0 for a run that
// wasn't seen running.
func (d *Dispatcher) thrownByStop(p placedRun, now time.Time) hscost.CoreSeconds {
	if _, ok := d.runningSince[p.run]; !ok {
		return 0
	}
	return hscost.WorkOf(need(p.step), gangSize(p.step), d.lostByStop(p, now))
}

// gangSize returns how many runs end together with one of a step.
func gangSize(s *hswork.Step) int {
	if s.Gang {
		return s.Count
	}
	return 1
}

// thrownWithGang is the reason for work that is lost because another member of the gang ended.
const thrownWithGang = "gang"

// reportThrown reports the work that a run loses by its end. It was reported before for runs that this leader stops. Nothing is
// lost by a run that is done, nor for a job that is no longer open.
func (d *Dispatcher) reportThrown(e *hswork.End) {
	j := d.state.Jobs[e.Run.Task.Job]
	if e.Kind == hswork.EndDone || e.Kind == hswork.EndNever || d.stopping[e.Run] || j == nil || j.Phase != hswork.Open {
		return
	}
	t := j.Task(e.Run.Task)
	if t == nil || t.Assignment(e.Run.Number) == nil {
		return
	}
	p := newPlacedRun(j, e.Run.Task, t, *t.Assignment(e.Run.Number))
	now := d.ports.Clock.Now()
	lost, ok := d.lostByLoss(p, now)
	if !ok {
		return
	}
	reason := string(e.Kind)
	if e.Kind == hswork.EndStopped {
		reason = thrownWithGang
	}
	if e.Checkpoint != "" && e.Checkpoint != d.progress[e.Run].checkpoint {
		lost = d.lostByStop(p, now)
	}
	d.ports.Observer.WorkThrown(reason, hscost.WorkOf(need(p.step), 1, lost))
}
