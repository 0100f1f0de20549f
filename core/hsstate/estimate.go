package hsstate

import (
	"time"

	"hyssopseam/core/hsid"
)

// Estimate holds the observed run and stop times of one kind of job in one workspace.
type Estimate struct {
	Workspace hsid.WorkspaceID
	Kind      hsid.JobKind
	Run       Distribution
	Stop      Distribution
	// Updated is the cluster time of the latest observation.
	Updated time.Duration
}

// Distribution is a histogram of durations in which the weight of older observations decays. Bucket i counts the
// durations of up to hsestimate.Bound(i) that don't fit into a lower bucket.
type Distribution struct {
	// Weights holds the weight of each bucket; it is nil before the first observation.
	Weights []int64
	// Total is the sum of Weights.
	Total int64
}
