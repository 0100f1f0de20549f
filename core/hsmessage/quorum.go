package hsmessage

import (
	"time"

	"hyssopseam/core/hsid"
	"hyssopseam/core/hsstate"
)

// Header is the part that all messages between control replicas share.
type Header struct {
	Cluster hsid.ClusterID
	From    hsid.ReplicaID
	// Address is where the sender takes replies.
	Address hsstate.Peer
	To      hsid.ReplicaID
	Term    hsid.Term
}

// VoteRequest asks for a vote, or with Pre for the promise of one.
type VoteRequest struct {
	Header
	Pre       bool
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

// AppendRequest carries entries, and without entries is a heartbeat. Round is echoed in the reply.
type AppendRequest struct {
	Header
	Round     hsid.Sequence
	PrevIndex hsid.LogIndex
	PrevTerm  hsid.Term
	Commit    hsid.LogIndex
	Entries   []hsstate.Entry
}

// AppendReply acknowledges what is synced, or tells where the logs part.
type AppendReply struct {
	Header
	Round hsid.Sequence
	// OK is set when the logs agree at PrevIndex.
	OK bool
	// Match is the last index that is synced and agrees; without OK it is the last index to try next.
	Match hsid.LogIndex
}

// SnapshotChunk carries a part of an encoded snapshot.
type SnapshotChunk struct {
	Header
	Round   hsid.Sequence
	Index   hsid.LogIndex
	At      hsid.Term
	Clock   time.Duration
	Members []hsstate.Member
	Offset  hsid.Bytes
	Total   hsid.Bytes
	Data    []byte
}

// SnapshotReply tells from where the next chunk is wanted.
type SnapshotReply struct {
	Header
	Round  hsid.Sequence
	Index  hsid.LogIndex
	Offset hsid.Bytes
}

// TransferLeadership asks the receiver to campaign at once; the sender has stepped down.
type TransferLeadership struct {
	Header
}

// Newcomer tells the cluster of a replica that no membership lists yet.
type Newcomer struct {
	ID       hsid.ReplicaID
	Instance hsid.InstanceID
	Address  hsstate.Peer
	// Fresh is set while its log is empty. Only such a newcomer, or a former member, joins without being asked.
	Fresh bool
	// Cluster is what its log belongs to; empty for a fresh one.
	Cluster hsid.ClusterID
	// Relayed is set by a replica that passes the message on to the leader.
	Relayed bool
}

func (VoteRequest) message()        {}
func (VoteReply) message()          {}
func (AppendRequest) message()      {}
func (AppendReply) message()        {}
func (SnapshotChunk) message()      {}
func (SnapshotReply) message()      {}
func (TransferLeadership) message() {}
func (Newcomer) message()           {}
