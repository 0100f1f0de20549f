package hsview

import "hyssopseam/core/hsid"

// Dump is the state of one process; roles that it doesn't hold are nil.
type Dump struct {
	Control *ControlDump
	Entry   *EntryDump
	Agent   *AgentDump
}

// ControlDump is the state of a control replica.
type ControlDump struct {
	Replica   hsid.ReplicaID
	Cluster   hsid.ClusterID
	Role      string
	Term      hsid.Term
	Commit    hsid.LogIndex
	Last      hsid.LogIndex
	LogLength int
	Leader    string
	Members   []Member
	Rules     hsid.RuleNumber
	Files     int
	Jobs      []JobDump
	Finished  int
	Answers   hsid.Bytes
	Homes     int
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

// EntryDump is the state of an entry.
type EntryDump struct {
	Leader    string
	Rules     hsid.RuleNumber
	RulesHeld bool
	Pending   int
	Strays    int
}

// AgentDump is the state of an agent.
type AgentDump struct {
	Rules     hsid.RuleNumber
	RulesHeld bool
	Endpoint  hsid.Incarnation
	Leaving   bool
	Listed    bool
	Tasks     []TaskDump
}

// TaskDump is one grant that an agent knows.
type TaskDump struct {
	Grant        string
	Phase        string
	Accelerators []hsid.AcceleratorIndex
	Reason       string
}
