package hsid

import "fmt"

// InstanceID identifies an instance (a machine). A worker has the identifier of the instance that it runs on.
type InstanceID string

// ZoneID identifies an availability zone.
type ZoneID string

// RackID identifies a rack. It is unique within an availability zone only.
type RackID string

// WorkspaceID identifies a workspace, the tenant that a job belongs to.
type WorkspaceID string

// JobKind is the kind of a job as its caller names it. Rules may apply to one kind, and run times are estimated
// for each kind of a workspace.
type JobKind string

// JobID identifies one accepted job. A submission that is sent again gets the same identifier.
type JobID string

// IdempotencyKey is chosen by the caller and identifies a submission within its workspace.
type IdempotencyKey string

// RequestID identifies a request that awaits a reply. It includes the incarnation of the sender.
type RequestID string

// ClusterID identifies a control cluster. It is drawn at random when the cluster is formed.
type ClusterID string

// OperatorID identifies the operator who pushed a rule file.
type OperatorID string

// ReplicaID identifies a control replica together with its disk. A replica whose disk is replaced gets a new
// identifier.
type ReplicaID uint64

// Incarnation distinguishes the restarts of a process. It is drawn at random at each start.
type Incarnation uint64

// Term is a leader's term in the consensus on the control log. It grows with each election.
type Term uint64

// LogIndex is a position in the control log; the first entry has index 1.
type LogIndex uint64

// RuleNumber is the number that the operator gave a rule file. The highest accepted number is in force; zero means
// that none is.
type RuleNumber uint64

// Attempt numbers the placements of a job from 1. A placement that was prepared but never started uses up a
// number too, so that no two preparations share a grant.
type Attempt uint32

// Sequence numbers the messages from one sender to one receiver.
type Sequence uint64

// Grant identifies one placement of a job, with the term of the leader that made it.
type Grant struct {
	Job     JobID
	Attempt Attempt
	Term    Term
}

// String returns the grant as job/attempt/term.
func (g Grant) String() string {
	return fmt.Sprintf("%s/%d/%d", g.Job, g.Attempt, g.Term)
}
