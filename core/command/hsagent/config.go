package hsagent

import (
	"time"

	"hyssopseam/core/hsid"
	"hyssopseam/core/hsmessage"
	"hyssopseam/core/hsshape"
	"hyssopseam/core/hsstate"
)

// Defaults of a Config.
const (
	DefaultInterval        = 500 * time.Millisecond
	DefaultHoldLease       = 3 * time.Second
	DefaultAnnouncementTTL = 5 * time.Second
)

// redirectDelay is the time before the next report after the agent has turned to another control replica.
const redirectDelay = 20 * time.Millisecond

const (
	// renewalsPerLease is how often the platform's lease is renewed during one run lease.
	renewalsPerLease = 8
	// marginPercent is the percentage of a run lease by which the platform's lease is shorter, to allow for the time
	// that a call to the platform may take.
	marginPercent = 10
)

// Config identifies an agent and sets its times. Zero times are replaced by their defaults.
type Config struct {
	Instance    hsid.InstanceID
	Incarnation hsid.Incarnation
	// Controls are the addresses of the control replicas.
	Controls []hsstate.Peer
	// Interval is the time between two reports when nothing changes.
	Interval time.Duration
	// HoldLease is the hold lease: how long a grant that isn't started is kept without contact to the leader.
	HoldLease time.Duration
	// AnnouncementTTL is how long an announcement of the endpoint is valid.
	AnnouncementTTL time.Duration
}

// WithDefaults returns the configuration with each zero value replaced by its default.
func (c Config) WithDefaults() Config {
	if c.Interval == 0 {
		c.Interval = DefaultInterval
	}
	if c.HoldLease == 0 {
		c.HoldLease = DefaultHoldLease
	}
	if c.AnnouncementTTL == 0 {
		c.AnnouncementTTL = DefaultAnnouncementTTL
	}
	return c
}

// Clock returns the current time of a monotonic clock.
type Clock interface {
	Now() time.Time
}

// Sender sends messages without blocking. A message may be lost.
type Sender interface {
	Send(to hsstate.Peer, m hsmessage.Message)
}

// Start describes a task that the platform should run.
type Start struct {
	Grant hsid.Grant
	// Rank is the position of the task in its gang, from 0, and Size the number of members.
	Rank         int
	Size         int
	Accelerators hsshape.Set
	// Once is set for a job that must never run twice.
	Once bool
	// Lease is how long the platform keeps tasks running without a Renew. A task with Once set continues after that.
	Lease time.Duration
	Spec  hsstate.Spec
}

// Result describes how a task ended on the platform.
type Result struct {
	Phase  hsmessage.TaskPhase
	Reason string
	Answer []byte
	Sum    string
}

// Record is a task that the platform lists.
type Record struct {
	Grant        hsid.Grant
	Accelerators hsshape.Set
	Once         bool
	// Running is set while the task runs; otherwise Result is set.
	Running bool
	Result  Result
}

// Platform runs tasks on the endpoint. Its methods don't block. Every Run is followed by a call of
// Agent.HandleTaskEnd, even when the endpoint is gone, and every List by a call of Agent.HandleTaskList.
type Platform interface {
	// List requests the endpoint's tasks and makes it refuse starts from earlier incarnations of the agent.
	List(endpoint, agent hsid.Incarnation)
	// Run starts a task exactly once, however often the request has to be retried.
	Run(endpoint, agent hsid.Incarnation, s Start)
	// Watch waits for the end of a task that is already running.
	Watch(endpoint hsid.Incarnation, g hsid.Grant)
	// Renew extends the lease of the tasks: they may run for this long from now without hearing from the agent again.
	Renew(endpoint hsid.Incarnation, lease time.Duration)
	// Stop checkpoints a task and stops it.
	Stop(endpoint hsid.Incarnation, g hsid.Grant)
	// Forget lets the endpoint drop its record of an ended task.
	Forget(endpoint hsid.Incarnation, g hsid.Grant)
}
