// Package hsview declares the data types of query results.
//
// The packages under core/query fill these types from the state of a leader; front ends print or encode them. A
// view holds copies only, so it stays valid when the state changes, and is safe for concurrent reading.
//
// # Usage
//
//	view, ok := hsreport.Reader{}.Read(state, hsmessage.Query{Kind: hsmessage.QueryStatus})
//	fmt.Println(view.Status.Queued, view.Status.Fragmentation)
package hsview

import (
	"time"

	"hyssopseam/core/hsid"
)

// View is the result of one query. Only the field for the kind of the query is set.
type View struct {
	Job     *Job
	Jobs    []Job
	Status  *Status
	Explain *Explanation
	Workers []Worker
	Rules   *Rules
	History []RuleFile
	Members *Members
}

// Job is one job as its caller sees it.
type Job struct {
	ID        hsid.JobID
	Workspace hsid.WorkspaceID
	Kind      hsid.JobKind
	Shape     string
	Class     string
	Phase     string
	Attempt   hsid.Attempt
	// AcceptedIn and StartedIn are the numbers of the rule files in force at acceptance and at the latest start.
	AcceptedIn hsid.RuleNumber
	StartedIn  hsid.RuleNumber
	Workers    []Placement
	// Waited is the time from acceptance to the latest start, or until now for a queued job.
	Waited time.Duration
	// Ran is set when the job runs, or any part of it ran.
	Ran     bool
	Outcome string
	Detail  string
	Answer  []byte
	// AnswerSum is the checksum of the answer. AnswerLost is set when the answer itself was dropped to bound the
	// memory for answers.
	AnswerSum  string
	AnswerLost bool
	// Cancelling is set while a running job is being stopped because it was cancelled.
	Cancelling bool
	// PredictStart is the estimated wait until a queued job starts.
	PredictStart time.Duration
}

// Placement is the set of accelerators that one member of a gang uses on its worker.
type Placement struct {
	Worker       hsid.InstanceID
	Accelerators []hsid.AcceleratorIndex
}

// Spread summarizes a number of durations by their median, 99th percentile and maximum.
type Spread struct {
	Count int
	P50   time.Duration
	P99   time.Duration
	Max   time.Duration
}

// Completion summarizes the times from acceptance to answer of the jobs of one class and workspace.
type Completion struct {
	Class     string
	Workspace hsid.WorkspaceID
	Spread    Spread
}

// Guarantee is the state of one guarantee.
type Guarantee struct {
	Workspace hsid.WorkspaceID
	Shape     string
	Within    time.Duration
	// Backed is set when the guarantee has a home that can be taken back in time; otherwise Reason says why not.
	Backed bool
	// Reclaim is the estimated time to take the home back from other jobs, by their observed stop times.
	Reclaim time.Duration
	Home    []Placement
	Reason  string
	// Fragile lists the workers and racks whose failure would leave the guarantee without a home.
	Fragile []string
}

// Status summarizes the state of the whole cluster for operators.
type Status struct {
	Leader hsid.InstanceID
	Term   hsid.Term
	// Rules is the number of the rule file in force. Lagging lists the instances that may still apply an older one;
	// Everywhere is set when no process does.
	Rules      hsid.RuleNumber
	Everywhere bool
	Lagging    []hsid.InstanceID
	// Workers is the number of workers that have reported to the leader, Accelerators the number of accelerators of
	// those that are announced, and Free the number of those that may be used now.
	Workers      int
	Accelerators hsid.Accelerators
	Free         hsid.Accelerators
	// Fragmentation is the share of the free accelerators, from 0 to 1, that jobs of the shape LargestDemand can't
	// use. LargestDemand is the largest shape that is queued or running, or else guaranteed.
	Fragmentation float64
	LargestDemand string
	Queued        int
	Running       int
	Finished      int
	// OldestWait is the longest time that a queued job has waited.
	OldestWait  time.Duration
	Completion  []Completion
	Guarantees  []Guarantee
	Quarantined []hsid.InstanceID
	// Learning is set while some agents may not have reported to the leader yet.
	Learning bool
	// EvacuatedZones lists the availability zones on whose workers nothing is started.
	EvacuatedZones []hsid.ZoneID
	// WorkShares lists how much of the capacity that nobody is guaranteed the step jobs of each workspace use, each followed by
	// the zones that its callers come from; empty while capacity isn't shared.
	WorkShares []WorkShare
}

// WorkShare is the share of a workspace, or of its callers from one zone if Zone is set: the largest part of any resource that
// their runs use, from 0 to 1.
type WorkShare struct {
	Workspace hsid.WorkspaceID
	Zone      hsid.ZoneID
	Share     float64
}

// Explanation explains the state of a job: why it waits, where it runs, or how it ended.
type Explanation struct {
	Job     Job
	Summary string
	// Ahead is the number of queued jobs that come first.
	Ahead int
	// Obstacles lists the reasons why the job doesn't run, or doesn't run any more.
	Obstacles []string
	// Candidates lists the places where the job may be started.
	Candidates []string
}

// Worker is one worker as the leader sees it.
type Worker struct {
	Instance     hsid.InstanceID
	Zone         hsid.ZoneID
	Rack         hsid.RackID
	Accelerators hsid.Accelerators
	Free         hsid.Accelerators
	// Tasks lists the grants on the worker with their phases.
	Tasks []string
	Rules hsid.RuleNumber
	State string
	// Silent is the time since the last report.
	Silent time.Duration
}

// Rules is the rule file in force and the progress of its rollout.
type Rules struct {
	File RuleFile
	// Everywhere is set when no process applies an older file; Lagging lists the instances that may.
	Everywhere bool
	Lagging    []hsid.InstanceID
	Processes  []Process
}

// Process is one role of a process that asks for rules leases, with the number of the rules that it applies.
type Process struct {
	Instance hsid.InstanceID
	Role     string
	Rules    hsid.RuleNumber
	// Silent is the time since the last renewal.
	Silent time.Duration
}

// RuleFile is one accepted rule file.
type RuleFile struct {
	Number   hsid.RuleNumber
	Operator hsid.OperatorID
	Sum      string
	Content  string
}

// Members is the membership of the control cluster.
type Members struct {
	Cluster hsid.ClusterID
	Commit  hsid.LogIndex
	Members []Member
	// Newcomers lists the replicas that ask to join.
	Newcomers []Member
	// Repairing is set while a member is a learner, or a replaced one hasn't been removed yet.
	Repairing bool
}

// Member is one control replica.
type Member struct {
	ID       hsid.ReplicaID
	Instance hsid.InstanceID
	Address  string
	// Part is voter, leader, learner or newcomer.
	Part string
	// Alive is set when the replica has answered the leader within the last two election timeouts.
	Alive bool
	// CaughtUp is set when the replica has every committed entry on its disk.
	CaughtUp bool
	// Replaces is the member that is removed once this one is a voter; zero for none.
	Replaces hsid.ReplicaID
}
