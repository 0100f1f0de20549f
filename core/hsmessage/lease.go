package hsmessage

import (
	"time"

	"hyssopseam/core/hsid"
	"hyssopseam/core/hsshape"
	"hyssopseam/core/hsstate"
)

// Role is a function that a process performs. A process may have several.
type Role string

// The roles; RoleRunner is another one.
const (
	RoleEntry   Role = "entry"
	RoleControl Role = "control"
	RoleAgent   Role = "agent"
)

// Renewal asks the leader to renew the rules lease of a process. A process may apply its rule file only while it
// holds the lease.
type Renewal struct {
	Instance    hsid.InstanceID
	Incarnation hsid.Incarnation
	Role        Role
	// Sequence numbers the renewals of this process.
	Sequence hsid.Sequence
	// Rules is the number of the rule file that the process applies.
	Rules hsid.RuleNumber
	// Leaving is set when the process accepts no more work that is subject to the rules.
	Leaving bool
}

// Lease is the reply to a Renewal. It lasts for Duration, counted from the time at which the holder sent the Renewal
// with the same Sequence. Without a Sequence it only announces new rules and extends nothing.
type Lease struct {
	// Role is the role that asked; empty when none did.
	Role     Role
	Term     hsid.Term
	Sequence hsid.Sequence
	Duration time.Duration
	// Number is the number of the rule file in force.
	Number hsid.RuleNumber
	// Rules is the rule file in force, when the holder applies an older one.
	Rules *hsstate.RuleSet
	// Controls holds the addresses of the control replicas; empty when they are configured.
	Controls []hsstate.Peer
}

// Worker describes the worker of an agent, as its endpoint announced it.
type Worker struct {
	Instance hsid.InstanceID
	Zone     hsid.ZoneID
	Rack     hsid.RackID
	// Endpoint is the incarnation of the endpoint; zero when none is announced.
	Endpoint hsid.Incarnation
	// Groups lists the sets of adjacent accelerators.
	Groups []hsshape.Group
	Cores  hsid.MilliCores
	Memory hsid.Bytes
	// Slots is the largest number of tasks at once; 0 for no limit.
	Slots int
	// Leaving is set when the endpoint accepts no new work.
	Leaving bool
}

// TaskPhase is the lifecycle phase of one member of a gang on its worker.
type TaskPhase string

// The phases of a task.
const (
	// TaskHeld means that the accelerators are held for the task and that it wasn't started yet.
	TaskHeld    TaskPhase = "held"
	TaskRunning TaskPhase = "running"
	TaskStopped TaskPhase = "stopped"
	TaskDone    TaskPhase = "done"
	TaskFailed  TaskPhase = "failed"
	TaskRefused TaskPhase = "refused"
	// TaskLost means that the endpoint that ran the task is gone, and that the fate of the task is unknown.
	TaskLost TaskPhase = "lost"
)

// Ended reports whether the task neither runs nor will run any more.
func (p TaskPhase) Ended() bool {
	return p != TaskHeld && p != TaskRunning
}

// Task is the state of one grant as its agent reports it.
type Task struct {
	Grant        hsid.Grant
	Accelerators hsshape.Set
	Phase        TaskPhase
	// Ran is set once the platform was asked to run the task.
	Ran    bool
	Reason string
	Answer []byte
	// Sum is the checksum of Answer.
	Sum string
	// StopTook is the time that the platform took to stop the task; zero unless it was stopped.
	StopTook time.Duration
}

// AgentReport lists all grants that an agent holds. It is also a Renewal of the agent's rules lease.
type AgentReport struct {
	Renewal
	Worker Worker
	// TasksKnown is set once the agent has read from the platform which tasks run there. Before that, Tasks may be
	// incomplete.
	TasksKnown bool
	Tasks      []Task
	// Term and Serial identify the latest Orders that the agent received before this report.
	Term   hsid.Term
	Serial hsid.Sequence
}

// OrderPhase is the phase that the leader wants a grant to be in.
type OrderPhase string

// The phases of an order. The agent drops a grant that the orders don't list.
const (
	OrderHold OrderPhase = "hold"
	OrderRun  OrderPhase = "run"
	OrderStop OrderPhase = "stop"
)

// Order tells an agent what to do with one grant.
type Order struct {
	Grant        hsid.Grant
	Phase        OrderPhase
	Accelerators hsshape.Set
	// Once is set for a job that must never run twice.
	Once bool
	// Rank is the position of the member in the gang, from 0, and Size the number of members.
	Rank int
	Size int
	// Spec is set as long as the agent may still have to start the task.
	Spec *hsstate.Spec
}

// Orders lists all grants that an agent should hold. It is also a Lease.
type Orders struct {
	Lease
	Incarnation hsid.Incarnation
	// Serial numbers the Orders that a leader sends to this agent in one term.
	Serial hsid.Sequence
	// RunLease is the length of the run lease: an agent without contact to the leader for this long stops the tasks
	// that may run again.
	RunLease time.Duration
	Orders   []Order
}

// Redirect tells a process of the given role that the sender isn't the leader. Leader is the address of the
// leader; empty when it is unknown.
type Redirect struct {
	Role   Role
	Leader hsstate.Peer
}

func (Renewal) message()     {}
func (Lease) message()       {}
func (AgentReport) message() {}
func (Orders) message()      {}
func (Redirect) message()    {}
