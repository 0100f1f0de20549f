package hsmessage

import (
	"time"

	"hyssopseam/core/hsid"
	"hyssopseam/core/hsstate"
)

// Header is the common part of the messages between control replicas.
type Header struct {
	Cluster hsid.ClusterID
	From    hsid.ReplicaID
	// Address is the address for replies to the sender.
	Address hsstate.Peer
	To      hsid.ReplicaID
	Term    hsid.Term
}

// VoteRequest asks for a vote. With Pre it is a pre-vote: it asks whether the receiver would grant the vote, and
// changes no state.
type VoteRequest struct {
	Header
	Pre bool
	// Transfer is set for an election that the previous leader asked for. The receiver then considers it even if
	// it heard from that leader recently.
	Transfer  bool
	LastIndex hsid.LogIndex
	LastTerm  hsid.Term
}

// VoteReply answers a VoteRequest.
type VoteReply struct {
	Header
	Pre     bool
	Granted bool
}

// AppendRequest carries log entries to a follower; without entries it is a heartbeat. The reply echoes Round.
type AppendRequest struct {
	Header
	Round     hsid.Sequence
	PrevIndex hsid.LogIndex
	PrevTerm  hsid.Term
	Commit    hsid.LogIndex
	Entries   []hsstate.Entry
}

// AppendReply acknowledges the synced entries, or helps the leader find where the logs diverge.
type AppendReply struct {
	Header
	// Round is that of the request; zero for an acknowledgement after a later sync.
	Round hsid.Sequence
	// OK is set when the logs match at PrevIndex.
	OK bool
	// Match is the last index that is synced and matches the leader's log. Without OK it is the highest index at
	// which the leader should try next.
	Match hsid.LogIndex
}

// SnapshotChunk carries a part of an encoded snapshot to a follower.
type SnapshotChunk struct {
	Header
	Round hsid.Sequence
	// LastIndex and LastTerm are the index and the term of the last entry that the snapshot covers.
	LastIndex hsid.LogIndex
	LastTerm  hsid.Term
	Clock     time.Duration
	Members   []hsstate.Member
	// Offset is the position of Data in the encoded snapshot, which has Total bytes.
	Offset hsid.Bytes
	Total  hsid.Bytes
	Data   []byte
}

// SnapshotReply acknowledges the chunks of a snapshot; Offset is the position of the next one expected.
type SnapshotReply struct {
	Header
	Round     hsid.Sequence
	LastIndex hsid.LogIndex
	Offset    hsid.Bytes
}

// TransferLeadership asks the receiver to start an election at once. The sender has stepped down.
type TransferLeadership struct {
	Header
}

// JoinRequest is the request of a replica to join the control cluster, sent while the membership known to it doesn't
// list it or while it hears from no leader.
type JoinRequest struct {
	ID       hsid.ReplicaID
	Instance hsid.InstanceID
	Address  hsstate.Peer
	// LogEmpty is set while its log is empty. Only such a replica, or a former member of the cluster, is added
	// without an operator's request.
	LogEmpty bool
	// Cluster is the cluster that its log belongs to; empty when LogEmpty is set.
	Cluster hsid.ClusterID
	// Forwarded is set by a replica that forwards the message to the leader; it isn't forwarded again.
	Forwarded bool
}

func (VoteRequest) message()        {}
func (VoteReply) message()          {}
func (AppendRequest) message()      {}
func (AppendReply) message()        {}
func (SnapshotChunk) message()      {}
func (SnapshotReply) message()      {}
func (TransferLeadership) message() {}
func (JoinRequest) message()        {}
