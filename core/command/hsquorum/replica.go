package hsquorum

import (
	"errors"
	"fmt"
	"slices"
	"time"

	"hyssopseam/core/hsid"
	"hyssopseam/core/hsmessage"
	"hyssopseam/core/hsstate"
)

// Role is the role of a replica in its term.
type Role string

// The roles.
const (
	Follower  Role = "follower"
	Candidate Role = "candidate"
	Leader    Role = "leader"
)

// Errors of Propose.
var (
	// ErrNotLeader: this replica doesn't lead, hasn't applied the first entry of its term yet, or its lease expired.
	ErrNotLeader = errors.New("hsquorum: not the leader")
	// ErrMembership: the membership change isn't allowed, or not yet.
	ErrMembership = errors.New("hsquorum: membership change refused")
	// ErrTooLarge: the command doesn't fit into one message between replicas.
	ErrTooLarge = errors.New("hsquorum: command too large")
)

// Replica is one control replica: a member of the cluster, or one that is to join it.
type Replica struct {
	config Config
	ports  Ports

	hardState HardState
	log       entryLog
	cluster   hsid.ClusterID
	members   []hsstate.Member
	// configIndex is the index of the entry that set the current members.
	configIndex  hsid.LogIndex
	commitIndex  hsid.LogIndex
	appliedIndex hsid.LogIndex
	// bytesSinceSnapshot is the size of the entries that were applied since the last snapshot.
	bytesSinceSnapshot hsid.Bytes

	role              Role
	leaderID          hsid.ReplicaID
	leaderAddress     hsstate.Peer
	lastLeaderContact time.Time
	electionDeadline  time.Time
	preVote           bool
	// leadershipTransfer is set on a candidate that the last leader asked to start an election.
	leadershipTransfer bool
	votes              map[hsid.ReplicaID]bool
	// verifiedIndex is the last index known to agree with the leader of this term.
	verifiedIndex hsid.LogIndex
	partial       partialSnapshot

	peers         map[hsid.ReplicaID]*progress
	nextHeartbeat time.Time
	// lastRound is the number of the latest request to another replica; replies carry it back.
	lastRound hsid.Sequence
	electedAt time.Time
	// termStartIndex is the index of the leader's first entry of its term.
	termStartIndex   hsid.LogIndex
	clockWhenElected time.Duration

	disk     diskState
	snapshot Snapshot
}

// New returns a replica that continues from the stored state, as a follower without a leader until it hears from one
// or its election timeout passes. It returns an error when the snapshot can't be restored or an entry is missing from
// the log.
func New(c Config, p Ports, s Stored) (*Replica, error) {
	r := &Replica{config: c.WithDefaults(), ports: p, hardState: s.HardState, role: Follower, snapshot: s.Snapshot}
	r.log.reset(s.Snapshot.Index, s.Snapshot.Term, s.Snapshot.Clock)
	r.setMembers(s.Snapshot.Cluster, s.Snapshot.Members, s.Snapshot.Index)
	if len(s.Snapshot.Data) > 0 {
		if err := p.StateMachine.Restore(s.Snapshot.Data); err != nil {
			return nil, fmt.Errorf("hsquorum: restore the snapshot at index %d: %w", s.Snapshot.Index, err)
		}
	}
	r.commitIndex = s.Snapshot.Index
	r.appliedIndex = s.Snapshot.Index
	for _, e := range s.Entries {
		if e.Index <= s.Snapshot.Index {
			continue
		}
		if e.Index != r.log.lastIndex()+1 {
			return nil, fmt.Errorf("hsquorum: gap in the log: entry %d is followed by entry %d", r.log.lastIndex(), e.Index)
		}
		r.appendEntry(e)
	}
	r.disk.syncedIndex = r.log.lastIndex()
	r.disk.submittedIndex = r.log.lastIndex()
	r.lastLeaderContact = p.Clock.Now()
	r.resetElectionTimer()
	return r, nil
}

// Receive handles a message from another replica. It drops messages of another cluster or for another replica.
func (r *Replica) Receive(m hsmessage.Message) {
	switch m := m.(type) {
	case hsmessage.VoteRequest:
		if r.accepts(m.Header) {
			r.receiveVoteRequest(m)
		}
	case hsmessage.VoteReply:
		if r.accepts(m.Header) {
			r.receiveVoteReply(m)
		}
	case hsmessage.AppendRequest:
		if r.acceptLeader(m.Header) {
			r.receiveAppend(m)
		}
	case hsmessage.AppendReply:
		if r.accepts(m.Header) && r.observeTerm(m.Header) {
			r.receiveAppendReply(m)
		}
	case hsmessage.SnapshotChunk:
		if r.acceptLeader(m.Header) {
			r.receiveSnapshotChunk(m)
		}
	case hsmessage.SnapshotReply:
		if r.accepts(m.Header) && r.observeTerm(m.Header) {
			r.receiveSnapshotReply(m)
		}
	case hsmessage.TransferLeadership:
		if r.accepts(m.Header) && m.Term == r.hardState.Term && r.role == Follower && r.isVoter() && !r.diskStuck() {
			r.startElection(true)
		}
	}
}

// Wake runs the timers that are due: elections on followers and candidates, heartbeats on a leader. It must be called
// at NextWake; calling it earlier is harmless.
func (r *Replica) Wake() {
	now := r.ports.Clock.Now()
	if r.role == Leader {
		r.wakeLeader(now)
		return
	}
	if now.Before(r.electionDeadline) {
		return
	}
	r.resetElectionTimer()
	if r.mayStartElection() && !r.diskStuck() {
		r.startPreVote()
	}
}

// NextWake returns when Wake must be called next.
func (r *Replica) NextWake() time.Time {
	if r.role == Leader {
		return r.nextHeartbeat
	}
	return r.electionDeadline
}

// Propose appends a command to the leader's log and returns its index. The proposer knows that the entry is committed
// only once StateMachine.Apply is called with it. Propose returns ErrNotLeader unless Leading, ErrMembership for a
// membership change that isn't allowed, and ErrTooLarge for a command above Config.MaxEntryBytes.
func (r *Replica) Propose(c hsstate.Command) (hsid.LogIndex, error) {
	if !r.Leading() {
		return 0, ErrNotLeader
	}
	if c.Members != nil {
		if err := r.checkMembershipChange(c.Members.Members); err != nil {
			return 0, err
		}
	}
	return r.appendCommand(c)
}

// Flush starts saving unsaved state and, on a leader, sends new entries to the other replicas.
func (r *Replica) Flush() {
	r.startSave()
	if r.role == Leader {
		r.sendAppends()
	}
}

// ID returns the replica's identifier.
func (r *Replica) ID() hsid.ReplicaID { return r.config.ID }

// Term returns the current term.
func (r *Replica) Term() hsid.Term { return r.hardState.Term }

// Role returns the replica's role in its term. A leader may act only while Leading reports true.
func (r *Replica) Role() Role { return r.role }

// RoleName returns the role as a string.
func (r *Replica) RoleName() string { return string(r.role) }

// CommitIndex returns the index of the last entry known to be committed.
func (r *Replica) CommitIndex() hsid.LogIndex { return r.commitIndex }

// LastIndex returns the index of the last entry of the log.
func (r *Replica) LastIndex() hsid.LogIndex { return r.log.lastIndex() }

// LogLength returns the number of entries that the log holds; compaction drops older ones.
func (r *Replica) LogLength() int { return len(r.log.entries) }

// Members returns the current members. The caller must not modify the slice.
func (r *Replica) Members() []hsstate.Member { return r.members }

// Cluster returns the cluster that the replica belongs to; empty before a replica joins its first cluster.
func (r *Replica) Cluster() hsid.ClusterID { return r.cluster }

// LeaderAddress returns the address at which the leader of this term receives messages; empty when unknown.
func (r *Replica) LeaderAddress() hsstate.Peer {
	if r.role == Leader {
		return r.config.Address
	}
	return r.leaderAddress
}

// Clock returns the cluster time: on a leader, the cluster time at its election plus the time since; otherwise that
// of the last entry.
func (r *Replica) Clock() time.Duration {
	if r.role != Leader {
		return r.log.lastClock()
	}
	return r.clockWhenElected + r.ports.Clock.Now().Sub(r.electedAt)
}

// accepts reports whether a message is for this replica and of its cluster.
func (r *Replica) accepts(h hsmessage.Header) bool {
	return h.Cluster == r.cluster && h.To == r.config.ID
}

// acceptLeader reports whether a message is from a leader of the current or a newer term, and if so follows that
// leader. A replica without a cluster joins that of its first leader. A leader of an older term is told the current
// one.
func (r *Replica) acceptLeader(h hsmessage.Header) bool {
	if h.To != r.config.ID {
		return false
	}
	if r.cluster != "" && h.Cluster != r.cluster {
		return false
	}
	if h.Term < r.hardState.Term {
		r.send(h.Address, hsmessage.AppendReply{Header: r.header(h.From)})
		return false
	}
	r.cluster = h.Cluster
	r.becomeFollower(h.Term, h.From, h.Address)
	r.lastLeaderContact = r.ports.Clock.Now()
	r.resetElectionTimer()
	return true
}

// observeTerm adopts the term of a message if it is newer, and reports whether the message is of the current term.
func (r *Replica) observeTerm(h hsmessage.Header) bool {
	if h.Term > r.hardState.Term {
		r.becomeFollower(h.Term, 0, "")
	}
	return h.Term == r.hardState.Term
}

func (r *Replica) header(to hsid.ReplicaID) hsmessage.Header {
	return hsmessage.Header{
		Cluster: r.cluster,
		From:    r.config.ID,
		Address: r.config.Address,
		To:      to,
		Term:    r.hardState.Term,
	}
}

func (r *Replica) send(to hsstate.Peer, m hsmessage.Message) {
	r.ports.Sender.Send(to, m)
}

// becomeFollower follows a leader, or none while the leader of the term is unknown. A newer term clears the vote and
// drops the held messages, which belong to the old term.
func (r *Replica) becomeFollower(t hsid.Term, leader hsid.ReplicaID, address hsstate.Peer) {
	if t > r.hardState.Term {
		r.hardState = HardState{Term: t}
		r.disk.hardStateDirty = true
		r.verifiedIndex = 0
		r.disk.heldMessages = nil
	}
	if r.role == Leader {
		r.resetElectionTimer()
	}
	r.role = Follower
	r.peers = nil
	r.votes = nil
	r.leaderID = leader
	r.leaderAddress = address
}

// resetElectionTimer draws a new election timeout from [ElectionTimeout, 2*ElectionTimeout).
func (r *Replica) resetElectionTimer() {
	jitter := r.ports.Random.Int64N(int64(r.config.ElectionTimeout))
	r.electionDeadline = r.ports.Clock.Now().Add(r.config.ElectionTimeout + time.Duration(jitter))
}

func (r *Replica) isVoter() bool {
	i := hsstate.MemberIndex(r.members, r.config.ID)
	return i >= 0 && r.members[i].Voter
}

// mayStartElection reports whether this replica may start an election. A voter that an uncommitted change removes may
// too: its log may be the only one that is up to date enough to win the votes of the others.
func (r *Replica) mayStartElection() bool {
	if r.isVoter() {
		return true
	}
	if !r.MembershipChangePending() {
		return false
	}
	_, before := r.membersAt(r.configIndex - 1)
	i := hsstate.MemberIndex(before, r.config.ID)
	return i >= 0 && before[i].Voter
}

// quorum returns the number of voters in a majority.
func (r *Replica) quorum() int {
	return len(hsstate.Voters(r.members))/2 + 1
}

// setMembers makes the members of the entry at index, or of a snapshot there, the current ones.
func (r *Replica) setMembers(c hsid.ClusterID, members []hsstate.Member, index hsid.LogIndex) {
	if c != "" {
		r.cluster = c
	}
	r.members = slices.Clone(members)
	r.configIndex = index
	if r.role == Leader {
		r.updatePeers()
	}
}
