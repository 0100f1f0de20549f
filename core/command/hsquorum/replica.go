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

// Role is the part that a replica plays in its term.
type Role string

// The roles.
const (
	Follower  Role = "follower"
	Candidate Role = "candidate"
	Leader    Role = "leader"
)

// Errors of Propose.
var (
	// ErrNotLeader: this replica doesn't lead, or its lease ran out.
	ErrNotLeader = errors.New("hsquorum: not the leader")
	// ErrMembership: the change isn't allowed now.
	ErrMembership = errors.New("hsquorum: membership change refused")
)

// Replica is one control replica.
type Replica struct {
	config Config
	ports  Ports

	hard    HardState
	log     entryLog
	cluster hsid.ClusterID
	members []hsstate.Member
	// configIndex is where the members in use stand in the log.
	configIndex hsid.LogIndex
	commit      hsid.LogIndex
	applied     hsid.LogIndex
	// appliedBytes is the size of the entries that were applied since the last snapshot.
	appliedBytes hsid.Bytes

	role       Role
	leader     hsid.ReplicaID
	leaderAddr hsstate.Peer
	lastHeard  time.Time
	electionAt time.Time
	preVote    bool
	transfer   bool
	votes      map[hsid.ReplicaID]bool
	// verified is the last index known to agree with the leader of this term.
	verified hsid.LogIndex
	partial  partialSnapshot

	peers       map[hsid.ReplicaID]*progress
	heartbeatAt time.Time
	round       hsid.Sequence
	ledSince    time.Time
	termStart   hsid.LogIndex
	baseClock   time.Duration

	disk     diskState
	snapshot Snapshot
}

// New returns a replica that continues from what was stored. It follows nobody until it hears from a
// leader or its election timeout passes.
func New(c Config, p Ports, s Stored) (*Replica, error) {
	r := &Replica{config: c.WithDefaults(), ports: p, hard: s.Hard, role: Follower, snapshot: s.Snapshot}
	r.log.reset(s.Snapshot.Index, s.Snapshot.Term, s.Snapshot.Clock)
	r.useMembers(s.Snapshot.Cluster, s.Snapshot.Members, s.Snapshot.Index)
	if len(s.Snapshot.Data) > 0 {
		if err := p.Machine.Restore(s.Snapshot.Data); err != nil {
			return nil, fmt.Errorf("hsquorum: restore the snapshot at %d: %w", s.Snapshot.Index, err)
		}
	}
	r.commit = s.Snapshot.Index
	r.applied = s.Snapshot.Index
	for _, e := range s.Entries {
		if e.Index <= s.Snapshot.Index {
			continue
		}
		if e.Index != r.log.last()+1 {
			return nil, fmt.Errorf("hsquorum: the log goes from entry %d to %d", r.log.last(), e.Index)
		}
		r.appendEntry(e)
	}
	r.disk.synced = r.log.last()
	r.disk.saved = r.log.last()
	r.lastHeard = p.Clock.Now()
	r.resetElection()
	return r, nil
}

// Receive takes a message from another replica. Messages of another cluster, or for another replica,
// are dropped.
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
		if r.acceptsLeader(m.Header) {
			r.receiveAppend(m)
		}
	case hsmessage.AppendReply:
		if r.accepts(m.Header) && r.follow(m.Header) {
			r.receiveAppendReply(m)
		}
	case hsmessage.SnapshotChunk:
		if r.acceptsLeader(m.Header) {
			r.receiveChunk(m)
		}
	case hsmessage.SnapshotReply:
		if r.accepts(m.Header) && r.follow(m.Header) {
			r.receiveSnapshotReply(m)
		}
	case hsmessage.TransferLeadership:
		if r.accepts(m.Header) && m.Term == r.hard.Term && r.role == Follower && r.isVoter() && !r.diskStuck() {
			r.campaign(true)
		}
	}
}

// Wake acts on the passing of time. It is called at NextWake; calling it earlier does no harm.
func (r *Replica) Wake() {
	now := r.ports.Clock.Now()
	if r.role == Leader {
		r.wakeLeader(now)
		return
	}
	if now.Before(r.electionAt) {
		return
	}
	r.resetElection()
	if r.mayCampaign() && !r.diskStuck() {
		r.preCampaign()
	}
}

// NextWake returns when Wake is wanted next.
func (r *Replica) NextWake() time.Time {
	if r.role == Leader {
		return r.heartbeatAt
	}
	return r.electionAt
}

// Propose appends a command to the log of a leader. The entry is committed only once it is applied.
func (r *Replica) Propose(c hsstate.Command) (hsid.LogIndex, error) {
	if !r.Leading() {
		return 0, ErrNotLeader
	}
	if c.Members != nil {
		if err := r.checkMembers(c.Members.Members); err != nil {
			return 0, err
		}
	}
	return r.appendOwn(c), nil
}

// Flush starts the save of what is new and sends it to the other replicas.
func (r *Replica) Flush() {
	r.startSave()
	if r.role == Leader {
		r.sendAppends()
	}
}

// ID returns the replica's identifier.
func (r *Replica) ID() hsid.ReplicaID { return r.config.ID }

// Term returns the current term.
func (r *Replica) Term() hsid.Term { return r.hard.Term }

// Role returns the part the replica plays in its term. A leader acts only while Leading.
func (r *Replica) Role() Role { return r.role }

// RoleName returns the role in words.
func (r *Replica) RoleName() string { return string(r.role) }

// Commit returns the index of the last entry known to be committed.
func (r *Replica) Commit() hsid.LogIndex { return r.commit }

// Last returns the index of the last entry of the log.
func (r *Replica) Last() hsid.LogIndex { return r.log.last() }

// LogLength returns the number of entries held since the last compaction.
func (r *Replica) LogLength() int { return len(r.log.entries) }

// Members returns the members in use. The caller doesn't change them.
func (r *Replica) Members() []hsstate.Member { return r.members }

// Cluster returns the cluster that the replica belongs to; empty for a newcomer.
func (r *Replica) Cluster() hsid.ClusterID { return r.cluster }

// LeaderAddress returns where the leader of this term takes messages; empty when unknown.
func (r *Replica) LeaderAddress() hsstate.Peer {
	if r.role == Leader {
		return r.config.Address
	}
	return r.leaderAddr
}

// Clock returns the cluster time: that of the newest entry, and while leading the time since.
func (r *Replica) Clock() time.Duration {
	if r.role != Leader {
		return r.log.clock()
	}
	return r.baseClock + r.ports.Clock.Now().Sub(r.ledSince)
}

func (r *Replica) accepts(h hsmessage.Header) bool {
	return h.Cluster == r.cluster && h.To == r.config.ID
}

// acceptsLeader also lets a newcomer take the cluster of its first leader, and checks the term.
func (r *Replica) acceptsLeader(h hsmessage.Header) bool {
	if h.To != r.config.ID {
		return false
	}
	if r.cluster != "" && h.Cluster != r.cluster {
		return false
	}
	if h.Term < r.hard.Term {
		r.send(h.Address, hsmessage.AppendReply{Header: r.header(h.From)})
		return false
	}
	r.cluster = h.Cluster
	r.becomeFollower(h.Term, h.From, h.Address)
	r.lastHeard = r.ports.Clock.Now()
	r.resetElection()
	return true
}

// follow takes over a newer term and reports whether the message is of the current one.
func (r *Replica) follow(h hsmessage.Header) bool {
	if h.Term > r.hard.Term {
		r.becomeFollower(h.Term, 0, "")
	}
	return h.Term == r.hard.Term
}

func (r *Replica) header(to hsid.ReplicaID) hsmessage.Header {
	return hsmessage.Header{
		Cluster: r.cluster,
		From:    r.config.ID,
		Address: r.config.Address,
		To:      to,
		Term:    r.hard.Term,
	}
}

func (r *Replica) send(to hsstate.Peer, m hsmessage.Message) {
	r.ports.Sender.Send(to, m)
}

func (r *Replica) becomeFollower(t hsid.Term, leader hsid.ReplicaID, address hsstate.Peer) {
	if t > r.hard.Term {
		r.hard = HardState{Term: t}
		r.disk.dirtyHard = true
		r.verified = 0
		r.disk.waiting = nil
	}
	if r.role == Leader {
		r.resetElection()
	}
	r.role = Follower
	r.peers = nil
	r.votes = nil
	r.leader = leader
	r.leaderAddr = address
}

func (r *Replica) resetElection() {
	spread := r.ports.Random.Int64N(int64(r.config.Election))
	r.electionAt = r.ports.Clock.Now().Add(r.config.Election + time.Duration(spread))
}

func (r *Replica) isVoter() bool {
	i := hsstate.MemberIndex(r.members, r.config.ID)
	return i >= 0 && r.members[i].Voter
}

// mayCampaign also lets a voter campaign that an uncommitted change removes: it may hold the only log that
// the others' votes can commit.
func (r *Replica) mayCampaign() bool {
	if r.isVoter() {
		return true
	}
	if !r.Changing() {
		return false
	}
	_, before := r.membersAt(r.configIndex - 1)
	i := hsstate.MemberIndex(before, r.config.ID)
	return i >= 0 && before[i].Voter
}

func (r *Replica) quorum() int {
	return len(hsstate.Voters(r.members))/2 + 1
}

func (r *Replica) useMembers(c hsid.ClusterID, members []hsstate.Member, at hsid.LogIndex) {
	if c != "" {
		r.cluster = c
	}
	r.members = slices.Clone(members)
	r.configIndex = at
	if r.role == Leader {
		r.syncPeers()
	}
}
