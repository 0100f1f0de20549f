// Package hssource is what a leader shows to the queries: the replicated state together with its own
// view of workers, leases and claims at one moment.
//
// It is neutral ground. The control role fills a Source on its own goroutine and hands it to a reader,
// which copies what it reports and keeps nothing.
//
// # Usage
//
//	view, status := reader.Read(&source, query)
package hssource

import (
	"time"

	"hyssopseam/core/hsfleet"
	"hyssopseam/core/hsid"
	"hyssopseam/core/hsshape"
	"hyssopseam/core/hsstate"
	"hyssopseam/core/hsview"
)

// Source is the state of a leader at one moment. Nothing of it may be changed.
type Source struct {
	State  *hsstate.State
	Fleet  *hsfleet.Fleet
	Layout *hsfleet.Layout
	Now    time.Time
	// Clock is the cluster time.
	Clock  time.Duration
	Term   hsid.Term
	Leader hsid.InstanceID
	// Queue holds the queued jobs in the order in which they would be placed.
	Queue      []*hsstate.Job
	Claims     map[hsid.JobID]*hsfleet.Claim
	Notes      map[hsid.JobID]hsfleet.Note
	Stops      map[hsid.JobID]hsfleet.Stop
	Lagging    []hsid.InstanceID
	Everywhere bool
	// Learning is set while not all agents may have reported to this leader yet.
	Learning  bool
	Processes []hsview.Process
	Members   hsview.Members
	// Predict estimates the wait until a queued job starts.
	Predict func(j *hsstate.Job) time.Duration
	// Demand is the largest shape in demand.
	Demand hsshape.Shape
}
