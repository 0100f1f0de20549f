package hsquorum

import (
	"fmt"
	"time"

	"hyssopseam/core/hsid"
	"hyssopseam/core/hsstate"
)

// checkMembers refuses a change while another is under way, one that touches more than one member,
// and one that would leave no voter or promote a learner that lags.
func (r *Replica) checkMembers(next []hsstate.Member) error {
	if r.configIndex > r.commit {
		return fmt.Errorf("%w: the change at entry %d isn't committed yet", ErrMembership, r.configIndex)
	}
	if len(hsstate.Voters(next)) == 0 {
		return fmt.Errorf("%w: no voter would be left", ErrMembership)
	}
	changed := 0
	swapped := r.swapped(next)
	for _, m := range next {
		i := hsstate.MemberIndex(r.members, m.ID)
		if i >= 0 && r.members[i] == m {
			continue
		}
		changed++
		if m.Voter && m.ID != r.config.ID && !r.CaughtUp(m.ID) {
			return fmt.Errorf("%w: replica %d doesn't hold every committed entry yet", ErrMembership, m.ID)
		}
	}
	for _, m := range r.members {
		if hsstate.MemberIndex(next, m.ID) < 0 && m.ID != swapped {
			changed++
		}
	}
	if changed > 1 {
		return fmt.Errorf("%w: %d members would change at once", ErrMembership, changed)
	}
	return r.checkQuorumAlive(next)
}

// swapped returns the member whose vote a learner takes over in one change; 0 for none. That is safe only where
// the member can never vote again: the learner stands at its address with another disk. Then a quorum of the
// old voters is three of the four others, say, and one of the new voters two of them at least, so both have
// one in common; and the learner holds every committed entry. Were the learner added first and the member
// removed after it, the loss of that instance's disk again and of one more would leave no quorum for ever.
func (r *Replica) swapped(next []hsstate.Member) hsid.ReplicaID {
	for _, m := range next {
		before := hsstate.MemberIndex(r.members, m.ID)
		old := hsstate.MemberIndex(r.members, m.Replaces)
		if before < 0 || old < 0 || !m.Voter || r.members[before].Voter || hsstate.MemberIndex(next, m.Replaces) >= 0 {
			continue
		}
		if r.members[old].Address == m.Address {
			return m.Replaces
		}
	}
	return 0
}

// checkQuorumAlive refuses a change after which fewer voters than a quorum would be heard from.
func (r *Replica) checkQuorumAlive(next []hsstate.Member) error {
	voters := hsstate.Voters(next)
	alive := 0
	for _, m := range voters {
		if m.ID == r.config.ID || r.Alive(m.ID) {
			alive++
		}
	}
	if alive < len(voters)/2+1 {
		return fmt.Errorf("%w: only %d of %d voters would be heard from", ErrMembership, alive, len(voters))
	}
	return nil
}

// Alive reports, on a leader, whether a replica answered within the last two election timeouts.
func (r *Replica) Alive(id hsid.ReplicaID) bool {
	if id == r.config.ID {
		return true
	}
	p := r.peers[id]
	return p != nil && r.ports.Clock.Now().Sub(p.acked) < 2*r.config.Election
}

// Silence returns, on a leader, how long ago a replica last answered; before its first answer, how long it
// has been sent to.
func (r *Replica) Silence(id hsid.ReplicaID) time.Duration {
	p := r.peers[id]
	if id == r.config.ID || p == nil {
		return 0
	}
	last := p.acked
	if last.Before(p.added) {
		last = p.added
	}
	return r.ports.Clock.Now().Sub(last)
}

// HeardLeader reports whether this replica leads, or heard from a leader within a time.
func (r *Replica) HeardLeader(within time.Duration) bool {
	return r.role == Leader || r.ports.Clock.Now().Sub(r.lastHeard) <= within
}

// CaughtUp reports, on a leader, whether a replica has every committed entry on its disk.
func (r *Replica) CaughtUp(id hsid.ReplicaID) bool {
	if id == r.config.ID {
		return r.disk.synced >= r.commit
	}
	p := r.peers[id]
	return p != nil && p.match >= r.commit && p.match > 0
}

// Changing reports whether a membership change isn't committed yet.
func (r *Replica) Changing() bool {
	return r.configIndex > r.commit
}
