package hsfleet

import (
	"time"

	"hyssopseam/core/hsid"
)

// Part is a set of accelerators of one worker.
type Part struct {
	Worker hsid.InstanceID
	Mask   Mask
}

// ClaimKind tells why accelerators are kept for a job.
type ClaimKind string

// The kinds of claims.
const (
	// Reclaim: the job takes its workspace's home back.
	Reclaim ClaimKind = "reclaim"
	// Reservation: the job waited past its bound.
	Reservation ClaimKind = "reservation"
	// Preemption: the job makes jobs of a lower class give way.
	Preemption ClaimKind = "preemption"
)

// Claim keeps accelerators for one queued job while they drain.
type Claim struct {
	Job   hsid.JobID
	Kind  ClaimKind
	Parts []Part
	// Ready is the estimated cluster time at which all parts are free.
	Ready time.Duration
	Made  time.Duration
}

// Note says why a queued job isn't running yet.
type Note struct {
	Obstacle string
	// Waits lists what has to end first.
	Waits []string
}

// Stop is the reason for which the leader has a running job stopped.
type Stop string

// StopPreempted is the reason of a job that gives way to another.
const StopPreempted Stop = "preempted"
