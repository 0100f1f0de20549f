package hsquorum

import (
	"hyssopseam/core/hsid"
	"hyssopseam/core/hsmessage"
	"hyssopseam/core/hsstate"
)

// startPreVote asks the other voters whether they would grant a vote. It changes no replica's term, so it doesn't
// disrupt a working leader.
func (r *Replica) startPreVote() {
	r.role = Candidate
	r.preVote = true
	r.leaderID = 0
	r.leaderAddress = ""
	r.votes = map[hsid.ReplicaID]bool{}
	r.requestVotes()
	r.countVote(r.config.ID)
}

// startElection starts an election in the next term. With transfer, the last leader has stepped down and asked this
// replica to do so, and voters don't wait for their election timeout.
func (r *Replica) startElection(transfer bool) {
	r.role = Candidate
	r.preVote = false
	r.leadershipTransfer = transfer
	r.leaderID = 0
	r.leaderAddress = ""
	r.hardState = HardState{Term: r.hardState.Term + 1, Vote: r.config.ID}
	r.disk.hardStateDirty = true
	r.disk.heldMessages = nil
	r.verifiedIndex = 0
	r.votes = map[hsid.ReplicaID]bool{}
	r.resetElectionTimer()
	r.requestVotes()
}

// requestVotes asks the other voters for their votes or pre-votes. Vote requests wait until the own term and vote
// are durable.
func (r *Replica) requestVotes() {
	for _, m := range hsstate.Voters(r.members) {
		if m.ID == r.config.ID {
			continue
		}
		request := hsmessage.VoteRequest{
			Header:    r.header(m.ID),
			Pre:       r.preVote,
			Transfer:  r.leadershipTransfer && !r.preVote,
			LastIndex: r.log.lastIndex(),
			LastTerm:  r.log.lastTerm(),
		}
		if r.preVote {
			r.send(m.Address, request)
			continue
		}
		r.sendAfterSync(m.Address, request)
	}
}

// receiveVoteRequest answers a vote request or pre-vote request. It ignores the request while there is a leader,
// unless that leader transfers its leadership.
func (r *Replica) receiveVoteRequest(m hsmessage.VoteRequest) {
	now := r.ports.Clock.Now()
	heardLeader := now.Sub(r.lastLeaderContact) < r.config.ElectionTimeout || r.Leading()
	if heardLeader && !m.Transfer {
		return
	}
	logUpToDate := m.LastTerm > r.log.lastTerm() ||
		m.LastTerm == r.log.lastTerm() && m.LastIndex >= r.log.lastIndex()
	if m.Pre {
		reply := hsmessage.VoteReply{Header: r.header(m.From), Pre: true}
		reply.Granted = logUpToDate && m.Term >= r.hardState.Term
		r.send(m.Address, reply)
		return
	}
	if m.Term < r.hardState.Term {
		r.send(m.Address, hsmessage.VoteReply{Header: r.header(m.From)})
		return
	}
	if m.Term > r.hardState.Term {
		r.becomeFollower(m.Term, 0, "")
	}
	voteAvailable := r.hardState.Vote == 0 || r.hardState.Vote == m.From
	granted := logUpToDate && voteAvailable && r.role == Follower
	if granted && r.hardState.Vote == 0 {
		r.hardState.Vote = m.From
		r.disk.hardStateDirty = true
	}
	if granted {
		r.resetElectionTimer()
	}
	r.sendAfterSync(m.Address, hsmessage.VoteReply{Header: r.header(m.From), Granted: granted})
}

func (r *Replica) receiveVoteReply(m hsmessage.VoteReply) {
	if m.Term > r.hardState.Term {
		r.becomeFollower(m.Term, 0, "")
		return
	}
	if r.role != Candidate || m.Pre != r.preVote || !m.Granted {
		return
	}
	if !m.Pre && m.Term != r.hardState.Term {
		return
	}
	r.countVote(m.From)
}

// countVote counts a granted vote. With a quorum, a pre-vote leads to an election, and an election to leadership.
// It ignores the votes of replicas that aren't voters.
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
		r.startElection(false)
		return
	}
	r.becomeLeader()
}
