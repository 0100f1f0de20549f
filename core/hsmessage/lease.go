package hsmessage

import (
	"time"

	"hyssopseam/core/hsid"
	"hyssopseam/core/hsshape"
	"hyssopseam/core/hsstate"
)

// Role names what a process does.
type Role string

// The roles.
const (
	RoleEntry   Role = "entry"
	RoleControl Role = "control"
	RoleAgent   Role = "agent"
)

// Renew asks for the rules lease.
type Renew struct {
	Instance    hsid.InstanceID
	Incarnation hsid.Incarnation
	Role        Role
	Sequence    hsid.Sequence
	// Rules is the number that the process acts on.
	Rules hsid.RuleNumber
	// Leaving is set when the process takes no more governed work.
	Leaving bool
}

// Lease answers a Renew. The holder counts For from when it sent the Renew with this Sequence.
type Lease struct {
	// Role is the one that asked; empty when nobody did.
	Role     Role
	Term     hsid.Term
	Sequence hsid.Sequence
	For      time.Duration
	Number   hsid.RuleNumber
	// Rules is set when the holder is behind Number.
	Rules *hsstate.RuleSet
	// Controls are the addresses of the control replicas; empty when they are configured.
	Controls []hsstate.Peer
}

// Worker describes the worker that an agent stands for, as its endpoint announced it.
type Worker struct {
	Instance hsid.InstanceID
	Zone     hsid.ZoneID
	Rack     hsid.RackID
	// Endpoint tells one life of the endpoint from the next; zero when none is announced.
	Endpoint hsid.Incarnation
	Groups   []hsshape.Group
	Cores    hsid.MilliCores
	Memory   hsid.Bytes
	Slots    int
	// Leaving is set when the endpoint takes no new work.
	Leaving bool
}

// TaskPhase tells where one member of a gang stands on its worker.
type TaskPhase string

// The phases of a task.
const (
	TaskHeld    TaskPhase = "held"
	TaskRunning TaskPhase = "running"
	TaskStopped TaskPhase = "stopped"
	TaskDone    TaskPhase = "done"
	TaskFailed  TaskPhase = "failed"
	TaskRefused TaskPhase = "refused"
	// TaskLost: the endpoint that ran it is gone, its fate is not known.
	TaskLost TaskPhase = "lost"
)

// Ended reports whether the task will not run any more.
func (p TaskPhase) Ended() bool {
	return p != TaskHeld && p != TaskRunning
}

// Task is what an agent reports about one grant.
type Task struct {
	Grant        hsid.Grant
	Accelerators hsshape.Set
	Phase        TaskPhase
	// Ran is set once the platform was asked to run it.
	Ran    bool
	Reason string
	Answer []byte
	Sum    string
	// StopTook is how long the platform took to stop it; zero unless it was stopped.
	StopTook time.Duration
}

// Report is the whole of what an agent holds, and a Renew.
type Report struct {
	Renew
	Worker Worker
	// Listed is set once the agent knows what the platform runs.
	Listed bool
	Tasks  []Task
	// Term and Serial name the newest orders that this report reflects.
	Term   hsid.Term
	Serial hsid.Sequence
}

// OrderPhase is what an agent should bring a grant to.
type OrderPhase string

// The phases of an order. A grant that the orders don't list is to be dropped.
const (
	OrderHold OrderPhase = "hold"
	OrderRun  OrderPhase = "run"
	OrderStop OrderPhase = "stop"
)

// Order is one grant of an agent.
type Order struct {
	Grant        hsid.Grant
	Phase        OrderPhase
	Accelerators hsshape.Set
	Once         bool
	// Rank is the member's place in the gang, from 0; Size is the number of members.
	Rank int
	Size int
	// Spec is set while the agent may still have to start the task.
	Spec *hsstate.Spec
}

// Orders is the whole of what an agent should hold, and a Lease.
type Orders struct {
	Lease
	Incarnation hsid.Incarnation
	// Serial orders the orders of one term for this agent.
	Serial hsid.Sequence
	// RunFor is the run lease: without contact for this long, repeatable tasks are stopped.
	RunFor time.Duration
	Orders []Order
}

// Redirect tells a process of the given role that the sender doesn't lead.
type Redirect struct {
	Role   Role
	Leader hsstate.Peer
}

func (Renew) message()    {}
func (Lease) message()    {}
func (Report) message()   {}
func (Orders) message()   {}
func (Redirect) message() {}
