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
