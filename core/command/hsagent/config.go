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
	DefaultInterval = 500 * time.Millisecond
	DefaultHold     = 3 * time.Second
	DefaultAnnounce = 5 * time.Second
)

// redirectPause is the time between a redirection and the report to the replica that it names.
const redirectPause = 20 * time.Millisecond

const (
	// renewals is the number of times in a run lease that the platform's lease is renewed.
	renewals = 8
	// marginShare is the part of a run lease, in percent, that is kept back from the platform for the time
	// that a call to it may take.
	marginShare = 10
)

// Config sets the times of an agent.
type Config struct {
	Instance    hsid.InstanceID
	Incarnation hsid.Incarnation
	// Controls are the addresses of the control replicas.
	Controls []hsstate.Peer
	// Interval is the time between two reports when nothing changes.
	Interval time.Duration
	// Hold is how long a grant that isn't started is held without contact.
	Hold time.Duration
	// Announce is how long an announcement of the endpoint counts.
	Announce time.Duration
}

// WithDefaults returns the configuration with each zero value replaced by its default.
func (c Config) WithDefaults() Config {
	if c.Interval == 0 {
		c.Interval = DefaultInterval
	}
	if c.Hold == 0 {
		c.Hold = DefaultHold
	}
	if c.Announce == 0 {
		c.Announce = DefaultAnnounce
	}
	return c
}

// Clock tells the time on a clock that only goes forward.
type Clock interface {
	Now() time.Time
}

// Sender sends a message without blocking; it may lose it.
type Sender interface {
	Send(to hsstate.Peer, m hsmessage.Message)
}

// Start is a task to be run by the platform.
type Start struct {
	Grant        hsid.Grant
	Rank         int
	Size         int
	Accelerators hsshape.Set
	Once         bool
	// Lease is how long the platform runs tasks without a Renew; one that never runs twice goes on.
	Lease time.Duration
	Spec  hsstate.Spec
}

// Result is how a task ended on the platform.
type Result struct {
	Phase  hsmessage.TaskPhase
	Reason string
	Answer []byte
	Sum    string
}

// Record is a task that the platform knows.
type Record struct {
	Grant        hsid.Grant
	Accelerators hsshape.Set
	Once         bool
	// Running is set while it runs; otherwise Result tells how it ended.
	Running bool
	Result  Result
}

// Platform runs tasks on the endpoint. No call blocks. Every start ends in a call of Agent.Ended, also
// when the endpoint is gone; List ends in a call of Agent.Listed.
type Platform interface {
	// List asks what the endpoint knows, and has it refuse starts of earlier incarnations.
	List(endpoint, agent hsid.Incarnation)
	// Run starts a task, once, however often the request has to be repeated.
	Run(endpoint, agent hsid.Incarnation, s Start)
	// Watch waits for the end of a task that runs already.
	Watch(endpoint hsid.Incarnation, g hsid.Grant)
	// Renew lets the tasks run for this long from now without hearing from the agent again.
	Renew(endpoint hsid.Incarnation, lease time.Duration)
	// Stop has a task checkpointed and stopped.
	Stop(endpoint hsid.Incarnation, g hsid.Grant)
	// Forget lets the endpoint drop what it keeps of an ended task.
	Forget(endpoint hsid.Incarnation, g hsid.Grant)
}
