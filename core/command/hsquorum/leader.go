package hsquorum

import (
	"slices"
	"time"

	"hyssopseam/core/hsid"
	"hyssopseam/core/hsmessage"
	"hyssopseam/core/hsstate"
)

// progress is what a leader knows about another replica.
type progress struct {
	address hsstate.Peer
	match   hsid.LogIndex
	next    hsid.LogIndex
	// busy is set while entries are on their way; the next heartbeat clears it.
	busy bool
	// rounds are the unanswered rounds, oldest first.
	rounds []sentRound
	// added is when this leader began to send to the replica.
	added time.Time
	// acked is when the newest answered round was sent.
	acked time.Time
	// offset is the part of the snapshot that the replica holds.
	offset        hsid.Bytes
	snapshotIndex hsid.LogIndex
}

type sentRound struct {
	round hsid.Sequence
	sent  time.Time
}

func (r *Replica) becomeLeader() {
	now := r.ports.Clock.Now()
	r.role = Leader
	r.leader = r.config.ID
	r.transfer = false
	r.baseClock = r.log.clock()
	r.ledSince = now
	r.peers = map[hsid.ReplicaID]*progress{}
	r.syncPeers()
	r.termStart = r.appendOwn(hsstate.Command{})
	r.heartbeat(now)
}

// syncPeers makes the progress table match the members.
func (r *Replica) syncPeers() {
	for _, m := range r.members {
		if m.ID == r.config.ID || r.peers[m.ID] != nil {
			continue
		}
		r.peers[m.ID] = &progress{address: m.Address, next: r.log.last() + 1, added: r.ports.Clock.Now()}
	}
	for id := range r.peers {
		if hsstate.MemberIndex(r.members, id) < 0 {
			delete(r.peers, id)
		}
	}
}

func (r *Replica) wakeLeader(now time.Time) {
	if now.Sub(r.quorumAcked(now)) > 2*r.config.Election && now.Sub(r.ledSince) > 2*r.config.Election {
		r.becomeFollower(r.hard.Term, 0, "")
		return
	}
	if now.Before(r.heartbeatAt) {
		return
	}
	if r.diskStuck() && r.HandOver() {
		return
	}
	r.heartbeat(now)
}

func (r *Replica) heartbeat(now time.Time) {
	r.heartbeatAt = now.Add(r.config.Heartbeat)
	for _, m := range r.members {
		if p := r.peers[m.ID]; p != nil {
			p.busy = false
			r.sendTo(m.ID, p)
		}
	}
}

// sendAppends sends new entries to the replicas that wait for nothing else.
func (r *Replica) sendAppends() {
	for _, m := range r.members {
		p := r.peers[m.ID]
		if p == nil || p.busy || p.next > r.log.last() {
			continue
		}
		r.sendTo(m.ID, p)
	}
}

func (r *Replica) sendTo(id hsid.ReplicaID, p *progress) {
	r.round++
	p.rounds = append(p.rounds, sentRound{round: r.round, sent: r.ports.Clock.Now()})
	if p.next <= r.log.base {
		r.sendChunk(id, p)
		return
	}
	prev, _ := r.log.term(p.next - 1)
	m := hsmessage.AppendRequest{
		Header:    r.header(id),
		Round:     r.round,
		PrevIndex: p.next - 1,
		PrevTerm:  prev,
		Commit:    r.commit,
		Entries:   r.log.from(p.next, r.config.MaxBatch),
	}
	p.busy = len(m.Entries) > 0
	r.send(p.address, m)
}

func (r *Replica) receiveAppendReply(m hsmessage.AppendReply) {
	p := r.peers[m.From]
	if r.role != Leader || p == nil {
		return
	}
	p.answered(m.Round)
	if !m.OK {
		p.busy = false
		p.next = max(p.match+1, min(m.Match+1, r.log.last()+1))
		r.sendTo(m.From, p)
		return
	}
	p.match = max(p.match, m.Match)
	if p.match >= p.next {
		p.next = p.match + 1
		p.busy = false
	}
	r.advanceCommit()
	r.applyCommitted()
	if r.role == Leader && !p.busy && p.next <= r.log.last() {
		r.sendTo(m.From, p)
	}
}

// answered notes the send time of the newest answered round.
func (p *progress) answered(round hsid.Sequence) {
	for len(p.rounds) > 0 && p.rounds[0].round <= round {
		if p.rounds[0].round == round {
			p.acked = p.rounds[0].sent
		}
		p.rounds = p.rounds[1:]
	}
}

// advanceCommit commits what a quorum has synced. Only entries of this term are counted.
func (r *Replica) advanceCommit() {
	if r.role != Leader {
		return
	}
	var synced []hsid.LogIndex
	for _, m := range hsstate.Voters(r.members) {
		switch p := r.peers[m.ID]; {
		case m.ID == r.config.ID:
			synced = append(synced, r.disk.synced)
		case p != nil:
			synced = append(synced, p.match)
		}
	}
	if len(synced) < r.quorum() {
		return
	}
	slices.Sort(synced)
	index := synced[len(synced)-r.quorum()]
	if t, ok := r.log.term(index); !ok || t != r.hard.Term || index <= r.commit {
		return
	}
	r.commit = index
}

// quorumAcked returns the newest time at which a quorum is known to have followed this leader.
func (r *Replica) quorumAcked(now time.Time) time.Time {
	var acked []time.Time
	for _, m := range hsstate.Voters(r.members) {
		switch p := r.peers[m.ID]; {
		case m.ID == r.config.ID:
			acked = append(acked, now)
		case p != nil:
			acked = append(acked, p.acked)
		}
	}
	if len(acked) < r.quorum() {
		return time.Time{}
	}
	slices.SortFunc(acked, time.Time.Compare)
	return acked[len(acked)-r.quorum()]
}

// Leading reports whether this replica may grant, answer and read as the leader.
func (r *Replica) Leading() bool {
	if r.role != Leader || r.applied < r.termStart {
		return false
	}
	now := r.ports.Clock.Now()
	return now.Before(r.leaseEnd(now))
}

func (r *Replica) leaseEnd(now time.Time) time.Time {
	return r.quorumAcked(now).Add(r.config.Election * leaseShare / 100)
}

// HandOver gives up leadership to the voter that is furthest along, and reports whether there was
// one. This replica stops leading before the other is told.
func (r *Replica) HandOver() bool {
	if r.role != Leader {
		return false
	}
	var best *progress
	var to hsid.ReplicaID
	for _, m := range hsstate.Voters(r.members) {
		p := r.peers[m.ID]
		if p != nil && p.match >= r.commit && (best == nil || p.match > best.match) {
			best = p
			to = m.ID
		}
	}
	if best == nil {
		return false
	}
	m := hsmessage.TransferLeadership{Header: r.header(to)}
	address := best.address
	r.becomeFollower(r.hard.Term, 0, "")
	r.send(address, m)
	return true
}
