package hsstate

import (
	"time"

	"hyssopseam/core/hsid"
)

// Estimate holds the observed times of one kind of job of one workspace.
type Estimate struct {
	Workspace hsid.WorkspaceID
	Kind      hsid.JobKind
	Run       Distribution
	Stop      Distribution
	// Updated is the cluster time of the newest observation.
	Updated time.Duration
}

// Distribution is a decayed histogram of durations. Bucket i counts durations of up to
// hsestimate.Bound(i); older observations weigh less.
type Distribution struct {
	Weights []int64
	Total   int64
}
