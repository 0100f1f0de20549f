package hsmessage

import (
	"time"

	"hyssopseam/core/hsid"
	"hyssopseam/core/hsstate"
	"hyssopseam/core/hsview"
)

// Request asks the leader for a change or an answer; exactly one field beside ID is set. It may be
// sent again with the same ID.
type Request struct {
	ID      hsid.RequestID
	Push    *hsstate.PushRules
	Submit  *hsstate.SubmitJob
	Cancel  *hsstate.CancelJobs
	Members *MembersChange
	Query   *Query
	Work    *WorkRequest
}

// MembersAction names a change of the control replicas.
type MembersAction string

// The membership actions.
const (
	MembersAdd     MembersAction = "add"
	MembersRemove  MembersAction = "remove"
	MembersReplace MembersAction = "replace"
)

// MembersChange asks for a change of the control replicas.
type MembersChange struct {
	Action MembersAction
	// ID is the member to add or remove; for a replacement, the newcomer.
	ID hsid.ReplicaID
	// Old is the member that a replacement retires.
	Old hsid.ReplicaID
}

// QueryKind names what is asked.
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

// Query asks for a report. Job is set for the queries about one job. Wait holds the answer back until
// the job has finished, or with QueryRules until Number is in force everywhere, or the time has passed.
type Query struct {
	Kind   QueryKind
	Job    hsid.JobID
	Number hsid.RuleNumber
	Wait   time.Duration
}

// Status tells how a request ended.
type Status string

// The statuses of a reply.
const (
	StatusDone      Status = "done"
	StatusBad       Status = "bad"
	StatusMissing   Status = "missing"
	StatusConflict  Status = "conflict"
	StatusRefused   Status = "refused"
	StatusNotLeader Status = "notLeader"
	// StatusUnknown: the request may or may not have taken effect.
	StatusUnknown Status = "unknown"
)

// Reply answers the Request with the same ID. Leader, with StatusNotLeader, is where to ask instead.
type Reply struct {
	ID     hsid.RequestID
	Status Status
	Reason string
	// RetryAfter is set when a later try may succeed.
	RetryAfter time.Duration
	Leader     hsstate.Peer
	Rules      *hsstate.RulesResult
	Job        *hsstate.JobResult
	// View is what a query asked for.
	View *hsview.View
	// Work answers a WorkRequest.
	Work *WorkReply
}

func (Request) message() {}
func (Reply) message()   {}
