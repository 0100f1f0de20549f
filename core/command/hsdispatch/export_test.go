package hsdispatch

import "hyssopseam/core/hsid"

// Failures returns the number of failures that count against a worker.
func (d *Dispatcher) Failures(id hsid.InstanceID) int { return d.workers[id].health.failures }
