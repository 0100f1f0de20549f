// Package hsview declares what the queries report, as plain data.
//
// The packages under core/query fill these types from the state of a leader; front ends print them or
// encode them. They hold copies only, so a view stays valid after the state has moved on, and it is
// safe for concurrent reading.
//
// # Usage
//
//	view := hsreport.Status(source)
//	fmt.Println(view.Queued, view.Fragmentation)
package hsview

import (
	"time"

	"hyssopseam/core/hsid"
)

// View is the answer to one query; the field of the query's kind is set.
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
	ID           hsid.JobID
	Workspace    hsid.WorkspaceID
	Kind         hsid.JobKind
	Shape        string
	Class        string
	Phase        string
	Attempt      hsid.Attempt
	AcceptedIn   hsid.RuleNumber
	StartedIn    hsid.RuleNumber
	Workers      []Placement
	Waited       time.Duration
	Ran          bool
	Outcome      string
	Detail       string
	Answer       []byte
	AnswerSum    string
	AnswerLost   bool
	Cancelling   bool
	PredictStart time.Duration
}

// Placement is one member of a running gang.
type Placement struct {
	Worker       hsid.InstanceID
	Accelerators []hsid.AcceleratorIndex
}

// Spread summarizes durations.
type Spread struct {
	Count int
	P50   time.Duration
	P99   time.Duration
	Max   time.Duration
}

// Completion is the time from acceptance to answer of one class and workspace.
type Completion struct {
	Class     string
	Workspace hsid.WorkspaceID
	Spread    Spread
}

// Guarantee is how one guarantee stands.
type Guarantee struct {
	Workspace hsid.WorkspaceID
	Shape     string
	Within    time.Duration
	Backed    bool
	// Reclaim is how long taking the home back would take by observed stop times.
	Reclaim time.Duration
	Home    []Placement
	Reason  string
	// Fragile lists the workers and racks whose loss would leave the guarantee unbacked.
	Fragile []string
}

// Status is the summary that operators read first.
type Status struct {
	Leader        hsid.InstanceID
	Term          hsid.Term
	Rules         hsid.RuleNumber
	Everywhere    bool
	Lagging       []hsid.InstanceID
	Workers       int
	Accelerators  hsid.Accelerators
	Free          hsid.Accelerators
	Fragmentation float64
	LargestDemand string
	Queued        int
	Running       int
	Finished      int
	OldestWait    time.Duration
	Completion    []Completion
	Guarantees    []Guarantee
	Quarantined   []hsid.InstanceID
	Learning      bool
}

// Explanation says why a job waits, runs where it does, or was refused.
type Explanation struct {
	Job     Job
	Summary string
	// Ahead is the number of jobs that go first.
	Ahead int
	// Obstacles lists what stands in the way.
	Obstacles []string
	// Candidates lists where the job would go.
	Candidates []string
}

// Worker is one worker as the leader sees it.
type Worker struct {
	Instance     hsid.InstanceID
	Zone         hsid.ZoneID
	Rack         hsid.RackID
	Accelerators hsid.Accelerators
	Free         hsid.Accelerators
	Tasks        []string
	Rules        hsid.RuleNumber
	State        string
	Silent       time.Duration
}

// Rules is the rule file in force.
type Rules struct {
	File       RuleFile
	Everywhere bool
	Lagging    []hsid.InstanceID
	Processes  []Process
}

// Process is one process under a rules lease.
type Process struct {
	Instance hsid.InstanceID
	Role     string
	Rules    hsid.RuleNumber
	Silent   time.Duration
}

// RuleFile is one accepted rule file.
type RuleFile struct {
	Number   hsid.RuleNumber
	Operator hsid.OperatorID
	Sum      string
	Content  string
}

// Members is the membership of the control log.
type Members struct {
	Cluster   hsid.ClusterID
	Commit    hsid.LogIndex
	Members   []Member
	Newcomers []Member
	// Repairing is set until every member votes and a replaced one has left.
	Repairing bool
}

// Member is one control replica.
type Member struct {
	ID       hsid.ReplicaID
	Instance hsid.InstanceID
	Address  string
	Part     string
	Alive    bool
	// CaughtUp is set when it has every committed entry on its disk.
	CaughtUp bool
	Replaces hsid.ReplicaID
}
