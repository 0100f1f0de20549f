package hsstate

import (
	"time"

	"hyssopseam/core/hsid"
	"hyssopseam/core/hswork"
)

// State is everything that the control replicas agree on.
type State struct {
	Cluster hsid.ClusterID
	// Applied is the index of the last applied entry.
	Applied hsid.LogIndex
	// Clock is the cluster time of the last applied entry.
	Clock   time.Duration
	Members []Member
	Rules   RuleHistory
	Homes   []Home
	Jobs    map[hsid.JobID]*Job
	// Finished lists the finished jobs in the order in which they finished. The oldest are removed first, to bound
	// the memory for keys and answers.
	Finished []hsid.JobID
	// AnswerBytes is the total size of the retained answers.
	AnswerBytes hsid.Bytes
	// Estimates holds the observed times of each kind of job of each workspace.
	Estimates []Estimate
	// Queued counts the queued jobs of each workspace.
	Queued map[hsid.WorkspaceID]int
	// Work is the state of the step jobs and their catalog.
	Work *hswork.State
}

// New returns an empty state.
func New() *State {
	return &State{
		Jobs:   map[hsid.JobID]*Job{},
		Queued: map[hsid.WorkspaceID]int{},
		Work:   hswork.NewState(),
	}
}

// Entry is one entry of the control log. Clock is the cluster time at which it was proposed.
type Entry struct {
	Index   hsid.LogIndex
	Term    hsid.Term
	Clock   time.Duration
	Command Command
}
