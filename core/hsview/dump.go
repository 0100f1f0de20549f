package hsview

import (
	"time"

	"hyssopseam/core/hsid"
)

// Dump is the internal state of one process, for debugging. The roles that the process doesn't have are nil.
type Dump struct {
	Control *ControlDump
	Entry   *EntryDump
	Agent   *AgentDump
}

// ControlDump is the state of a control replica.
type ControlDump struct {
	Replica hsid.ReplicaID
	Cluster hsid.ClusterID
	// Role is the role in the consensus.
	Role string
	Term hsid.Term
	// Commit is the index of the last committed entry, and Last that of the last entry in the log.
	Commit hsid.LogIndex
	Last   hsid.LogIndex
	// LogLength is the number of entries that the log holds since it was last compacted.
	LogLength int
	// Leader is the address of the leader; empty when it is unknown.
	Leader  string
	Members []Member
	// Rules is the number of the rule file in force, and Files the number of accepted files that are remembered.
	Rules hsid.RuleNumber
	Files int
	// Jobs lists the jobs that haven't finished, and Finished counts those that have.
	Jobs     []JobDump
	Finished int
	// Answers is the total size of the retained answers.
	Answers hsid.Bytes
	Homes   int
	// WorkShares lists the shares of workspaces as the leader sees them; empty on other replicas.
	WorkShares []WorkShare
	// Speeds lists the speeds of workers that were committed, by worker.
	Speeds []SpeedDump
}

// SpeedDump is the committed speed of a worker.
type SpeedDump struct {
	Worker hsid.InstanceID
	// Endpoint is the incarnation of its endpoint.
	Endpoint uint64
	// Slowdown is the natural logarithm of how much longer than the average worker it takes, and Deviation its standard
	// deviation.
	Slowdown  float64
	Deviation float64
	// Runs counts the runs observed.
	Runs int
	// Age is the time since the last update.
	Age time.Duration
}

// JobDump is one job that hasn't finished.
type JobDump struct {
	ID      hsid.JobID
	Phase   string
	Attempt hsid.Attempt
	Once    bool
	Cancel  bool
	Workers []Placement
}

// EntryDump is the state of the entry role.
type EntryDump struct {
	// Leader is the address of the replica that the entry takes for the leader.
	Leader string
	// Rules is the number of the known rule file, and RulesHeld is set while the entry holds the rules lease.
	Rules     hsid.RuleNumber
	RulesHeld bool
	// Pending is the number of requests that wait for an answer.
	Pending int
	// Strays is the number of answers that matched no pending request.
	Strays int
}

// AgentDump is the state of the agent role.
type AgentDump struct {
	// Rules is the number of the known rule file, and RulesHeld is set while the agent holds the rules lease.
	Rules     hsid.RuleNumber
	RulesHeld bool
	// Endpoint is the incarnation of the announced endpoint; zero for none. Leaving is set when it accepts no new
	// work.
	Endpoint hsid.Incarnation
	Leaving  bool
	// Listed is set once the agent has read from the platform which tasks run there.
	Listed bool
	Tasks  []TaskDump
}

// TaskDump is one grant that an agent knows of.
type TaskDump struct {
	Grant        string
	Phase        string
	Accelerators []hsid.AcceleratorIndex
	Reason       string
}
