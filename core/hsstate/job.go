package hsstate

import (
	"slices"
	"time"

	"hyssopseam/core/hsid"
	"hyssopseam/core/hsshape"
)

// Class is the scheduling class of a job. A lower class is served first.
type Class int

// The scheduling classes.
const (
	Urgent Class = iota
	Normal
	Batch
)

var classNames = []string{"urgent", "normal", "batch"}

// String returns the name that ParseClass accepts. It panics for an unknown class.
func (c Class) String() string {
	return classNames[c]
}

// ParseClass returns the class with a name, Normal for the empty name, and false for an unknown name.
func ParseClass(name string) (Class, bool) {
	if name == "" {
		return Normal, true
	}
	i := slices.Index(classNames, name)
	return Class(i), i >= 0
}

// Phase is the lifecycle phase of a job.
type Phase string

// The phases of a job.
const (
	Queued   Phase = "queued"
	Running  Phase = "running"
	Finished Phase = "finished"
)

// Outcome is the outcome of a finished job. The set of values is closed.
type Outcome string

// The outcomes of a job.
const (
	// Answered means that the job ran to its end and its answer is complete.
	Answered Outcome = "answered"
	// Failed means that the job ran and reported a failure.
	Failed Outcome = "failed"
	// Cancelled means that the caller cancelled the job; Job.Ran tells whether any part of it ran.
	Cancelled Outcome = "cancelled"
	// NotRun means that the job was refused and that no part of it ran.
	NotRun Outcome = "notRun"
	// Unknown means that a start of the job was committed and that its fate can't be determined.
	Unknown Outcome = "unknown"
)

// Spec is a job as its caller submits it.
type Spec struct {
	Workspace hsid.WorkspaceID
	Kind      hsid.JobKind
	Shape     hsshape.Shape
	Class     Class
	Key       hsid.IdempotencyKey
	// Expect is the run time as declared by the caller, a hint; zero for none.
	Expect time.Duration
	// StartWithin is how long the caller is prepared to wait for the start; zero for no limit. A job whose
	// predicted start is later is refused, but only if its kind may be refused under load.
	StartWithin time.Duration
	// Cores and Memory are the demand on each worker.
	Cores  hsid.MilliCores
	Memory hsid.Bytes
	Input  []byte
}

// Placement assigns one member of a gang to accelerators of a worker.
type Placement struct {
	Worker hsid.InstanceID
	// Incarnation is the incarnation of the worker's agent.
	Incarnation hsid.Incarnation
	// Endpoint is the incarnation of the worker's endpoint.
	Endpoint     hsid.Incarnation
	Accelerators hsshape.Set
}

// Job is one accepted job.
type Job struct {
	ID   hsid.JobID
	Spec Spec
	// Sum is the checksum of the submission, which detects an idempotency key that is reused for another job.
	Sum string
	// Once is set for a job that must never run twice, and MayRefuse for one that may be refused under load. Both
	// follow from the rule file in force at acceptance, whose number is Rules.
	Once      bool
	MayRefuse bool
	Rules     hsid.RuleNumber
	// Accepted is the cluster time of acceptance, and Index the log index.
	Accepted time.Duration
	Index    hsid.LogIndex

	Phase   Phase
	Attempt hsid.Attempt
	Grant   hsid.Grant
	Members []Placement
	Started time.Duration
	// StartRules is the number of the rule file that the latest start was decided under.
	StartRules hsid.RuleNumber
	// Cancel is set once a cancellation is committed.
	Cancel bool
	// FailedAttempts counts the attempts that failed or lost a member, and were queued again.
	FailedAttempts int
	// FailedOn lists the workers on which an attempt failed.
	FailedOn []hsid.InstanceID
	// Preempted is the cluster time of the last preemption; zero for never.
	Preempted time.Duration

	Outcome Outcome
	Ran     bool
	Detail  string
	Answer  []byte
	// AnswerSum is the checksum of the answer. It is kept after the answer itself was dropped.
	AnswerSum string
	Ended     time.Duration
}
