package hsquorum

import (
	"fmt"
	"time"

	"hyssopseam/core/hsid"
	"hyssopseam/core/hsstate"
)

// checkMembershipChange returns an ErrMembership for a change that is proposed before the previous one is committed,
// changes more than one member, leaves no voter or too few live ones for a quorum, or makes a voter of a replica that
// lacks committed entries. A learner that replaces a lost voter counts as one change; see replacedVoter.
func (r *Replica) checkMembershipChange(next []hsstate.Member) error {
	if r.configIndex > r.commitIndex {
		return fmt.Errorf("%w: the previous change, at index %d, isn't committed yet", ErrMembership, r.configIndex)
	}
	if len(hsstate.Voters(next)) == 0 {
		return fmt.Errorf("%w: no voter would remain", ErrMembership)
	}
	changed := 0
	replaced := r.replacedVoter(next)
	for _, m := range next {
		i := hsstate.MemberIndex(r.members, m.ID)
		if i >= 0 && r.members[i] == m {
			continue
		}
		changed++
		if m.Voter && m.ID != r.config.ID && !r.CaughtUp(m.ID) {
			return fmt.Errorf("%w: replica %d doesn't have every committed entry yet", ErrMembership, m.ID)
		}
	}
	for _, m := range r.members {
		if hsstate.MemberIndex(next, m.ID) < 0 && m.ID != replaced {
			changed++
		}
	}
	if changed > 1 {
		return fmt.Errorf("%w: %d members would change at once, at most one may", ErrMembership, changed)
	}
	return r.checkQuorumAlive(next)
}

// replacedVoter returns the member that a learner replaces as a voter in a single change; 0 for none. That is safe
// only if the member can never vote again, so the learner must run at the member's address: that instance lost its
// disk and started on a new one. With five voters, for example, a quorum of the old voters is then three of the four
// others, and a quorum of the new voters includes at least two of those four, so the quorums overlap. The learner has
// every committed entry. With two changes, promoting the learner and then removing the member, the cluster would
// lose its quorum for good if that instance lost its disk again in between and one more voter was lost.
func (r *Replica) replacedVoter(next []hsstate.Member) hsid.ReplicaID {
	for _, m := range next {
		learner := hsstate.MemberIndex(r.members, m.ID)
		if learner < 0 || !m.Voter || r.members[learner].Voter || hsstate.MemberIndex(next, m.Replaces) >= 0 {
			continue
		}
		if replaced := hsstate.ReplacedMember(r.members, learner); replaced >= 0 && r.members[replaced].Address == m.Address {
			return r.members[replaced].ID
		}
	}
	return 0
}

// checkQuorumAlive returns an ErrMembership for a change after which fewer voters than a quorum would be alive.
func (r *Replica) checkQuorumAlive(next []hsstate.Member) error {
	voters := hsstate.Voters(next)
	alive := 0
	for _, m := range voters {
		if m.ID == r.config.ID || r.Alive(m.ID) {
			alive++
		}
	}
	if alive < len(voters)/2+1 {
		return fmt.Errorf("%w: only %d of %d voters would be alive", ErrMembership, alive, len(voters))
	}
	return nil
}

// Alive reports, on a leader, whether a replica answered a request sent within the last two minimum election
// timeouts.
func (r *Replica) Alive(id hsid.ReplicaID) bool {
	if id == r.config.ID {
		return true
	}
	p := r.peers[id]
	return p != nil && r.ports.Clock.Now().Sub(p.ackedSentAt) < 2*r.config.ElectionTimeout
}

// SinceLastAck returns, on a leader, the time since it sent the latest request that the replica answered; before the
// first answer, the time since it began to send to the replica. It is 0 for this replica and for unknown ones.
func (r *Replica) SinceLastAck(id hsid.ReplicaID) time.Duration {
	p := r.peers[id]
	if id == r.config.ID || p == nil {
		return 0
	}
	last := p.ackedSentAt
	if last.Before(p.addedAt) {
		last = p.addedAt
	}
	return r.ports.Clock.Now().Sub(last)
}

// HeardFromLeader reports whether this replica leads, or heard from a leader or started within the given time.
func (r *Replica) HeardFromLeader(within time.Duration) bool {
	return r.role == Leader || r.ports.Clock.Now().Sub(r.lastLeaderContact) <= within
}

// CaughtUp reports, on a leader, whether a replica has every committed entry on disk.
func (r *Replica) CaughtUp(id hsid.ReplicaID) bool {
	if id == r.config.ID {
		return r.disk.syncedIndex >= r.commitIndex
	}
	p := r.peers[id]
	return p != nil && p.matchIndex >= r.commitIndex && p.matchIndex > 0
}

// MembershipChangePending reports whether there is a membership change that isn't committed yet.
func (r *Replica) MembershipChangePending() bool {
	return r.configIndex > r.commitIndex
}
