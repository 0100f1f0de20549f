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
	// newcomerSilence is how long a newcomer is remembered. One that may join without being asked for has to have
	// offered itself within newcomerFresh: a dead one would keep the others waiting.
	newcomerSilence = 5 * time.Second
	newcomerFresh   = time.Second
	// offerInterval is the time between two offers of a newcomer.
	offerInterval = 250 * time.Millisecond
)

// proposeMembers asks for a change of the members. The reply comes once it is applied.
func (c *Control) proposeMembers(a awaited, members []hsstate.Member) {
	command := hsstate.Command{Members: &hsstate.SetMembers{Cluster: c.replica.Cluster(), Members: members}}
	index, err := c.replica.Propose(command)
	if err != nil {
		c.reply(a, hsmessage.Reply{Status: hsmessage.StatusConflict, Reason: err.Error()})
		return
	}
	c.lead.replies[index] = a
}

// changeMembers carries out an operator's change, or says why not.
func (c *Control) changeMembers(a awaited, m *hsmessage.MembersChange) {
	members := slices.Clone(c.replica.Members())
	switch m.Action {
	case hsmessage.MembersAdd:
		c.addMember(a, members, m.ID, 0)
	case hsmessage.MembersReplace:
		if hsstate.MemberIndex(members, m.Old) < 0 {
			c.reply(a, hsmessage.Reply{Status: hsmessage.StatusMissing, Reason: fmt.Sprintf("replica %d is no member", m.Old)})
			return
		}
		c.addMember(a, members, m.ID, m.Old)
	case hsmessage.MembersRemove:
		i := hsstate.MemberIndex(members, m.ID)
		if i < 0 {
			c.reply(a, hsmessage.Reply{Status: hsmessage.StatusMissing, Reason: fmt.Sprintf("replica %d is no member", m.ID)})
			return
		}
		c.proposeMembers(a, slices.Delete(members, i, i+1))
	default:
		c.reply(a, hsmessage.Reply{Status: hsmessage.StatusBad, Reason: fmt.Sprintf("%q is no change of members", m.Action)})
	}
}

func (c *Control) addMember(a awaited, members []hsstate.Member, id, old hsid.ReplicaID) {
	n, ok := c.newcomers[id]
	switch {
	case hsstate.MemberIndex(members, id) >= 0:
		c.reply(a, hsmessage.Reply{Status: hsmessage.StatusDone})
	case !ok:
		c.reply(a, hsmessage.Reply{Status: hsmessage.StatusMissing, Reason: fmt.Sprintf("no newcomer %d is waiting to join", id)})
	case old == 0 && len(members) >= MaxReplicas:
		c.reply(a, hsmessage.Reply{Status: hsmessage.StatusConflict, Reason: fmt.Sprintf("there are %d members, the bound", MaxReplicas)})
	default:
		learner := hsstate.Member{ID: id, Instance: n.message.Instance, Address: n.message.Address, Replaces: old}
		c.proposeMembers(a, append(members, learner))
	}
}

// repairMembers takes the next step of a change under way: a newcomer joins while members are missing,
// a learner that holds every committed entry becomes a voter, and then the one it replaces leaves.
func (c *Control) repairMembers(now time.Time) {
	for id, n := range c.newcomers {
		if now.Sub(n.seen) > newcomerSilence {
			delete(c.newcomers, id)
		}
	}
	if c.replica.Changing() {
		return
	}
	if next := c.nextMembers(); next != nil {
		c.propose(hsstate.Command{Members: &hsstate.SetMembers{Cluster: c.replica.Cluster(), Members: next}})
	}
}

func (c *Control) nextMembers() []hsstate.Member {
	members := slices.Clone(c.replica.Members())
	for i, m := range members {
		if !m.Voter && c.replica.Alive(m.ID) && c.replica.CaughtUp(m.ID) {
			members[i].Voter = true
			if old := hsstate.MemberIndex(members, m.Replaces); old >= 0 && members[old].Address == m.Address {
				return slices.Delete(members, old, old+1)
			}
			return members
		}
	}
	for _, m := range members {
		old := hsstate.MemberIndex(members, m.Replaces)
		if m.Voter && m.Replaces != 0 && old >= 0 {
			return slices.Delete(members, old, old+1)
		}
	}
	if learner := c.silentLearner(members); learner >= 0 {
		return slices.Delete(members, learner, learner+1)
	}
	for _, n := range c.sortedNewcomers() {
		if !c.mayJoin(n) || c.ports.Clock.Now().Sub(c.newcomers[n.ID].seen) > newcomerFresh || hsstate.MemberIndex(members, n.ID) >= 0 {
			continue
		}
		replaced, ok := c.replacedBy(n, members)
		if ok || len(members) < c.config.Replicas {
			return append(members, hsstate.Member{ID: n.ID, Instance: n.Instance, Address: n.Address, Replaces: replaced})
		}
	}
	return nil
}

// mayJoin reports whether a newcomer may join without being asked for: one with an empty log, or a former
// member of this cluster whose disk is whole.
func (c *Control) mayJoin(n hsmessage.Newcomer) bool {
	return n.Fresh || c.config.ReplaceAfter > 0 && n.Cluster == c.replica.Cluster()
}

// silentLearner returns the position of a learner that fell silent before it could vote, or -1.
func (c *Control) silentLearner(members []hsstate.Member) int {
	return slices.IndexFunc(members, func(m hsstate.Member) bool {
		return !m.Voter && c.config.ReplaceAfter > 0 && c.replica.Silence(m.ID) > c.config.ReplaceAfter
	})
}

// replacedBy returns the member whose place a newcomer takes: the one whose disk was lost, since another one
// answers at its address, or else one that was silent for long. One replacement is under way at a time, so
// that there is never more than one voter over the intended number.
func (c *Control) replacedBy(n hsmessage.Newcomer, members []hsstate.Member) (hsid.ReplicaID, bool) {
	if c.config.ReplaceAfter == 0 || slices.ContainsFunc(members, func(m hsstate.Member) bool { return !m.Voter }) {
		return 0, false
	}
	for _, m := range members {
		if m.Address == n.Address {
			return m.ID, true
		}
	}
	if len(members) < c.config.Replicas {
		return 0, false
	}
	for _, m := range members {
		if c.replica.Silence(m.ID) > c.config.ReplaceAfter {
			return m.ID, true
		}
	}
	return 0, false
}

// memberAddresses returns where the control replicas are.
func (c *Control) memberAddresses() []hsstate.Peer {
	members := c.replica.Members()
	addresses := make([]hsstate.Peer, 0, len(members))
	for _, m := range members {
		addresses = append(addresses, m.Address)
	}
	return addresses
}

// receiveNewcomer remembers a newcomer, and tells the leader of it: a newcomer may know only replicas that
// don't lead.
func (c *Control) receiveNewcomer(m hsmessage.Newcomer) {
	for id, n := range c.newcomers {
		if n.message.Address == m.Address && id != m.ID {
			// Its disk was lost again before it joined.
			delete(c.newcomers, id)
		}
	}
	c.newcomers[m.ID] = newcomer{message: m, seen: c.ports.Clock.Now()}
	leader := c.replica.LeaderAddress()
	if m.Relayed || leader == "" || c.replica.Role() == hsquorum.Leader {
		return
	}
	m.Relayed = true
	c.ports.Sender.Send(leader, m)
}

// offerToJoin tells the other control replicas of this one while no membership lists it, or while it hears
// of no leader: it may have been replaced without having heard of it.
func (c *Control) offerToJoin() {
	now := c.ports.Clock.Now()
	if now.Before(c.offerAt) {
		return
	}
	c.offerAt = now.Add(offerInterval)
	member := hsstate.MemberIndex(c.replica.Members(), c.replica.ID()) >= 0
	if member && (c.config.ReplaceAfter == 0 || c.replica.HeardLeader(2*c.config.ReplaceAfter)) {
		return
	}
	m := hsmessage.Newcomer{
		ID:       c.replica.ID(),
		Instance: c.config.Quorum.Instance,
		Address:  c.config.Quorum.Address,
		Fresh:    c.replica.Last() == 0,
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

// nextOffer returns when this replica offers itself next, if it does.
func (c *Control) nextOffer() (time.Time, bool) {
	return c.offerAt, c.replica.Role() != hsquorum.Leader && hsstate.MemberIndex(c.replica.Members(), c.replica.ID()) < 0
}

func (c *Control) sortedNewcomers() []hsmessage.Newcomer {
	all := make([]hsmessage.Newcomer, 0, len(c.newcomers))
	for _, n := range c.newcomers {
		all = append(all, n.message)
	}
	slices.SortFunc(all, func(a, b hsmessage.Newcomer) int { return cmp.Compare(a.ID, b.ID) })
	return all
}

// membersView reports the members as this leader sees them.
func (c *Control) membersView() hsview.Members {
	v := hsview.Members{Cluster: c.replica.Cluster(), Commit: c.replica.Commit()}
	members := c.replica.Members()
	for _, m := range members {
		part := "learner"
		if m.Voter {
			part = "voter"
		}
		if m.ID == c.replica.ID() {
			part = "leader"
		}
		v.Members = append(v.Members, hsview.Member{
			ID:       m.ID,
			Instance: m.Instance,
			Address:  string(m.Address),
			Part:     part,
			Alive:    c.replica.Alive(m.ID),
			CaughtUp: c.replica.CaughtUp(m.ID),
			Replaces: m.Replaces,
		})
		replacing := m.Replaces != 0 && hsstate.MemberIndex(members, m.Replaces) >= 0
		v.Repairing = v.Repairing || !m.Voter || replacing
	}
	for _, n := range c.sortedNewcomers() {
		if hsstate.MemberIndex(members, n.ID) < 0 {
			v.Newcomers = append(v.Newcomers, hsview.Member{ID: n.ID, Instance: n.Instance, Address: string(n.Address), Part: "newcomer"})
		}
	}
	return v
}
