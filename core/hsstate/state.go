package hsstate

import (
	"time"

	"hyssopseam/core/hsid"
	"hyssopseam/core/hswork"
)

// State is everything that the control replicas agree on.
type State struct {
	Cluster hsid.ClusterID
	Applied hsid.LogIndex
	// Clock is the cluster time of the newest applied entry.
	Clock   time.Duration
	Members []Member
	Rules   RuleBook
	Homes   []Home
	Jobs    map[hsid.JobID]*Job
	// Finished lists finished jobs, oldest first, for the bounded memory of keys and answers.
	Finished []hsid.JobID
	// AnswerBytes is the size of all answers that are kept.
	AnswerBytes hsid.Bytes
	// Estimates hold what was observed of each kind of job of each workspace.
	Estimates []Estimate
	// Queued counts the queued jobs of each workspace.
	Queued map[hsid.WorkspaceID]int
	// Work holds the step jobs and their catalog.
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

// Entry is one record of the control log.
type Entry struct {
	Index   hsid.LogIndex
	Term    hsid.Term
	Clock   time.Duration
	Command Command
}
