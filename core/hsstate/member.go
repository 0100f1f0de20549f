package hsstate

import (
	"slices"

	"hyssopseam/core/hsid"
)

// Peer addresses a process on a link: IP:port of one that is dialled, or the instance of one that
// dialled us.
type Peer string

// Member is one control replica. A member that is no voter is a learner.
type Member struct {
	ID       hsid.ReplicaID
	Instance hsid.InstanceID
	Address  Peer
	Voter    bool
	// Replaces is the member that leaves once this one votes; zero for none.
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

// MemberIndex returns the position of a member, or -1.
func MemberIndex(members []Member, id hsid.ReplicaID) int {
	return slices.IndexFunc(members, func(m Member) bool { return m.ID == id })
}
