package hsstate

import (
	"slices"

	"hyssopseam/core/hsid"
)

// Peer is the address of a process at the other end of a link: IP:port for a process that is dialled, or the
// instance for a process that dialled in.
type Peer string

// Member is one control replica of the cluster. A member that isn't a voter is a learner.
type Member struct {
	ID       hsid.ReplicaID
	Instance hsid.InstanceID
	Address  Peer
	Voter    bool
	// Replaces is the member that is removed once this one is a voter; zero for none. It is kept after that removal, when it
	// no longer means anything; see ReplacedMember.
	Replaces hsid.ReplicaID
}

// Voters returns the voting members.
func Voters(members []Member) []Member {
	var voters []Member
	for _, m := range members {
		if m.Voter {
			voters = append(voters, m)
		}
	}
	return voters
}

// MemberIndex returns the position of a member in members, or -1.
func MemberIndex(members []Member, id hsid.ReplicaID) int {
	return slices.IndexFunc(members, func(m Member) bool { return m.ID == id })
}

// ReplacedMember returns the position of the member that members[i] is to replace, or -1 for none. Members are listed in the
// order in which they joined, so a member listed behind its replacement was removed and has joined again since, which made the
// replacement void.
func ReplacedMember(members []Member, i int) int {
	old := MemberIndex(members, members[i].Replaces)
	if old >= i {
		return -1
	}
	return old
}
