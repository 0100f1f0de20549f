package hsquorum

import (
	"hyssopseam/core/hsid"
	"hyssopseam/core/hsmessage"
	"hyssopseam/core/hsstate"
)

// preCampaign asks whether an election could be won, without disturbing anybody.
func (r *Replica) preCampaign() {
	r.role = Candidate
	r.preVote = true
	r.leader = 0
	r.leaderAddr = ""
	r.votes = map[hsid.ReplicaID]bool{}
	r.requestVotes()
	r.countVote(r.config.ID)
}

// campaign starts an election. With transfer the last leader has stepped down and asked for it.
func (r *Replica) campaign(transfer bool) {
	r.role = Candidate
	r.preVote = false
	r.transfer = transfer
	r.leader = 0
	r.leaderAddr = ""
	r.hard = HardState{Term: r.hard.Term + 1, Vote: r.config.ID}
	r.disk.dirtyHard = true
	r.disk.waiting = nil
	r.verified = 0
	r.votes = map[hsid.ReplicaID]bool{}
	r.resetElection()
	r.requestVotes()
}

func (r *Replica) requestVotes() {
	for _, m := range hsstate.Voters(r.members) {
		if m.ID == r.config.ID {
			continue
		}
		q := hsmessage.VoteRequest{
			Header:    r.header(m.ID),
			Pre:       r.preVote,
			Transfer:  r.transfer && !r.preVote,
			LastIndex: r.log.last(),
			LastTerm:  r.log.lastTerm(),
		}
		if r.preVote {
			r.send(m.Address, q)
			continue
		}
		r.hold(m.Address, q)
	}
}

func (r *Replica) receiveVoteRequest(m hsmessage.VoteRequest) {
	now := r.ports.Clock.Now()
	heard := now.Sub(r.lastHeard) < r.config.Election || r.Leading()
	if heard && !m.Transfer {
		return
	}
	current := m.LastTerm > r.log.lastTerm() ||
		m.LastTerm == r.log.lastTerm() && m.LastIndex >= r.log.last()
	if m.Pre {
		reply := hsmessage.VoteReply{Header: r.header(m.From), Pre: true}
		reply.Granted = current && m.Term >= r.hard.Term
		r.send(m.Address, reply)
		return
	}
	if m.Term < r.hard.Term {
		r.send(m.Address, hsmessage.VoteReply{Header: r.header(m.From)})
		return
	}
	if m.Term > r.hard.Term {
		r.becomeFollower(m.Term, 0, "")
	}
	free := r.hard.Vote == 0 || r.hard.Vote == m.From
	granted := current && free && r.role == Follower
	if granted && r.hard.Vote == 0 {
		r.hard.Vote = m.From
		r.disk.dirtyHard = true
	}
	if granted {
		r.resetElection()
	}
	r.hold(m.Address, hsmessage.VoteReply{Header: r.header(m.From), Granted: granted})
}

func (r *Replica) receiveVoteReply(m hsmessage.VoteReply) {
	if m.Term > r.hard.Term {
		r.becomeFollower(m.Term, 0, "")
		return
	}
	if r.role != Candidate || m.Pre != r.preVote || !m.Granted {
		return
	}
	if !m.Pre && m.Term != r.hard.Term {
		return
	}
	r.countVote(m.From)
}

// countVote counts a vote of a voter and moves on once there is a quorum.
func (r *Replica) countVote(id hsid.ReplicaID) {
	i := hsstate.MemberIndex(r.members, id)
	if i < 0 || !r.members[i].Voter {
		return
	}
	r.votes[id] = true
	if len(r.votes) < r.quorum() {
		return
	}
	if r.preVote {
		r.campaign(false)
		return
	}
	r.becomeLeader()
}
