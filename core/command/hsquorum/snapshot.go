package hsquorum

import (
	"fmt"

	"hyssopseam/core/hsid"
	"hyssopseam/core/hsmessage"
	"hyssopseam/core/hsstate"
)

// snapshotID identifies the bytes of a snapshot that is being received. Snapshots of two replicas at the same index differ in
// their bytes, as the state is encoded in no fixed order; the leader of one term sends only one snapshot of an index.
type snapshotID struct {
	leaderTerm hsid.Term
	lastIndex  hsid.LogIndex
	lastTerm   hsid.Term
	total      hsid.Bytes
}

// partialSnapshot is the part of the leader's snapshot that this replica has received so far.
type partialSnapshot struct {
	id   snapshotID
	data []byte
}

func entryCount(entries []hsstate.Entry) hsid.LogIndex {
	return hsid.LogIndex(len(entries))
}

// compactLog takes a snapshot and compacts the log once enough entries were applied since the last snapshot. It waits
// while a snapshot is still to be handed to the storage.
func (r *Replica) compactLog() {
	applied := int(r.appliedIndex - r.snapshot.Index)
	due := applied >= r.config.SnapshotEntries || applied > 0 && r.bytesSinceSnapshot >= r.config.SnapshotBytes
	if !due || r.disk.pendingSnapshot != nil {
		return
	}
	r.bytesSinceSnapshot = 0
	e := r.log.entry(r.appliedIndex)
	cluster, members := r.membersAt(r.appliedIndex)
	r.snapshot = Snapshot{
		Index:   e.Index,
		Term:    e.Term,
		Clock:   e.Clock,
		Cluster: cluster,
		Members: members,
		Data:    r.ports.StateMachine.Snapshot(),
	}
	if keep := r.retainedEntries(); r.appliedIndex > r.log.baseIndex+keep {
		r.log.compact(r.appliedIndex - keep)
	}
	pending := r.snapshot
	r.disk.pendingSnapshot = &pending
}

// retainedEntries returns how many applied entries compaction keeps: at most RetainEntries, and at most half of
// SnapshotBytes.
func (r *Replica) retainedEntries() hsid.LogIndex {
	var keep hsid.LogIndex
	var size hsid.Bytes
	for i := r.appliedIndex; i > r.log.baseIndex && keep < hsid.LogIndex(r.config.RetainEntries); i-- {
		size += r.log.size(i)
		if size > r.config.SnapshotBytes/2 {
			break
		}
		keep++
	}
	return keep
}

// membersAt returns the cluster and members as of index i, which may precede the latest configuration change.
func (r *Replica) membersAt(i hsid.LogIndex) (hsid.ClusterID, []hsstate.Member) {
	cluster, members := r.snapshot.Cluster, r.snapshot.Members
	for k := range r.log.entries {
		e := &r.log.entries[k]
		if m := e.Command.Members; m != nil && e.Index <= i && e.Index > r.snapshot.Index {
			cluster, members = m.Cluster, m.Members
		}
	}
	return cluster, members
}

// sendSnapshotChunk sends the next chunk of the current snapshot, from the start when a newer one was taken.
func (r *Replica) sendSnapshotChunk(id hsid.ReplicaID, p *progress) {
	if p.snapshotIndex != r.snapshot.Index {
		p.snapshotIndex = r.snapshot.Index
		p.snapshotOffset = 0
	}
	total := hsid.Bytes(len(r.snapshot.Data))
	end := min(p.snapshotOffset+r.config.SnapshotChunkBytes, total)
	p.awaitingReply = true
	p.payloadEnd = 0
	r.send(p.address, hsmessage.SnapshotChunk{
		Header:    r.header(id),
		Round:     p.payloadRound,
		LastIndex: r.snapshot.Index,
		LastTerm:  r.snapshot.Term,
		Clock:     r.snapshot.Clock,
		Members:   r.snapshot.Members,
		Offset:    p.snapshotOffset,
		Total:     total,
		Data:      r.snapshot.Data[p.snapshotOffset:end],
	})
}

// receiveSnapshotChunk collects the chunks of a snapshot and installs it when it is complete. A snapshot that is
// already covered by the commit index, or whose last entry is in the log, is acknowledged like an append request:
// installing it would drop the entries after it, which this replica may have acknowledged.
func (r *Replica) receiveSnapshotChunk(m hsmessage.SnapshotChunk) {
	if t, ok := r.log.term(m.LastIndex); ok && t == m.LastTerm && m.LastIndex > r.commitIndex {
		r.verifiedIndex = max(r.verifiedIndex, m.LastIndex)
		r.commitIndex = m.LastIndex
		r.applyCommitted()
	}
	if m.LastIndex <= r.commitIndex {
		r.verifiedIndex = max(r.verifiedIndex, min(m.LastIndex, r.log.lastIndex()))
		r.send(m.Address, hsmessage.AppendReply{
			Header: r.header(m.From),
			Round:  m.Round,
			OK:     true,
			Match:  min(r.disk.syncedIndex, r.verifiedIndex),
		})
		return
	}
	id := snapshotID{leaderTerm: m.Term, lastIndex: m.LastIndex, lastTerm: m.LastTerm, total: m.Total}
	if r.partial.id != id {
		r.partial = partialSnapshot{id: id}
	}
	if m.Offset == hsid.Bytes(len(r.partial.data)) {
		r.partial.data = append(r.partial.data, m.Data...)
	}
	received := hsid.Bytes(len(r.partial.data))
	if received == m.Total {
		r.installSnapshot(m)
		r.partial = partialSnapshot{}
	}
	r.send(m.Address, hsmessage.SnapshotReply{
		Header:    r.header(m.From),
		Round:     m.Round,
		LastIndex: m.LastIndex,
		Offset:    received,
	})
}

// installSnapshot replaces the state and the log by the completed snapshot. It panics when the state machine can't
// restore it.
func (r *Replica) installSnapshot(m hsmessage.SnapshotChunk) {
	if err := r.ports.StateMachine.Restore(r.partial.data); err != nil {
		panic(fmt.Sprintf("hsquorum: restore the leader's snapshot at index %d: %v", m.LastIndex, err))
	}
	r.snapshot = Snapshot{
		Index:   m.LastIndex,
		Term:    m.LastTerm,
		Clock:   m.Clock,
		Cluster: r.cluster,
		Members: m.Members,
		Data:    r.partial.data,
	}
	r.log.reset(m.LastIndex, m.LastTerm, m.Clock)
	r.disk.submittedIndex = m.LastIndex
	r.disk.syncedIndex = 0
	r.disk.inFlightIndex = 0
	r.commitIndex = m.LastIndex
	r.appliedIndex = m.LastIndex
	r.verifiedIndex = m.LastIndex
	r.bytesSinceSnapshot = 0
	r.setMembers(r.cluster, m.Members, m.LastIndex)
	pending := r.snapshot
	r.disk.pendingSnapshot = &pending
}

// receiveSnapshotReply sends the next chunk, or the entries after the snapshot once the replica has all of it. It
// ignores replies for a snapshot that is no longer the current one, and positions outside of it.
func (r *Replica) receiveSnapshotReply(m hsmessage.SnapshotReply) {
	p := r.peers[m.From]
	if r.role != Leader || p == nil {
		return
	}
	p.recordReply(m.Round)
	if m.LastIndex != r.snapshot.Index || m.LastIndex != p.snapshotIndex {
		return
	}
	total := hsid.Bytes(len(r.snapshot.Data))
	if m.Offset < 0 || m.Offset > total || m.Offset == p.snapshotOffset && m.Offset < total {
		return
	}
	p.snapshotOffset = m.Offset
	p.awaitingReply = false
	if p.snapshotOffset == total {
		p.nextIndex = m.LastIndex + 1
	}
	r.replicateTo(m.From, p)
}
