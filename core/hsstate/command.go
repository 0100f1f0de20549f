package hsstate

import (
	"time"

	"hyssopseam/core/hsid"
	"hyssopseam/core/hswork"
)

// Command is one change of the state; exactly one field is set. The zero command changes nothing and
// is what a new leader commits first.
type Command struct {
	Rules   *PushRules
	Submit  *SubmitJob
	Start   *StartGang
	Finish  *FinishJob
	Requeue *RequeueJob
	Cancel  *CancelJobs
	Homes   *SetHomes
	Members *SetMembers
	Work    *hswork.Command
}

// commandSize is what a command takes beside its contents, roughly.
const commandSize hsid.Bytes = 256

// Size returns about how many bytes a command takes in the log.
func (c *Command) Size() hsid.Bytes {
	size := commandSize
	if c.Rules != nil {
		size += hsid.Bytes(len(c.Rules.Content))
	}
	if c.Submit != nil {
		size += hsid.Bytes(len(c.Submit.Spec.Input))
	}
	if c.Finish != nil {
		size += hsid.Bytes(len(c.Finish.Answer))
	}
	if c.Work != nil {
		size += c.Work.Size()
	}
	return size
}

// PushRules puts a rule file in force.
type PushRules struct {
	Set      RuleSet
	Sum      string
	Content  string
	Operator hsid.OperatorID
}

// SubmitJob accepts a job.
type SubmitJob struct {
	ID   hsid.JobID
	Sum  string
	Spec Spec
}

// StartGang commits the start of an attempt whose members all hold their accelerators.
type StartGang struct {
	Grant   hsid.Grant
	Members []Placement
	Rules   hsid.RuleNumber
}

// FinishJob ends a job.
type FinishJob struct {
	Job     hsid.JobID
	Attempt hsid.Attempt
	Outcome Outcome
	Ran     bool
	Detail  string
	Answer  []byte
	Sum     string
	// StopTook is the longest time that a member took to stop; zero when none was stopped.
	StopTook time.Duration
}

// RequeueJob ends an attempt that lost a member or was preempted, and queues the job again.
type RequeueJob struct {
	Job     hsid.JobID
	Attempt hsid.Attempt
	Detail  string
	// Lost is false when the attempt was stopped on purpose.
	Lost bool
	// Ran is set when any member was started.
	Ran bool
	// StopTook is the longest time that a member took to stop; zero when none was stopped.
	StopTook time.Duration
	// FailedOn lists the workers that reported a failure.
	FailedOn []hsid.InstanceID
}

// CancelJobs cancels a batch of jobs.
type CancelJobs struct {
	Jobs []hsid.JobID
}

// SetHomes replaces the homes of all guarantees.
type SetHomes struct {
	Homes []Home
}

// SetMembers changes the control replicas by at most one member.
type SetMembers struct {
	Cluster hsid.ClusterID
	Members []Member
}

// Result is what applying an entry gives back to whoever proposed it.
type Result struct {
	Index hsid.LogIndex
	Clock time.Duration
	Rules *RulesResult
	Job   *JobResult
}

// RulesVerdict tells how a push ended.
type RulesVerdict string

// The verdicts on a push.
const (
	RulesAccepted RulesVerdict = "accepted"
	RulesConflict RulesVerdict = "conflict"
	RulesStale    RulesVerdict = "stale"
)

// RulesResult answers a push. Winner is the accepted file of the same number, if there is one.
type RulesResult struct {
	Verdict RulesVerdict
	Number  hsid.RuleNumber
	InForce hsid.RuleNumber
	Winner  RuleFile
}

// JobVerdict tells how a submission ended.
type JobVerdict string

// The verdicts on a submission.
const (
	JobAccepted JobVerdict = "accepted"
	JobExisting JobVerdict = "existing"
	JobConflict JobVerdict = "conflict"
	JobRefused  JobVerdict = "refused"
)

// JobResult answers a submission.
type JobResult struct {
	Verdict JobVerdict
	ID      hsid.JobID
	Rules   hsid.RuleNumber
	Reason  string
}
