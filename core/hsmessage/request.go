package hsmessage

import (
	"time"

	"hyssopseam/core/hsid"
	"hyssopseam/core/hsstate"
	"hyssopseam/core/hsview"
)

// Request asks the leader for a change or for information; exactly one field besides ID is set. It may be sent
// again with the same ID.
type Request struct {
	ID      hsid.RequestID
	Push    *hsstate.PushRules
	Submit  *hsstate.SubmitJob
	Cancel  *hsstate.CancelJobs
	Members *MembersChange
	Query   *Query
	Work    *WorkRequest
}

// MembersAction is a kind of membership change.
type MembersAction string

// The membership actions.
const (
	MembersAdd     MembersAction = "add"
	MembersRemove  MembersAction = "remove"
	MembersReplace MembersAction = "replace"
)

// MembersChange asks for a change of the control cluster's membership.
type MembersChange struct {
	Action MembersAction
	// ID is the member to add or remove, or the new member of a replacement.
	ID hsid.ReplicaID
	// Old is the member that a replacement removes.
	Old hsid.ReplicaID
}

// QueryKind is the kind of a query.
type QueryKind string

// The queries.
const (
	QueryJob     QueryKind = "job"
	QueryJobs    QueryKind = "jobs"
	QueryStatus  QueryKind = "status"
	QueryExplain QueryKind = "explain"
	QueryWorkers QueryKind = "workers"
	QueryRules   QueryKind = "rules"
	QueryHistory QueryKind = "history"
	QueryMembers QueryKind = "members"
)

// Query asks for a view of the state.
type Query struct {
	Kind QueryKind
	// Job is set for QueryJob and QueryExplain.
	Job hsid.JobID
	// Number selects one rule file for QueryHistory; zero for all.
	Number hsid.RuleNumber
	// Wait delays the answer for at most this long: for QueryJob until the job has finished, and for QueryRules
	// until the rule file with Number, or a later one, is in force on all processes.
	Wait time.Duration
}

// Status is the result of a request.
type Status string

// The statuses of a reply.
const (
	StatusDone      Status = "done"
	StatusBad       Status = "bad"
	StatusMissing   Status = "missing"
	StatusConflict  Status = "conflict"
	StatusRefused   Status = "refused"
	StatusNotLeader Status = "notLeader"
	// StatusUnknown means that the request may or may not have taken effect.
	StatusUnknown Status = "unknown"
)

// Reply is the answer to the Request with the same ID.
type Reply struct {
	ID     hsid.RequestID
	Status Status
	Reason string
	// RetryAfter is set when a later retry may succeed.
	RetryAfter time.Duration
	// Leader is the address of the leader for StatusNotLeader; empty when it is unknown.
	Leader hsstate.Peer
	// Rules is the answer to a push, and Job the answer to a submission.
	Rules *hsstate.RulesResult
	Job   *hsstate.JobResult
	// View is the answer to a Query.
	View *hsview.View
	// Work is the answer to a WorkRequest.
	Work *WorkReply
}

func (Request) message() {}
func (Reply) message()   {}
