package hsfleet

import (
	"time"

	"hyssopseam/core/hsid"
)

// Part is a set of accelerators on one worker.
type Part struct {
	Worker hsid.InstanceID
	Mask   Mask
}

// ClaimKind is the reason for which accelerators are claimed for a job.
type ClaimKind string

// The kinds of claims.
const (
	// Reclaim means that the job takes back the home of a guarantee of its workspace, which other jobs borrowed.
	Reclaim ClaimKind = "reclaim"
	// Reservation means that the job has waited for longer than the age bound of its class.
	Reservation ClaimKind = "reservation"
	// Preemption means that the job preempts jobs of a lower class.
	Preemption ClaimKind = "preemption"
)

// Claim reserves accelerators for one queued job until the jobs that run on them have ended.
type Claim struct {
	Job   hsid.JobID
	Kind  ClaimKind
	Parts []Part
	// Ready is the estimated cluster time at which all parts are free.
	Ready time.Duration
	// CreatedAt is the cluster time at which the claim was created.
	CreatedAt time.Duration
}

// WaitReason explains why a queued job isn't running yet.
type WaitReason struct {
	Obstacle string
	// WaitsFor lists the accelerators that the job waits for, by worker.
	WaitsFor []string
}

// StopReason is the reason for which the leader stops a running job.
type StopReason string

// StopPreempted means that the job is preempted for another one.
const StopPreempted StopReason = "preempted"
