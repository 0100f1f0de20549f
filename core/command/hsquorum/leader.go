package hsquorum

import (
	"slices"
	"time"

	"hyssopseam/core/hsid"
	"hyssopseam/core/hsmessage"
	"hyssopseam/core/hsstate"
)

// progress is a leader's view of the log of another replica.
type progress struct {
	address    hsstate.Peer
	matchIndex hsid.LogIndex
	nextIndex  hsid.LogIndex
	// awaitingReply is set while entries or a snapshot chunk are unacknowledged. They were sent in payloadRound; payloadEnd is
	// the index of the last of the entries, or 0 for a chunk.
	awaitingReply bool
	payloadRound  hsid.Sequence
	payloadEnd    hsid.LogIndex
	// unanswered are the rounds without a reply, oldest first.
	unanswered []sentRound
	// addedAt is when this leader began to send to the replica.
	addedAt time.Time
	// ackedSentAt is when the latest answered round was sent.
	ackedSentAt time.Time
	// snapshotOffset is how much of the snapshot at snapshotIndex the replica has received.
	snapshotOffset hsid.Bytes
	snapshotIndex  hsid.LogIndex
}

// sentRound is a request to a replica, identified by its round number.
type sentRound struct {
	round  hsid.Sequence
	sentAt time.Time
}

// maxUnanswered is the number of unanswered rounds of a replica that are remembered. A reply to an earlier one says nothing about
// the present.
const maxUnanswered = 256

// becomeLeader appends an empty entry of the new term and sends it to all members with the first heartbeat.
func (r *Replica) becomeLeader() {
	now := r.ports.Clock.Now()
	r.role = Leader
	r.leaderID = r.config.ID
	r.leadershipTransfer = false
	r.clockWhenElected = r.log.lastClock()
	r.electedAt = now
	r.peers = map[hsid.ReplicaID]*progress{}
	r.updatePeers()
	// An empty entry is never too large.
	r.termStartIndex, _ = r.appendCommand(hsstate.Command{})
	r.sendHeartbeats(now)
}

// updatePeers adds and removes progress records so that there is one for each other member.
func (r *Replica) updatePeers() {
	for _, m := range r.members {
		if m.ID == r.config.ID || r.peers[m.ID] != nil {
			continue
		}
		r.peers[m.ID] = &progress{address: m.Address, nextIndex: r.log.lastIndex() + 1, addedAt: r.ports.Clock.Now()}
	}
	for id := range r.peers {
		if hsstate.MemberIndex(r.members, id) < 0 {
			delete(r.peers, id)
		}
	}
}

// wakeLeader steps down when no quorum has answered for two election timeouts, transfers leadership when the disk
// is stuck, and sends heartbeats when they are due.
func (r *Replica) wakeLeader(now time.Time) {
	if now.Sub(r.quorumAckedAt(now)) > 2*r.config.ElectionTimeout && now.Sub(r.electedAt) > 2*r.config.ElectionTimeout {
		r.becomeFollower(r.hardState.Term, 0, "")
		return
	}
	if now.Before(r.nextHeartbeat) {
		return
	}
	if r.diskStuck() && r.TransferLeadership() {
		return
	}
	r.sendHeartbeats(now)
}

// sendHeartbeats sends the next request to every other member. Those that haven't acknowledged the last one are probed.
func (r *Replica) sendHeartbeats(now time.Time) {
	r.nextHeartbeat = now.Add(r.config.HeartbeatInterval)
	for _, m := range r.members {
		p := r.peers[m.ID]
		switch {
		case p == nil:
		case p.awaitingReply:
			r.probe(m.ID, p)
		default:
			r.replicateTo(m.ID, p)
		}
	}
}

// probe sends a heartbeat to a replica that hasn't acknowledged the last entries or snapshot chunk. It doesn't carry them
// again, as a replica that is slow to handle them would get ever more of them to handle. The reply shows whether they arrived:
// the log matches at the last entry, or the chunk was answered before.
func (r *Replica) probe(id hsid.ReplicaID, p *progress) {
	if p.payloadEnd > 0 && p.payloadEnd < r.log.baseIndex {
		p.awaitingReply = false
		r.replicateTo(id, p)
		return
	}
	var prev hsid.Term
	if p.payloadEnd > 0 {
		prev, _ = r.log.term(p.payloadEnd)
	}
	r.send(p.address, hsmessage.AppendRequest{
		Header:    r.header(id),
		Round:     r.nextRound(p),
		PrevIndex: p.payloadEnd,
		PrevTerm:  prev,
		Commit:    r.commitIndex,
	})
}

// nextRound returns the number of the next request to a replica, and records when it is sent.
func (r *Replica) nextRound(p *progress) hsid.Sequence {
	r.lastRound++
	if len(p.unanswered) == maxUnanswered {
		p.unanswered = slices.Delete(p.unanswered, 0, 1)
	}
	p.unanswered = append(p.unanswered, sentRound{round: r.lastRound, sentAt: r.ports.Clock.Now()})
	return r.lastRound
}

// sendAppends sends new entries to the replicas that have answered the last ones.
func (r *Replica) sendAppends() {
	for _, m := range r.members {
		p := r.peers[m.ID]
		if p == nil || p.awaitingReply || p.nextIndex > r.log.lastIndex() {
			continue
		}
		r.replicateTo(m.ID, p)
	}
}

// replicateTo sends the entries from the replica's next index on, or the next snapshot chunk when the log no longer
// holds them.
func (r *Replica) replicateTo(id hsid.ReplicaID, p *progress) {
	round := r.nextRound(p)
	p.payloadRound = round
	if p.nextIndex <= r.log.baseIndex {
		r.sendSnapshotChunk(id, p)
		return
	}
	prev, _ := r.log.term(p.nextIndex - 1)
	m := hsmessage.AppendRequest{
		Header:    r.header(id),
		Round:     round,
		PrevIndex: p.nextIndex - 1,
		PrevTerm:  prev,
		Commit:    r.commitIndex,
		Entries:   r.log.entriesFrom(p.nextIndex, r.config.MaxBatch),
	}
	p.awaitingReply = len(m.Entries) > 0
	p.payloadEnd = p.nextIndex - 1 + entryCount(m.Entries)
	r.send(p.address, m)
}

// receiveAppendReply updates the replica's progress and the commit index, and sends the entries that the replica
// doesn't have yet. When the logs didn't match, it retries from the index that the replica suggests.
func (r *Replica) receiveAppendReply(m hsmessage.AppendReply) {
	p := r.peers[m.From]
	if r.role != Leader || p == nil {
		return
	}
	p.recordReply(m.Round)
	if !m.OK {
		if p.awaitingReply && m.Round < p.payloadRound {
			// Newer entries, from an index that an earlier reply suggested, are under way.
			return
		}
		p.awaitingReply = false
		p.nextIndex = max(p.matchIndex+1, min(m.Match+1, r.log.lastIndex()+1))
		r.replicateTo(m.From, p)
		return
	}
	p.matchIndex = max(p.matchIndex, m.Match)
	if p.matchIndex >= p.nextIndex {
		p.nextIndex = p.matchIndex + 1
		p.awaitingReply = false
	}
	if p.payloadEnd == 0 && m.Round > p.payloadRound {
		// A later request was answered, so the snapshot chunk or the reply to it was lost.
		p.awaitingReply = false
	}
	r.advanceCommit()
	r.applyCommitted()
	if r.role == Leader && !p.awaitingReply && p.nextIndex <= r.log.lastIndex() {
		r.replicateTo(m.From, p)
	}
}

// recordReply records the send time of an answered round and drops the rounds up to it. Replies to dropped rounds and
// unsolicited ones, with round 0, have no effect.
func (p *progress) recordReply(round hsid.Sequence) {
	for len(p.unanswered) > 0 && p.unanswered[0].round <= round {
		if p.unanswered[0].round == round {
			p.ackedSentAt = p.unanswered[0].sentAt
		}
		p.unanswered = p.unanswered[1:]
	}
}

// advanceCommit moves the commit index to the highest index that a quorum of voters has on disk, provided that the
// entry there is of the current term.
func (r *Replica) advanceCommit() {
	if r.role != Leader {
		return
	}
	var matchIndexes []hsid.LogIndex
	for _, m := range hsstate.Voters(r.members) {
		switch p := r.peers[m.ID]; {
		case m.ID == r.config.ID:
			matchIndexes = append(matchIndexes, r.disk.syncedIndex)
		case p != nil:
			matchIndexes = append(matchIndexes, p.matchIndex)
		}
	}
	if len(matchIndexes) < r.quorum() {
		return
	}
	slices.Sort(matchIndexes)
	index := matchIndexes[len(matchIndexes)-r.quorum()]
	if t, ok := r.log.term(index); !ok || t != r.hardState.Term || index <= r.commitIndex {
		return
	}
	r.commitIndex = index
}

// quorumAckedAt returns the latest time such that a quorum of voters has answered requests that this leader sent at
// that time or later. The leader itself counts with now. It returns the zero time when too few voters are known.
func (r *Replica) quorumAckedAt(now time.Time) time.Time {
	var ackTimes []time.Time
	for _, m := range hsstate.Voters(r.members) {
		switch p := r.peers[m.ID]; {
		case m.ID == r.config.ID:
			ackTimes = append(ackTimes, now)
		case p != nil:
			ackTimes = append(ackTimes, p.ackedSentAt)
		}
	}
	if len(ackTimes) < r.quorum() {
		return time.Time{}
	}
	slices.SortFunc(ackTimes, time.Time.Compare)
	return ackTimes[len(ackTimes)-r.quorum()]
}

// Leading reports whether this replica may act as the leader: it leads, has applied the first entry of its term, and
// its lease is valid.
func (r *Replica) Leading() bool {
	if r.role != Leader || r.appliedIndex < r.termStartIndex {
		return false
	}
	now := r.ports.Clock.Now()
	return now.Before(r.leaseEnd(now))
}

// leaseEnd returns when the leader lease expires unless further requests are answered.
func (r *Replica) leaseEnd(now time.Time) time.Time {
	return r.quorumAckedAt(now).Add(r.config.ElectionTimeout * leaderLeasePercent / 100)
}

// TransferLeadership transfers leadership to the voter with the highest match index among those that hold every
// committed entry, and reports whether there was one. This replica steps down before it sends the transfer message.
func (r *Replica) TransferLeadership() bool {
	if r.role != Leader {
		return false
	}
	var best *progress
	var bestID hsid.ReplicaID
	for _, m := range hsstate.Voters(r.members) {
		p := r.peers[m.ID]
		if p != nil && p.matchIndex >= r.commitIndex && (best == nil || p.matchIndex > best.matchIndex) {
			best = p
			bestID = m.ID
		}
	}
	if best == nil {
		return false
	}
	m := hsmessage.TransferLeadership{Header: r.header(bestID)}
	address := best.address
	r.becomeFollower(r.hardState.Term, 0, "")
	r.send(address, m)
	return true
}
