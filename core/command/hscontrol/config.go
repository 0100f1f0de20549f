package hscontrol

import (
	"time"

	"hyssopseam/core/command/hsdispatch"
	"hyssopseam/core/command/hsplacement"
	"hyssopseam/core/command/hsqueue"
	"hyssopseam/core/command/hsquorum"
	"hyssopseam/core/command/hsupkeep"
	"hyssopseam/core/hsid"
	"hyssopseam/core/hsmessage"
	"hyssopseam/core/hssource"
	"hyssopseam/core/hsstate"
	"hyssopseam/core/hsview"
	"hyssopseam/core/hswork"
)

// Defaults of a Config.
const (
	DefaultRulesLease = 2 * time.Second
	DefaultRunLease   = time.Minute
	DefaultPrepare    = 2 * time.Second
	DefaultLearn      = 2 * time.Second
	DefaultReplicas   = 3
	DefaultCoolDown   = 10 * time.Minute

	DefaultAgeUrgent = time.Second
	DefaultAgeNormal = 10 * time.Minute
	DefaultAgeBatch  = 30 * time.Minute

	// passInterval is the time between two scheduling passes while jobs wait and nothing happens.
	passInterval = time.Second
	// forgetAfter is how long a silent worker or process is remembered.
	forgetAfter = 10 * time.Minute
	// retryAfter is what a refused caller is told to wait at least.
	retryAfter = 2 * time.Second
)

// Config sets the times, bounds and weights of the control role. All replicas use the same.
type Config struct {
	Quorum hsquorum.Config
	// Controls are the addresses of all control replicas.
	Controls []hsstate.Peer
	Weights  hsplacement.Weights
	// AgeBounds is, for each class, the wait after which a job may reserve accelerators.
	AgeBounds hsqueue.AgeBounds
	// RulesLease is how long an entry or agent acts on rules without contact.
	RulesLease time.Duration
	// RunLease is how long an agent keeps running without contact what can run elsewhere.
	RunLease time.Duration
	// Prepare bounds the first phase of a gang start.
	Prepare time.Duration
	// Learn is how long a new leader waits for all agents' first reports before it refuses jobs that
	// fit nowhere, or moves homes.
	Learn time.Duration
	// CoolDown is how long a preempted job isn't preempted again.
	CoolDown time.Duration
	// Replicas is how many members join without being asked.
	Replicas int
	// Work sets the times of step jobs.
	Work hsdispatch.Config
	// Upkeep names this process towards the platform and sets the times of waves.
	Upkeep hsupkeep.Config
	// FoundBefore is the cluster time until which catalogs and step jobs wait for all Replicas to vote, so that
	// what is acknowledged outlives the loss of disks. Zero waits for none.
	FoundBefore time.Duration
	// ReplaceAfter is how long a voter may be silent before a newcomer that waits takes its place; zero leaves
	// that to the operator.
	ReplaceAfter time.Duration
	// Off switches mechanisms off, for comparison.
	Off Off
}

// Off names mechanisms that are switched off for comparison. The zero value switches none off.
type Off struct {
	Homes        bool
	Borrowing    bool
	Reservations bool
	Backfill     bool
	Fairness     bool
	Breakers     bool
	Observed     bool
	Preemption   bool
	Classes      bool
}

// WithDefaults returns the configuration with each zero value replaced by its default.
func (c Config) WithDefaults() Config {
	c.Quorum = c.Quorum.WithDefaults()
	c.RulesLease = orDefault(c.RulesLease, DefaultRulesLease)
	c.RunLease = orDefault(c.RunLease, DefaultRunLease)
	c.Prepare = orDefault(c.Prepare, DefaultPrepare)
	c.Learn = orDefault(c.Learn, DefaultLearn)
	c.CoolDown = orDefault(c.CoolDown, DefaultCoolDown)
	c.Replicas = orDefault(c.Replicas, DefaultReplicas)
	ages := hsqueue.AgeBounds{DefaultAgeUrgent, DefaultAgeNormal, DefaultAgeBatch}
	for i := range c.AgeBounds {
		c.AgeBounds[i] = orDefault(c.AgeBounds[i], ages[i])
	}
	return c
}

func orDefault[T comparable](value, fallback T) T {
	var zero T
	if value == zero {
		return fallback
	}
	return value
}

// Clock tells the time on a clock that only goes forward.
type Clock interface {
	Now() time.Time
}

// Sender sends a message without blocking; it may lose it.
type Sender interface {
	Send(to hsstate.Peer, m hsmessage.Message)
}

// StateCodec turns a state into bytes and back, for snapshots.
type StateCodec interface {
	EncodeState(s *hsstate.State) []byte
	DecodeState(data []byte) (*hsstate.State, error)
}

// Reader answers queries. It reports false for something that doesn't exist.
type Reader interface {
	Read(s *hssource.Source, q hsmessage.Query) (*hsview.View, bool)
}

// Observer is told what happens, for metrics and logs. It must not block.
type Observer interface {
	Led(leading bool)
	Accepted(j *hsstate.Job)
	Refused(reason string)
	Started(j *hsstate.Job, waited time.Duration)
	Ended(j *hsstate.Job)
	Requeued(j *hsstate.Job)
}

// WorkObserver is told of decisions on step jobs, for logs and metrics. It must not block.
type WorkObserver interface {
	hsdispatch.Observer
	// WorkAnswered is told of the decision on a request, and the version of the catalog that it was made by.
	WorkAnswered(id hsid.RequestID, q *hsmessage.WorkRequest, r hsmessage.WorkReply, catalog hswork.Version)
}

// Ports are the interfaces that the control role calls.
type Ports struct {
	Clock    Clock
	Random   hsquorum.Random
	Sender   Sender
	Storage  hsquorum.Storage
	Codec    StateCodec
	Reader   Reader
	Observer Observer
	// Work is told of decisions on step jobs.
	Work WorkObserver
	// Adviser asks the policy service; nil where there is none.
	Adviser hsdispatch.Adviser
	// Machines is the platform's interface to machines; nil where there is none.
	Machines hsupkeep.Machines
}
