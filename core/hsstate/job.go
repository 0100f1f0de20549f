package hsstate

import (
	"slices"
	"time"

	"hyssopseam/core/hsid"
	"hyssopseam/core/hsshape"
)

// Class orders jobs; a lower one goes first.
type Class int

// The classes of jobs.
const (
	Urgent Class = iota
	Normal
	Batch
)

var classNames = []string{"urgent", "normal", "batch"}

// String returns the name that ParseClass accepts.
func (c Class) String() string {
	return classNames[c]
}

// ParseClass returns the class with a name; the empty name is normal.
func ParseClass(name string) (Class, bool) {
	if name == "" {
		return Normal, true
	}
	i := slices.Index(classNames, name)
	return Class(i), i >= 0
}

// Phase tells where a job stands.
type Phase string

// The phases of a job.
const (
	Queued   Phase = "queued"
	Running  Phase = "running"
	Finished Phase = "finished"
)

// Outcome is how a finished job ended. The set is closed.
type Outcome string

// The outcomes of a job.
const (
	// Answered: it ran whole and its answer is whole.
	Answered Outcome = "answered"
	// Failed: it ran and reported a failure.
	Failed Outcome = "failed"
	// Cancelled: its caller cancelled it; Ran tells whether any part ran.
	Cancelled Outcome = "cancelled"
	// NotRun: it was refused and no part of it ran.
	NotRun Outcome = "notRun"
	// Unknown: its start was committed and its fate can't be found out.
	Unknown Outcome = "unknown"
)

// Spec is what a caller asks for.
type Spec struct {
	Workspace hsid.WorkspaceID
	Kind      hsid.JobKind
	Shape     hsshape.Shape
	Class     Class
	Key       hsid.IdempotencyKey
	// Expect is the declared run time, a hint; zero for none.
	Expect time.Duration
	// StartWithin is how long the caller waits for a start; zero for no bound. Only jobs that may be
	// refused under load are refused for it.
	StartWithin time.Duration
	// Cores and Memory are asked on each worker.
	Cores  hsid.MilliCores
	Memory hsid.Bytes
	Input  []byte
}

// Placement is the part of a gang on one worker.
type Placement struct {
	Worker      hsid.InstanceID
	Incarnation hsid.Incarnation
	// Endpoint is the life of the endpoint that the worker announced.
	Endpoint     hsid.Incarnation
	Accelerators hsshape.Set
}

// Job is one accepted job.
type Job struct {
	ID   hsid.JobID
	Spec Spec
	// Sum identifies the body, so that one key can't name two.
	Sum string
	// Once and MayRefuse are fixed by the rules it was accepted under.
	Once      bool
	MayRefuse bool
	Rules     hsid.RuleNumber
	Accepted  time.Duration
	Index     hsid.LogIndex

	Phase   Phase
	Attempt hsid.Attempt
	Grant   hsid.Grant
	Members []Placement
	Started time.Duration
	// StartRules is the rule number that the newest start was decided under.
	StartRules hsid.RuleNumber
	// Cancel is set once a cancellation is committed.
	Cancel bool
	// Lost counts attempts that ended without an answer.
	Lost int
	// FailedOn lists the workers on which an attempt failed.
	FailedOn []hsid.InstanceID
	// Preempted is when the job was last stopped for another one; zero for never.
	Preempted time.Duration

	Outcome Outcome
	Ran     bool
	Detail  string
	Answer  []byte
	// AnswerSum is the checksum of the answer. It stays when the answer itself was forgotten.
	AnswerSum string
	Ended     time.Duration
}
