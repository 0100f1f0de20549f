package hsstate

import (
	"time"

	"hyssopseam/core/hsid"
	"hyssopseam/core/hswork"
)

// Command is one change of the state; exactly one field is set. The zero Command is a no-op, which every new
// leader commits first.
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

// PushRules puts a rule file into force, unless a file of the same or a higher number was accepted before.
type PushRules struct {
	Set RuleSet
	// Sum is the checksum of Content, the text that Set was parsed from.
	Sum      string
	Content  string
	Operator hsid.OperatorID
}

// SubmitJob submits a job, which is accepted or refused when the command is applied.
type SubmitJob struct {
	ID hsid.JobID
	// Sum is the checksum of Spec without its key.
	Sum  string
	Spec Spec
}

// StartGang starts an attempt. It is proposed once all members of the gang hold their accelerators.
type StartGang struct {
	Grant   hsid.Grant
	Members []Placement
	// Rules is the number of the rule file that the placement was decided under.
	Rules hsid.RuleNumber
}

// FinishJob ends a job.
type FinishJob struct {
	Job     hsid.JobID
	Attempt hsid.Attempt
	Outcome Outcome
	// Ran is set when any member was started, or may have been.
	Ran    bool
	Detail string
	Answer []byte
	// Sum is the checksum of Answer.
	Sum string
	// StopTook is the longest time that a member took to stop; zero when none was stopped.
	StopTook time.Duration
}

// RequeueJob ends an attempt that lost a member or was preempted, and returns the job to the queue.
type RequeueJob struct {
	Job     hsid.JobID
	Attempt hsid.Attempt
	Detail  string
	// Failed is set when the attempt failed or lost a member; it isn't set for a preemption.
	Failed bool
	// Ran is set when any member was started, or may have been.
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

// SetHomes replaces the homes of all guarantees at once.
type SetHomes struct {
	Homes []Home
}

// SetMembers replaces the membership of the control cluster. It differs from the previous membership by at most
// one member.
type SetMembers struct {
	Cluster hsid.ClusterID
	Members []Member
}

// Result is the result of applying an entry, which is returned to the proposer.
type Result struct {
	Index hsid.LogIndex
	Clock time.Duration
	Rules *RulesResult
	Job   *JobResult
}

// RulesVerdict is the result of pushing a rule file.
type RulesVerdict string

// The verdicts on a pushed rule file.
const (
	// RulesAccepted means that the file was put into force now or by an earlier push of the same content.
	RulesAccepted RulesVerdict = "accepted"
	// RulesConflict means that a file of the same number and another content was accepted before.
	RulesConflict RulesVerdict = "conflict"
	// RulesStale means that the number isn't above the one in force.
	RulesStale RulesVerdict = "stale"
)

// RulesResult is the reply to a PushRules.
type RulesResult struct {
	Verdict RulesVerdict
	// Number is the pushed number, and InForce the number in force after the push.
	Number  hsid.RuleNumber
	InForce hsid.RuleNumber
	// Winner is the accepted file with the pushed number; it is empty when the push is stale.
	Winner RuleFile
}

// JobVerdict is the result of a submission.
type JobVerdict string

// The verdicts on a submission.
const (
	JobAccepted JobVerdict = "accepted"
	// JobExisting means that the same submission was accepted before.
	JobExisting JobVerdict = "existing"
	// JobConflict means that the identifier belongs to a job with another body.
	JobConflict JobVerdict = "conflict"
	JobRefused  JobVerdict = "refused"
)

// JobResult is the reply to a SubmitJob.
type JobResult struct {
	Verdict JobVerdict
	ID      hsid.JobID
	// Rules is the number of the rule file that the job was accepted or refused under.
	Rules hsid.RuleNumber
	// Reason is set for a conflict or a refusal.
	Reason string
}
