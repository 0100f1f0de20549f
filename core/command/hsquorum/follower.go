package hsquorum

import "hyssopseam/core/hsmessage"

// receiveAppend appends the leader's entries, advances the commit index and replies with the match index. It
// truncates entries that conflict with the leader's.
func (r *Replica) receiveAppend(m hsmessage.AppendRequest) {
	reply := hsmessage.AppendReply{Header: r.header(m.From), Round: m.Round}
	if m.PrevIndex < r.log.baseIndex {
		// The snapshot covers the start of the request. Entries up to it are committed, so they match the leader's.
		reply.OK = true
		reply.Match = min(r.log.baseIndex, r.disk.syncedIndex)
		r.verifiedIndex = max(r.verifiedIndex, r.log.baseIndex)
		r.send(m.Address, reply)
		return
	}
	if t, ok := r.log.term(m.PrevIndex); !ok || t != m.PrevTerm {
		reply.Match = r.log.lastIndex()
		if ok {
			// The logs diverge, but not before the commit index.
			reply.Match = r.commitIndex
		}
		r.send(m.Address, reply)
		return
	}
	for _, e := range m.Entries {
		t, ok := r.log.term(e.Index)
		if ok && t == e.Term {
			continue
		}
		if ok {
			r.truncateLog(e.Index)
		}
		r.appendEntry(e)
	}
	r.verifiedIndex = max(r.verifiedIndex, m.PrevIndex+entryCount(m.Entries))
	r.commitIndex = max(r.commitIndex, min(m.Commit, r.verifiedIndex))
	r.applyCommitted()
	reply.OK = true
	reply.Match = min(r.disk.syncedIndex, r.verifiedIndex)
	r.send(m.Address, reply)
}

// acknowledge reports the match index to the leader after a save, without waiting for its next request.
func (r *Replica) acknowledge() {
	if r.leaderAddress == "" || r.verifiedIndex == 0 {
		return
	}
	r.send(r.leaderAddress, hsmessage.AppendReply{
		Header: r.header(r.leaderID),
		OK:     true,
		Match:  min(r.disk.syncedIndex, r.verifiedIndex),
	})
}
