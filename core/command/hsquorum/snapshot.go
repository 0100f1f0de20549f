package hsquorum

import (
	"fmt"

	"hyssopseam/core/hsid"
	"hyssopseam/core/hsmessage"
	"hyssopseam/core/hsstate"
)

// partialSnapshot is a snapshot under way to this replica.
type partialSnapshot struct {
	index hsid.LogIndex
	term  hsid.Term
	data  []byte
}

func lengthOf(entries []hsstate.Entry) hsid.LogIndex {
	return hsid.LogIndex(len(entries))
}

// compactLog takes a snapshot once enough entries were applied since the last one.
func (r *Replica) compactLog() {
	enough := int(r.applied-r.snapshot.Index) >= r.config.SnapshotEvery || r.appliedBytes >= r.config.SnapshotBytes
	if !enough || r.disk.pending != nil {
		return
	}
	r.appliedBytes = 0
	e := r.log.at(r.applied)
	cluster, members := r.membersAt(r.applied)
	r.snapshot = Snapshot{
		Index:   e.Index,
		Term:    e.Term,
		Clock:   e.Clock,
		Cluster: cluster,
		Members: members,
		Data:    r.ports.Machine.Snapshot(),
	}
	if keep := r.retained(); r.applied > r.log.base+keep {
		r.log.compact(r.applied - keep)
	}
	pending := r.snapshot
	r.disk.pending = &pending
}

// retained returns how many applied entries stay in the log.
func (r *Replica) retained() hsid.LogIndex {
	var keep hsid.LogIndex
	var size hsid.Bytes
	for i := r.applied; i > r.log.base && keep < hsid.LogIndex(r.config.Retain); i-- {
		size += r.log.at(i).Command.Size()
		if size > r.config.SnapshotBytes/2 {
			break
		}
		keep++
	}
	return keep
}

// membersAt returns the members in use at an applied index, which may be older than the newest.
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

func (r *Replica) sendChunk(id hsid.ReplicaID, p *progress) {
	if p.snapshotIndex != r.snapshot.Index {
		p.snapshotIndex = r.snapshot.Index
		p.offset = 0
	}
	total := hsid.Bytes(len(r.snapshot.Data))
	end := min(p.offset+r.config.Chunk, total)
	p.busy = true
	r.send(p.address, hsmessage.SnapshotChunk{
		Header:  r.header(id),
		Round:   r.round,
		Index:   r.snapshot.Index,
		At:      r.snapshot.Term,
		Clock:   r.snapshot.Clock,
		Members: r.snapshot.Members,
		Offset:  p.offset,
		Total:   total,
		Data:    r.snapshot.Data[p.offset:end],
	})
}

func (r *Replica) receiveChunk(m hsmessage.SnapshotChunk) {
	if m.Index <= r.commit {
		r.verified = max(r.verified, min(m.Index, r.log.last()))
		r.send(m.Address, hsmessage.AppendReply{
			Header: r.header(m.From),
			Round:  m.Round,
			OK:     true,
			Match:  min(r.disk.synced, r.verified),
		})
		return
	}
	if r.partial.index != m.Index || r.partial.term != m.At {
		r.partial = partialSnapshot{index: m.Index, term: m.At}
	}
	if m.Offset == hsid.Bytes(len(r.partial.data)) {
		r.partial.data = append(r.partial.data, m.Data...)
	}
	if hsid.Bytes(len(r.partial.data)) == m.Total {
		r.install(m)
	}
	r.send(m.Address, hsmessage.SnapshotReply{
		Header: r.header(m.From),
		Round:  m.Round,
		Index:  m.Index,
		Offset: hsid.Bytes(len(r.partial.data)),
	})
}

// install replaces the state and the log by a whole snapshot.
func (r *Replica) install(m hsmessage.SnapshotChunk) {
	if err := r.ports.Machine.Restore(r.partial.data); err != nil {
		panic(fmt.Sprintf("hsquorum: the leader's snapshot at %d can't be read: %v", m.Index, err))
	}
	r.snapshot = Snapshot{
		Index:   m.Index,
		Term:    m.At,
		Clock:   m.Clock,
		Cluster: r.cluster,
		Members: m.Members,
		Data:    r.partial.data,
	}
	r.log.reset(m.Index, m.At, m.Clock)
	r.disk.saved = m.Index
	r.disk.synced = 0
	r.disk.flying = 0
	r.commit = m.Index
	r.applied = m.Index
	r.verified = m.Index
	r.useMembers(r.cluster, m.Members, m.Index)
	pending := r.snapshot
	r.disk.pending = &pending
}

func (r *Replica) receiveSnapshotReply(m hsmessage.SnapshotReply) {
	p := r.peers[m.From]
	if r.role != Leader || p == nil {
		return
	}
	p.answered(m.Round)
	if m.Index != r.snapshot.Index || m.Index != p.snapshotIndex {
		return
	}
	if m.Offset == p.offset && m.Offset < hsid.Bytes(len(r.snapshot.Data)) {
		return
	}
	p.offset = m.Offset
	p.busy = false
	if p.offset == hsid.Bytes(len(r.snapshot.Data)) {
		p.next = m.Index + 1
	}
	r.sendTo(m.From, p)
}
