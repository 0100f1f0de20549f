package hscontrol

import (
	"time"

	"hyssopseam/core/command/hsdispatch"
	"hyssopseam/core/command/hsmaintenance"
	"hyssopseam/core/command/hsplacement"
	"hyssopseam/core/command/hsqueue"
	"hyssopseam/core/command/hsquorum"
	"hyssopseam/core/hsid"
	"hyssopseam/core/hsleaderstate"
	"hyssopseam/core/hsmessage"
	"hyssopseam/core/hsstate"
	"hyssopseam/core/hsview"
	"hyssopseam/core/hswork"
)

// Defaults of a Config.
const (
	DefaultRulesLease         = 2 * time.Second
	DefaultRunLease           = time.Minute
	DefaultPrepareTimeout     = 2 * time.Second
	DefaultFleetDiscovery     = 2 * time.Second
	DefaultReplicas           = 3
	DefaultPreemptionCoolDown = 10 * time.Minute

	DefaultAgeUrgent = time.Second
	DefaultAgeNormal = 10 * time.Minute
	DefaultAgeBatch  = 30 * time.Minute

	// passInterval is the time after which a scheduling pass runs even if nothing has changed.
	passInterval = time.Second
	// forgetAfter is how long a worker or process that sends nothing is remembered.
	forgetAfter = 10 * time.Minute
	// minRetryAfter is the shortest retry delay that a refused caller is told.
	minRetryAfter = 2 * time.Second
)

// Config sets the timeouts, limits and weights of the control role. All replicas must use the same values. A zero
// field takes its default; see WithDefaults.
type Config struct {
	Quorum hsquorum.Config
	// Controls lists the addresses of all control replicas.
	Controls []hsstate.Peer
	Weights  hsplacement.Weights
	// AgeBounds is, for each class, the waiting time after which a job counts as the class above and may reserve
	// accelerators.
	AgeBounds hsqueue.AgeBounds
	// RulesLease is how long an entry or agent may act on its rules without contact with the leader.
	RulesLease time.Duration
	// RunLease is how long an agent without contact with the leader keeps running tasks that can run elsewhere.
	RunLease time.Duration
	// PrepareTimeout is the timeout of the first phase of a gang start.
	PrepareTimeout time.Duration
	// FleetDiscovery is how long a new leader waits for the agents' first reports before it refuses jobs that fit
	// nowhere, or moves homes.
	FleetDiscovery time.Duration
	// PreemptionCoolDown is how long a preempted job is neither preempted for an urgent job nor placed on the home of
	// another workspace.
	PreemptionCoolDown time.Duration
	// Replicas is the intended number of members. Up to it, replicas join without an operator's command.
	Replicas int
	// Work configures the dispatcher of step jobs.
	Work hsdispatch.Config
	// Maintenance identifies this process to the platform and sets the timeouts of maintenance waves.
	Maintenance hsmaintenance.Config
	// FormationTimeout is the cluster time before which catalogs and step jobs are accepted only once Replicas members
	// vote, so that acknowledged ones survive the loss of disks. Zero accepts them at once.
	FormationTimeout time.Duration
	// ReplaceAfter is how long a member may be silent before it is replaced by a replica that asks to join. Zero
	// leaves replacements to the operator.
	ReplaceAfter time.Duration
	// Zones lists the availability zones that may be evacuated; an empty list allows any name.
	Zones []hsid.ZoneID
	// Disabled lists the scheduling mechanisms to disable, for comparison.
	Disabled Disabled
}

// Disabled names the scheduling mechanisms to disable, for comparison. The zero value disables none.
type Disabled struct {
	// Homes: guarantees have no homes.
	Homes bool
	// Borrowing: jobs don't run on the homes of other workspaces.
	Borrowing bool
	// Reservations: jobs past their age bound don't reserve accelerators.
	Reservations bool
	// Backfill: jobs don't run on accelerators that are reserved for another job.
	Backfill bool
	// Fairness: jobs of a class are visited in the order of acceptance, whatever their workspaces' shares.
	Fairness bool
	// Breakers: workers that fail jobs aren't quarantined.
	Breakers bool
	// ObservedStops: every job that may run again counts as stoppable in time, without observed stop times.
	ObservedStops bool
	// Preemption: urgent jobs don't preempt batch jobs.
	Preemption bool
	// Classes: all jobs are of one class.
	Classes bool
}

// WithDefaults returns the configuration with each zero value replaced by its default.
func (c Config) WithDefaults() Config {
	c.Quorum = c.Quorum.WithDefaults()
	c.RulesLease = orDefault(c.RulesLease, DefaultRulesLease)
	c.RunLease = orDefault(c.RunLease, DefaultRunLease)
	c.PrepareTimeout = orDefault(c.PrepareTimeout, DefaultPrepareTimeout)
	c.FleetDiscovery = orDefault(c.FleetDiscovery, DefaultFleetDiscovery)
	c.PreemptionCoolDown = orDefault(c.PreemptionCoolDown, DefaultPreemptionCoolDown)
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

// Clock is a monotonic clock.
type Clock interface {
	Now() time.Time
}

// Sender sends a message without blocking; it may lose it.
type Sender interface {
	Send(to hsstate.Peer, m hsmessage.Message)
}

// StateCodec encodes and decodes a state, for snapshots.
type StateCodec interface {
	EncodeState(s *hsstate.State) []byte
	DecodeState(data []byte) (*hsstate.State, error)
}

// Reader answers queries. Read returns false when the job that is asked for doesn't exist.
type Reader interface {
	Read(s *hsleaderstate.State, q hsmessage.Query) (*hsview.View, bool)
}

// Observer receives events for metrics and logs. Its methods must not block.
type Observer interface {
	// LeadershipChanged is called when this replica begins or ceases to lead.
	LeadershipChanged(leading bool)
	JobAccepted(j *hsstate.Job)
	// JobRefused receives the reason as a label value, not as text for the caller.
	JobRefused(reason string)
	// JobStarted receives the time from the job's acceptance to this start.
	JobStarted(j *hsstate.Job, waited time.Duration)
	JobEnded(j *hsstate.Job)
	JobRequeued(j *hsstate.Job)
}

// WorkObserver receives events about step jobs for logs and metrics. Its methods must not block.
type WorkObserver interface {
	hsdispatch.Observer
	// WorkAnswered receives the decision on a request and the version of the catalog that it is based on.
	WorkAnswered(id hsid.RequestID, q *hsmessage.WorkRequest, r hsmessage.WorkReply, catalog hswork.Version)
}

// Ports are the interfaces to the outside that the control role calls.
type Ports struct {
	Clock    Clock
	Random   hsquorum.Random
	Sender   Sender
	Storage  hsquorum.Storage
	Codec    StateCodec
	Sizer    hsquorum.EntrySizer
	Reader   Reader
	Observer Observer
	// Work observes decisions on step jobs.
	Work WorkObserver
	// Adviser calls the policy service; nil when there is none.
	Adviser hsdispatch.Adviser
	// Machines is the platform's machine interface; nil when there is none.
	Machines hsmaintenance.Machines
}
