package hscontrol

import (
	"cmp"
	"fmt"
	"slices"
	"time"

	"hyssopseam/core/command/hsquorum"
	"hyssopseam/core/hsid"
	"hyssopseam/core/hsmessage"
	"hyssopseam/core/hsstate"
	"hyssopseam/core/hsview"
)

// MaxReplicas is the largest number of control replicas.
const MaxReplicas = 7

const (
	// joinRequestExpiry is how long a replica's request to join is remembered.
	joinRequestExpiry = 5 * time.Second
	// autoJoinMaxAge is the longest time since the newest request of a replica that joins without an operator's
	// command. A replica that has died since would delay the others that wait to join.
	autoJoinMaxAge = time.Second
	// joinRequestInterval is the time between two requests of a replica that asks to join.
	joinRequestInterval = 250 * time.Millisecond
)

// proposeMembers proposes a new membership. The request is answered at once when the replica rejects the change, and
// otherwise once it is applied.
func (c *Control) proposeMembers(p pendingReply, members []hsstate.Member) {
	command := hsstate.Command{Members: &hsstate.SetMembers{Cluster: c.replica.Cluster(), Members: members}}
	index, err := c.replica.Propose(command)
	if err != nil {
		c.reply(p, hsmessage.Reply{Status: hsmessage.StatusConflict, Reason: err.Error()})
		return
	}
	c.leader.pendingReplies[index] = p
}

// changeMembers carries out an operator's change of membership, or answers why it can't be made.
func (c *Control) changeMembers(p pendingReply, m *hsmessage.MembersChange) {
	members := slices.Clone(c.replica.Members())
	switch m.Action {
	case hsmessage.MembersAdd:
		c.addMember(p, members, m.ID, 0)
	case hsmessage.MembersReplace:
		if hsstate.MemberIndex(members, m.Old) < 0 {
			c.reply(p, hsmessage.Reply{Status: hsmessage.StatusMissing, Reason: fmt.Sprintf("replica %d isn't a member", m.Old)})
			return
		}
		c.addMember(p, members, m.ID, m.Old)
	case hsmessage.MembersRemove:
		i := hsstate.MemberIndex(members, m.ID)
		if i < 0 {
			c.reply(p, hsmessage.Reply{Status: hsmessage.StatusMissing, Reason: fmt.Sprintf("replica %d isn't a member", m.ID)})
			return
		}
		c.proposeMembers(p, slices.Delete(members, i, i+1))
	default:
		c.reply(p, hsmessage.Reply{Status: hsmessage.StatusBad, Reason: fmt.Sprintf("unknown membership action %q", m.Action)})
	}
}

// addMember adds a replica that asked to join as a learner. The learner replaces the member old; 0 for none.
func (c *Control) addMember(p pendingReply, members []hsstate.Member, id, old hsid.ReplicaID) {
	joining, ok := c.joinRequests[id]
	switch {
	case hsstate.MemberIndex(members, id) >= 0:
		c.reply(p, hsmessage.Reply{Status: hsmessage.StatusDone})
	case !ok:
		c.reply(p, hsmessage.Reply{Status: hsmessage.StatusMissing, Reason: fmt.Sprintf("no replica %d is waiting to join", id)})
	case old == 0 && len(members) >= MaxReplicas:
		c.reply(p, hsmessage.Reply{Status: hsmessage.StatusConflict, Reason: fmt.Sprintf("there are already %d members, the maximum", MaxReplicas)})
	default:
		delete(c.leader.replacesSilent, id)
		learner := hsstate.Member{ID: id, Instance: joining.message.Instance, Address: joining.message.Address, Replaces: old}
		c.proposeMembers(p, append(members, learner))
	}
}

// repairMembers forgets expired requests to join and proposes the next change of membership, if one is needed and no
// other change is in progress.
func (c *Control) repairMembers(now time.Time) {
	for id, r := range c.joinRequests {
		if now.Sub(r.received) > joinRequestExpiry {
			delete(c.joinRequests, id)
		}
	}
	if c.replica.MembershipChangePending() {
		return
	}
	if next := c.nextMembership(); next != nil {
		c.propose(hsstate.Command{Members: &hsstate.SetMembers{Cluster: c.replica.Cluster(), Members: next}})
	}
}

// nextMembership returns the membership after the next step of a repair, or nil when there is nothing to do. In the
// order of precedence: a learner whose replacement is void is removed; a learner that holds every committed entry becomes a
// voter; a member whose replacement votes is removed; a silent learner is removed; a replica that asked to join becomes a
// learner. It records which learners replace a silent member.
func (c *Control) nextMembership() []hsstate.Member {
	members := slices.Clone(c.replica.Members())
	if learner := c.needlessLearner(members); learner >= 0 {
		return slices.Delete(members, learner, learner+1)
	}
	for i, m := range members {
		if !m.Voter && c.replica.Alive(m.ID) && c.replica.CaughtUp(m.ID) {
			members[i].Voter = true
			if old := hsstate.ReplacedMember(members, i); old >= 0 && members[old].Address == m.Address {
				return slices.Delete(members, old, old+1)
			}
			return members
		}
	}
	for i, m := range members {
		if old := hsstate.ReplacedMember(members, i); m.Voter && old >= 0 {
			surplus := c.surplusVoter(members, old, i)
			return slices.Delete(members, surplus, surplus+1)
		}
	}
	if learner := c.silentLearner(members); learner >= 0 {
		return slices.Delete(members, learner, learner+1)
	}
	for _, n := range c.sortedJoinRequests() {
		if !c.mayJoinAutomatically(n) || c.ports.Clock.Now().Sub(c.joinRequests[n.ID].received) > autoJoinMaxAge || hsstate.MemberIndex(members, n.ID) >= 0 {
			continue
		}
		replaced, ok := c.memberToReplace(n, members)
		if ok || len(members) < c.config.Replicas {
			old := hsstate.MemberIndex(members, replaced)
			c.leader.replacesSilent[n.ID] = old >= 0 && members[old].Address != n.Address
			return append(members, hsstate.Member{ID: n.ID, Instance: n.Instance, Address: n.Address, Replaces: replaced})
		}
	}
	return nil
}

// mayJoinAutomatically reports whether a replica may join without an operator's command: it has an empty log, or,
// with automatic replacement, it is a former member of this cluster with an intact disk.
func (c *Control) mayJoinAutomatically(joining hsmessage.JoinRequest) bool {
	return joining.LogEmpty || c.config.ReplaceAfter > 0 && joining.Cluster == c.replica.Cluster()
}

// needlessLearner returns the position of a learner that this leader added to replace a silent member which answers again, or
// -1. The learner would vote in place of a live member; it asks to join again and is there for the next one that is lost.
func (c *Control) needlessLearner(members []hsstate.Member) int {
	for i, m := range members {
		old := hsstate.ReplacedMember(members, i)
		if !m.Voter && old >= 0 && c.leader.replacesSilent[m.ID] && c.replica.Alive(members[old].ID) {
			return i
		}
	}
	return -1
}

// surplusVoter returns which of a voter and its replacement, which votes too, is to be removed: the replaced one, unless only
// that one is alive.
func (c *Control) surplusVoter(members []hsstate.Member, replaced, replacement int) int {
	if c.replica.Alive(members[replaced].ID) && !c.replica.Alive(members[replacement].ID) {
		return replacement
	}
	return replaced
}

// silentLearner returns the position of a learner that hasn't answered for Config.ReplaceAfter, or -1.
func (c *Control) silentLearner(members []hsstate.Member) int {
	return slices.IndexFunc(members, func(m hsstate.Member) bool {
		return !m.Voter && c.config.ReplaceAfter > 0 && c.replica.SinceLastAck(m.ID) > c.config.ReplaceAfter
	})
}

// memberToReplace returns the member that a joining replica replaces. That is the member with the same address, whose
// disk must have been lost as another replica now uses its address; or else a member that hasn't answered for
// Config.ReplaceAfter. Only one replacement is in progress at a time, so that there is never more than one voter over
// the configured number.
func (c *Control) memberToReplace(joining hsmessage.JoinRequest, members []hsstate.Member) (hsid.ReplicaID, bool) {
	if c.config.ReplaceAfter == 0 || slices.ContainsFunc(members, func(m hsstate.Member) bool { return !m.Voter }) {
		return 0, false
	}
	for _, m := range members {
		if m.Address == joining.Address {
			return m.ID, true
		}
	}
	if len(members) < c.config.Replicas {
		return 0, false
	}
	for _, m := range members {
		if c.replica.SinceLastAck(m.ID) > c.config.ReplaceAfter {
			return m.ID, true
		}
	}
	return 0, false
}

// memberAddresses returns the addresses of the control replicas.
func (c *Control) memberAddresses() []hsstate.Peer {
	members := c.replica.Members()
	addresses := make([]hsstate.Peer, 0, len(members))
	for _, m := range members {
		addresses = append(addresses, m.Address)
	}
	return addresses
}

// receiveJoinRequest records a request to join and relays it to the leader, since the joining replica may know only
// followers.
func (c *Control) receiveJoinRequest(m hsmessage.JoinRequest) {
	for id, r := range c.joinRequests {
		if r.message.Address == m.Address && id != m.ID {
			// The process lost its disk again before it joined, and came back with a new ID.
			delete(c.joinRequests, id)
		}
	}
	c.joinRequests[m.ID] = joinRequest{message: m, received: c.ports.Clock.Now()}
	leader := c.replica.LeaderAddress()
	if m.Forwarded || leader == "" || c.replica.Role() == hsquorum.Leader {
		return
	}
	m.Forwarded = true
	c.ports.Sender.Send(leader, m)
}

// requestToJoin sends a request to join to the other control replicas while this replica isn't a member. With
// automatic replacement, a member also sends it while it doesn't hear from a leader, as it may have been replaced
// without having received that change.
func (c *Control) requestToJoin() {
	now := c.ports.Clock.Now()
	if now.Before(c.nextJoinRequest) {
		return
	}
	c.nextJoinRequest = now.Add(joinRequestInterval)
	isMember := hsstate.MemberIndex(c.replica.Members(), c.replica.ID()) >= 0
	if isMember && (c.config.ReplaceAfter == 0 || c.replica.HeardFromLeader(2*c.config.ReplaceAfter)) {
		return
	}
	m := hsmessage.JoinRequest{
		ID:       c.replica.ID(),
		Instance: c.config.Quorum.Instance,
		Address:  c.config.Quorum.Address,
		LogEmpty: c.replica.LastIndex() == 0,
		Cluster:  c.replica.Cluster(),
	}
	sent := map[hsstate.Peer]bool{m.Address: true}
	for _, peer := range slices.Concat(c.config.Controls, c.memberAddresses()) {
		if !sent[peer] {
			sent[peer] = true
			c.ports.Sender.Send(peer, m)
		}
	}
}

// nextJoinRequestAt returns the time of the next request to join, and false when this replica leads or is a member. A
// member's request under automatic replacement needs no timer of its own; it is sent on one of the replica's wakes.
func (c *Control) nextJoinRequestAt() (time.Time, bool) {
	return c.nextJoinRequest, c.replica.Role() != hsquorum.Leader && hsstate.MemberIndex(c.replica.Members(), c.replica.ID()) < 0
}

// sortedJoinRequests returns the recorded requests to join in the order of their IDs.
func (c *Control) sortedJoinRequests() []hsmessage.JoinRequest {
	all := make([]hsmessage.JoinRequest, 0, len(c.joinRequests))
	for _, r := range c.joinRequests {
		all = append(all, r.message)
	}
	slices.SortFunc(all, func(a, b hsmessage.JoinRequest) int { return cmp.Compare(a.ID, b.ID) })
	return all
}

// membersView returns the members and the joining replicas as this leader sees them.
func (c *Control) membersView() hsview.Members {
	view := hsview.Members{Cluster: c.replica.Cluster(), Commit: c.replica.CommitIndex()}
	members := c.replica.Members()
	for i, m := range members {
		role := "learner"
		if m.Voter {
			role = "voter"
		}
		if m.ID == c.replica.ID() {
			role = "leader"
		}
		view.Members = append(view.Members, hsview.Member{
			ID:       m.ID,
			Instance: m.Instance,
			Address:  string(m.Address),
			Part:     role,
			Alive:    c.replica.Alive(m.ID),
			CaughtUp: c.replica.CaughtUp(m.ID),
			Replaces: m.Replaces,
		})
		view.Repairing = view.Repairing || !m.Voter || hsstate.ReplacedMember(members, i) >= 0
	}
	for _, n := range c.sortedJoinRequests() {
		if hsstate.MemberIndex(members, n.ID) < 0 {
			view.Newcomers = append(view.Newcomers, hsview.Member{ID: n.ID, Instance: n.Instance, Address: string(n.Address), Part: "newcomer"})
		}
	}
	return view
}
