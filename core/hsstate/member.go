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
	// Replaces is the member that is removed once this one is a voter; zero for none.
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
