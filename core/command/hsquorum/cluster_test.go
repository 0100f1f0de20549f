package hsquorum_test

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"slices"
	"strconv"
	"time"

	"hyssopseam/core/command/hsquorum"
	"hyssopseam/core/hsid"
	"hyssopseam/core/hsmessage"
	"hyssopseam/core/hsstate"
)

// testingT is the part of testing.T and rapid.T that the cluster uses.
type testingT interface {
	Helper()
	Fatalf(format string, args ...any)
}

// envelope is a message in flight.
type envelope struct {
	from, to hsid.ReplicaID
	message  hsmessage.Message
}

// node is one replica with its clock, disk and state. The disk holds the completed saves. A crash either loses the
// save in flight or completes it without an acknowledgement.
type node struct {
	cluster *cluster
	id      hsid.ReplicaID
	replica *hsquorum.Replica
	// clockRate is the rate of the node's clock relative to the cluster's time.
	clockRate   float64
	stored      hsquorum.Stored
	pendingSave *hsquorum.Save
	applied     []string
	// diskStuck is set while the disk completes no saves.
	diskStuck bool
}

// cluster is a simulated cluster whose time, network and disks the test controls, with an oracle.
type cluster struct {
	t        testingT
	now      time.Duration
	random   *rand.Rand
	nodes    []*node
	inFlight []envelope
	// cutLinks are the links that lose every message, as sender and receiver.
	cutLinks map[[2]hsid.ReplicaID]bool
	// held is a replica that receives nothing for now; messages to it stay in flight. 0 for none.
	held   hsid.ReplicaID
	config hsquorum.Config
	// commandAt is the oracle: the one command applied at each index.
	commandAt map[hsid.LogIndex]string
	// acknowledged lists, in order, the commands whose proposer has applied them.
	acknowledged []string
	// proposed holds the leader and term that proposed each command; only that leader, in that term, acknowledges it.
	proposed map[string]proposal
	// leaderOf is the one leader seen in each term.
	leaderOf      map[hsid.Term]hsid.ReplicaID
	proposalCount int
}

type proposal struct {
	proposer hsid.ReplicaID
	term     hsid.Term
}

// maxDeliveries is the number of messages that replicas may exchange without time passing.
const maxDeliveries = 20000

// maxClockDrift is the largest deviation of a clock's rate from 1.
const maxClockDrift = 0.015

// newCluster starts a cluster of voters and of further replicas that aren't members yet.
func newCluster(t testingT, seed uint64, voters, learners int, config hsquorum.Config) *cluster {
	c := &cluster{
		t:         t,
		random:    rand.New(rand.NewPCG(seed, seed)),
		cutLinks:  map[[2]hsid.ReplicaID]bool{},
		config:    config,
		commandAt: map[hsid.LogIndex]string{},
		proposed:  map[string]proposal{},
		leaderOf:  map[hsid.Term]hsid.ReplicaID{},
	}
	var members []hsstate.Member
	for i := 1; i <= voters; i++ {
		members = append(members, hsstate.Member{ID: hsid.ReplicaID(i), Address: address(hsid.ReplicaID(i)), Voter: true})
	}
	first := hsstate.Entry{Index: 1, Term: 1, Command: hsstate.Command{Members: &hsstate.SetMembers{Cluster: "c", Members: members}}}
	for i := 1; i <= voters+learners; i++ {
		n := &node{cluster: c, id: hsid.ReplicaID(i), clockRate: 1 + maxClockDrift*(2*c.random.Float64()-1)}
		if i <= voters {
			n.stored = hsquorum.Stored{HardState: hsquorum.HardState{Term: 1}, Entries: []hsstate.Entry{first}}
		}
		c.nodes = append(c.nodes, n)
		n.start()
	}
	return c
}

func address(id hsid.ReplicaID) hsstate.Peer { return hsstate.Peer(fmt.Sprint(id)) }

func (n *node) start() {
	n.applied = nil
	n.pendingSave = nil
	config := n.cluster.config
	config.ID = n.id
	config.Address = address(n.id)
	r, err := hsquorum.New(config, hsquorum.Ports{Clock: n, Random: n, Sender: n, Storage: n, StateMachine: n, Sizer: n}, n.stored)
	if err != nil {
		n.cluster.t.Fatalf("replica %d: got error %v from New, want none", n.id, err)
	}
	n.replica = r
}

// crash stops the node. With written, the save in flight is on the disk, otherwise it is lost.
func (n *node) crash(written bool) {
	if n.pendingSave != nil && written {
		n.stored = n.stored.WithSave(*n.pendingSave)
	}
	n.pendingSave = nil
	n.replica = nil
}

// Now returns the time on the node's clock, which drifts.
func (n *node) Now() time.Time {
	return time.Unix(1000, 0).Add(time.Duration(float64(n.cluster.now) * n.clockRate))
}

// Int64N returns a number from the cluster's random source.
func (n *node) Int64N(limit int64) int64 { return n.cluster.random.Int64N(limit) }

// Send adds a message to those in flight.
func (n *node) Send(to hsstate.Peer, m hsmessage.Message) {
	for _, o := range n.cluster.nodes {
		if address(o.id) == to {
			n.cluster.inFlight = append(n.cluster.inFlight, envelope{from: n.id, to: o.id, message: m})
		}
	}
}

// Save starts a save; finishSave completes it.
func (n *node) Save(s hsquorum.Save) {
	if n.pendingSave != nil {
		n.cluster.t.Fatalf("replica %d: got a second save in flight, want one", n.id)
	}
	n.pendingSave = &s
}

// finishSave completes the save in flight, unless the disk is stuck.
func (n *node) finishSave() {
	if n.replica == nil || n.pendingSave == nil || n.diskStuck {
		return
	}
	s := *n.pendingSave
	n.pendingSave = nil
	n.stored = n.stored.WithSave(s)
	n.replica.SaveCompleted(s.Number)
	n.replica.Flush()
}

// commandName returns the text that identifies the command of an entry.
func commandName(e hsstate.Entry) string {
	switch c := e.Command; {
	case c.Cancel != nil:
		return string(c.Cancel.Jobs[0])
	case c.Members != nil:
		return fmt.Sprintf("members@%d", e.Term)
	}
	return fmt.Sprintf("empty@%d", e.Term)
}

// Apply checks an applied entry against the oracle and acknowledges it if this leader proposed it in this term.
func (n *node) Apply(e hsstate.Entry) {
	name := commandName(e)
	if want, ok := n.cluster.commandAt[e.Index]; ok && want != name {
		n.cluster.t.Fatalf("replica %d at index %d: got %s applied, want %s", n.id, e.Index, name, want)
	}
	n.cluster.commandAt[e.Index] = name
	n.applied = append(n.applied, name)
	if n.replica == nil || n.replica.Role() != hsquorum.Leader {
		return
	}
	if n.cluster.proposed[name] == (proposal{proposer: n.id, term: n.replica.Term()}) {
		n.cluster.acknowledged = append(n.cluster.acknowledged, name)
		delete(n.cluster.proposed, name)
	}
}

// entrySize is the size of each entry of the tests, with the replica's own overhead.
const entrySize = 256

// EntrySize returns a size that is the same for all entries.
func (n *node) EntrySize(*hsstate.Entry) hsid.Bytes { return 0 }

// Snapshot encodes the list of applied commands, rotated by a number that it starts with. Like the maps of a real state, its
// order differs between replicas, so the snapshots of two replicas at the same index differ in their bytes.
func (n *node) Snapshot() []byte {
	shift := int(n.id) % len(n.applied)
	names := slices.Concat([]string{strconv.Itoa(shift)}, n.applied[shift:], n.applied[:shift])
	data, _ := json.Marshal(names)
	return data
}

// Restore replaces the list of applied commands.
func (n *node) Restore(data []byte) error {
	var names []string
	if err := json.Unmarshal(data, &names); err != nil {
		return err
	}
	shift, err := strconv.Atoi(names[0])
	if err != nil {
		return err
	}
	first := len(names) - shift
	n.applied = slices.Concat(names[first:], names[1:first])
	return nil
}

// leaders returns the nodes that may act as the leader now.
func (c *cluster) leaders() []*node {
	var all []*node
	for _, n := range c.nodes {
		if n.replica != nil && n.replica.Leading() {
			all = append(all, n)
		}
	}
	return all
}

// checkInvariants checks that at most one leader acts at a time and that each term has at most one leader.
func (c *cluster) checkInvariants() {
	c.t.Helper()
	leaders := c.leaders()
	if len(leaders) > 1 {
		c.t.Fatalf("got leaders %d and %d at once, want one", leaders[0].id, leaders[1].id)
	}
	for _, n := range c.nodes {
		if n.replica == nil || n.replica.Role() != hsquorum.Leader {
			continue
		}
		if id, ok := c.leaderOf[n.replica.Term()]; ok && id != n.id {
			c.t.Fatalf("term %d: got leaders %d and %d, want one", n.replica.Term(), id, n.id)
		}
		c.leaderOf[n.replica.Term()] = n.id
	}
}

// advance moves the time forward and wakes the replicas that are due.
func (c *cluster) advance(d time.Duration) {
	c.now += d
	for _, n := range c.nodes {
		if n.replica != nil && !n.replica.NextWake().After(n.Now()) {
			n.replica.Wake()
			n.replica.Flush()
		}
	}
	c.checkInvariants()
}

// deliver delivers the message at index i of those in flight. With duplicate, it stays in flight to be delivered
// again.
func (c *cluster) deliver(i int, duplicate bool) {
	e := c.inFlight[i]
	if !duplicate {
		c.inFlight = slices.Delete(c.inFlight, i, i+1)
	}
	if e.to == c.held {
		if !duplicate {
			c.inFlight = append(c.inFlight, e)
		}
		return
	}
	n := c.node(e.to)
	if n.replica == nil || c.cutLinks[[2]hsid.ReplicaID{e.from, e.to}] {
		return
	}
	n.replica.Receive(e.message)
	n.replica.Flush()
	c.checkInvariants()
}

// runTicks runs the cluster for some ticks of length d. In each tick, saves complete, the messages in flight arrive
// and time passes.
func (c *cluster) runTicks(ticks int, d time.Duration) {
	for range ticks {
		for _, n := range c.nodes {
			n.finishSave()
		}
		for i := len(c.inFlight); i > 0; i-- {
			c.deliver(0, false)
		}
		c.advance(d)
	}
}

// isolate cuts all links from and to a node.
func (c *cluster) isolate(id hsid.ReplicaID) {
	for _, n := range c.nodes {
		c.cutLinks[[2]hsid.ReplicaID{id, n.id}] = true
		c.cutLinks[[2]hsid.ReplicaID{n.id, id}] = true
	}
}

func (c *cluster) node(id hsid.ReplicaID) *node { return c.nodes[id-1] }

// propose lets each acting leader propose a command with a unique name.
func (c *cluster) propose() {
	for _, n := range c.leaders() {
		n.propose()
		n.replica.Flush()
	}
}

// propose proposes a command with a unique name, without a flush.
func (n *node) propose() {
	c := n.cluster
	c.proposalCount++
	name := fmt.Sprintf("x%d", c.proposalCount)
	_, err := n.replica.Propose(hsstate.Command{Cancel: &hsstate.CancelJobs{Jobs: []hsid.JobID{hsid.JobID(name)}}})
	if err == nil {
		c.proposed[name] = proposal{proposer: n.id, term: n.replica.Term()}
	}
}

// proposeChange lets each acting leader propose a change of one member: kind 0 adds it as a learner, 1 promotes it to
// a voter, and 2 removes it. It proposes nothing where the change doesn't apply.
func (c *cluster) proposeChange(id hsid.ReplicaID, kind int) {
	for _, n := range c.leaders() {
		next := slices.Clone(n.replica.Members())
		i := hsstate.MemberIndex(next, id)
		switch {
		case kind == 0 && i < 0:
			next = append(next, hsstate.Member{ID: id, Address: address(id)})
		case kind == 1 && i >= 0 && !next[i].Voter:
			next[i].Voter = true
		case kind == 2 && i >= 0 && len(next) > 2:
			next = slices.Delete(next, i, i+1)
		default:
			continue
		}
		command := hsstate.Command{Members: &hsstate.SetMembers{Cluster: n.replica.Cluster(), Members: next}}
		if _, err := n.replica.Propose(command); err == nil {
			n.replica.Flush()
		}
	}
}

// healAndCheck restores all links, starts the crashed nodes and runs until the cluster converges. It then checks that
// no acknowledged command is lost, duplicated or out of order.
func (c *cluster) healAndCheck() {
	c.t.Helper()
	clear(c.cutLinks)
	for _, n := range c.nodes {
		if n.replica == nil {
			n.start()
		}
	}
	for range 4000 {
		for _, n := range c.nodes {
			n.finishSave()
		}
		for delivered := 0; len(c.inFlight) > 0; delivered++ {
			if delivered > maxDeliveries {
				c.t.Fatalf("replicas answer each other without end:%s", c.describe())
			}
			c.deliver(0, false)
			for _, n := range c.nodes {
				n.finishSave()
			}
		}
		if c.converged() {
			c.checkAcknowledged()
			return
		}
		c.advance(20 * time.Millisecond)
	}
	c.t.Fatalf("the cluster did not converge after healing:%s", c.describe())
}

// describe lists the state of every replica.
func (c *cluster) describe() string {
	text := ""
	for _, n := range c.nodes {
		r := n.replica
		text += fmt.Sprintf("\n%d: %s term %d commit %d last %d applied %d entries %d members %v",
			n.id, r.Role(), r.Term(), r.CommitIndex(), r.LastIndex(), len(n.applied), r.LogLength(), r.Members())
	}
	return text
}

// converged reports whether there is one acting leader and all its members have applied its whole log.
func (c *cluster) converged() bool {
	leaders := c.leaders()
	if len(leaders) != 1 {
		return false
	}
	l := leaders[0]
	if l.replica.CommitIndex() != l.replica.LastIndex() {
		return false
	}
	for _, m := range l.replica.Members() {
		if len(c.node(m.ID).applied) != len(l.applied) {
			return false
		}
	}
	return true
}

// checkAcknowledged checks that the leader has applied every acknowledged command once and in order.
func (c *cluster) checkAcknowledged() {
	c.t.Helper()
	l := c.leaders()[0]
	position := map[string]int{}
	for i, name := range l.applied {
		if _, duplicate := position[name]; duplicate && name[0] == 'x' {
			c.t.Fatalf("got %s applied twice, want once", name)
		}
		position[name] = i
	}
	last := -1
	for _, name := range c.acknowledged {
		i, ok := position[name]
		if !ok {
			c.t.Fatalf("got %s lost, want every acknowledged command", name)
		}
		if i < last {
			c.t.Fatalf("got %s out of order", name)
		}
		last = i
	}
}
