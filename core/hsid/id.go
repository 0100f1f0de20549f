package hsid

import "fmt"

// InstanceID names one instance (a machine); a worker is named by the instance that it is.
type InstanceID string

// ZoneID names an availability zone.
type ZoneID string

// RackID names a rack; it is unique within an availability zone.
type RackID string

// WorkspaceID names a workspace, the customer that a job belongs to.
type WorkspaceID string

// JobKind names a kind of job; rules and estimates are kept per kind.
type JobKind string

// JobID names one accepted job. It is the same on every resend of a submission.
type JobID string

// IdempotencyKey is chosen by a caller and names a submission within its workspace.
type IdempotencyKey string

// RequestID names one message that waits for an answer. It includes the incarnation of its sender.
type RequestID string

// ClusterID names a control cluster, drawn at random when the cluster is formed.
type ClusterID string

// OperatorID names who pushed a rule file.
type OperatorID string

// ReplicaID names one control replica and the disk it writes to. A replaced disk gets a new one.
type ReplicaID uint64

// Incarnation tells one life of a process from the next. It is drawn at random at each start.
type Incarnation uint64

// Term counts leaderships of the control log.
type Term uint64

// LogIndex is a position in the control log; the first entry has index 1.
type LogIndex uint64

// RuleNumber is the operator's number of a rule file. Zero means that none is in force.
type RuleNumber uint64

// Attempt numbers the placements of one job from 1. One that was prepared and not started has a number too,
// so that no two preparations share a grant.
type Attempt uint32

// Sequence orders the messages of one sender to one receiver.
type Sequence uint64

// Grant names one placement of a job and the term of the leader that made it.
type Grant struct {
	Job     JobID
	Attempt Attempt
	Term    Term
}

// String returns the grant as job/attempt/term.
func (g Grant) String() string {
	return fmt.Sprintf("%s/%d/%d", g.Job, g.Attempt, g.Term)
}
