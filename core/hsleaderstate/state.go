// Package hsleaderstate declares the data that a leader provides to the queries: the replicated state, and its own
// view of workers, leases and claims at one point in time.
//
// The control role fills a State on its own goroutine and passes it to a reader, which copies what it reports and
// doesn't keep the State.
//
// # Usage
//
//	view, ok := reader.Read(&state, query)
package hsleaderstate

import (
	"time"

	"hyssopseam/core/hsfleet"
	"hyssopseam/core/hsid"
	"hyssopseam/core/hsshape"
	"hyssopseam/core/hsstate"
	"hyssopseam/core/hsview"
)

// State is the state of a leader at one point in time. It is read-only, and valid only during the call that it is
// passed to.
type State struct {
	Replicated *hsstate.State
	Fleet      *hsfleet.Fleet
	Layout     *hsfleet.Layout
	Now        time.Time
	// Clock is the cluster time.
	Clock  time.Duration
	Term   hsid.Term
	Leader hsid.InstanceID
	// Queue holds the queued jobs in the order in which they would be placed.
	Queue []*hsstate.Job
	// Claims holds the accelerators that are claimed for queued jobs, WaitReasons the reasons why queued jobs don't
	// run yet, and StopReasons the reasons for which running jobs are being stopped.
	Claims      map[hsid.JobID]*hsfleet.Claim
	WaitReasons map[hsid.JobID]hsfleet.WaitReason
	StopReasons map[hsid.JobID]hsfleet.StopReason
	// Lagging lists the instances that may still apply rules older than those in force. Everywhere is set when there
	// are none, and no lease of an earlier leader is left.
	Lagging    []hsid.InstanceID
	Everywhere bool
	// Learning is set while some agents may not have reported to this leader yet.
	Learning bool
	// Processes lists the processes with a rules lease.
	Processes []hsview.Process
	Members   hsview.Members
	// Predict estimates the wait until a queued job starts.
	Predict func(j *hsstate.Job) time.Duration
	// Demand is the largest shape that is queued or running, or else guaranteed.
	Demand hsshape.Shape
	// WorkShares lists the shares of workspaces in what step jobs use without a guarantee.
	WorkShares []hsview.WorkShare
}
