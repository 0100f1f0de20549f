package hsquorum

import "hyssopseam/core/hsmessage"

func (r *Replica) receiveAppend(m hsmessage.AppendRequest) {
	reply := hsmessage.AppendReply{Header: r.header(m.From), Round: m.Round}
	if m.PrevIndex < r.log.base {
		// The snapshot covers the start of the message; what it covers is committed and agrees.
		reply.OK = true
		reply.Match = min(r.log.base, r.disk.synced)
		r.verified = max(r.verified, r.log.base)
		r.send(m.Address, reply)
		return
	}
	if t, ok := r.log.term(m.PrevIndex); !ok || t != m.PrevTerm {
		reply.Match = r.log.last()
		if ok {
			// The logs part somewhere after what is committed.
			reply.Match = r.commit
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
			r.truncate(e.Index)
		}
		r.appendEntry(e)
	}
	r.verified = max(r.verified, m.PrevIndex+lengthOf(m.Entries))
	r.commit = max(r.commit, min(m.Commit, r.verified))
	r.applyCommitted()
	reply.OK = true
	reply.Match = min(r.disk.synced, r.verified)
	r.send(m.Address, reply)
}

// acknowledge tells the leader what has been synced since its last message.
func (r *Replica) acknowledge() {
	if r.leaderAddr == "" || r.verified == 0 {
		return
	}
	r.send(r.leaderAddr, hsmessage.AppendReply{
		Header: r.header(r.leader),
		OK:     true,
		Match:  min(r.disk.synced, r.verified),
	})
}
