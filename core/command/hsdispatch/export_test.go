package hsdispatch

import (
	"fmt"
	"reflect"

	"hyssopseam/core/hsid"
	"hyssopseam/core/hswork"
)

// Failures returns the number of failures that count against a worker.
func (d *Dispatcher) Failures(id hsid.InstanceID) int { return d.workers[id].health.failures }

// Speed returns the estimate of the speed of a worker.
func (d *Dispatcher) Speed(id hsid.InstanceID) hswork.SpeedEstimate { return d.speeds.Estimate(id) }

// CheckPlaced compares the index of placed runs with one that is built from the state.
func (d *Dispatcher) CheckPlaced() error {
	want := newPlacedIndex(d.state)
	if !reflect.DeepEqual(d.placed.workerOf, want.workerOf) {
		return fmt.Errorf("got runs on workers %v, want %v", d.placed.workerOf, want.workerOf)
	}
	if !reflect.DeepEqual(d.placed.runsOf, want.runsOf) {
		return fmt.Errorf("got run counts %v, want %v", d.placed.runsOf, want.runsOf)
	}
	if !reflect.DeepEqual(d.placed.byWorker, want.byWorker) {
		return fmt.Errorf("got runs %v, want %v", d.placed.byWorker, want.byWorker)
	}
	return nil
}

// SetSpeeds replaces the source of the estimates of the workers' speeds.
func (d *Dispatcher) SetSpeeds(s Speeds) { d.speeds = s }
