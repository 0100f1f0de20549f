package hsquorum_test

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"hyssopseam/core/command/hsquorum"
	"hyssopseam/core/hsid"
	"hyssopseam/core/hsmessage"
	"hyssopseam/core/hsstate"
)

// failer is what of a test the cluster needs.
type failer interface {
	Helper()
	Fatalf(format string, args ...any)
}

// flight is a message on its way.
type flight struct {
	from, to hsid.ReplicaID
	message  hsmessage.Message
}

// node is one replica with its clock, disk and state. The disk holds what was synced; a save under way is
// lost by a crash, or was written without being acknowledged.
type node struct {
	c       *cluster
	id      hsid.ReplicaID
	replica *hsquorum.Replica
	// rate is how fast the node's clock goes.
	rate    float64
	stored  hsquorum.Stored
	pending *hsquorum.Save
	applied []string
	// stuck is set while the disk answers nothing.
	stuck bool
}

// cluster is a set of replicas under a test's control, with an oracle.
type cluster struct {
	t       failer
	now     time.Duration
	random  *rand.Rand
	nodes   []*node
	flights []flight
	cut     map[[2]hsid.ReplicaID]bool
	config  hsquorum.Config
	// log is the oracle: the one command applied at each index.
	log map[hsid.LogIndex]string
	// acknowledged is the plain list of commands whose proposer saw them applied.
	acknowledged []string
	// proposed holds who proposed each command, and in which term; only that leader acknowledges it.
	proposed map[string]proposal
	terms    map[hsid.Term]hsid.ReplicaID
	count    int
}

type proposal struct {
	by   hsid.ReplicaID
	term hsid.Term
}

const drift = 0.015

func newCluster(t failer, seed uint64, voters, learners int, config hsquorum.Config) *cluster {
	c := &cluster{
		t:        t,
		random:   rand.New(rand.NewPCG(seed, seed)),
		cut:      map[[2]hsid.ReplicaID]bool{},
		config:   config,
		log:      map[hsid.LogIndex]string{},
		proposed: map[string]proposal{},
		terms:    map[hsid.Term]hsid.ReplicaID{},
	}
	var members []hsstate.Member
	for i := 1; i <= voters; i++ {
		members = append(members, hsstate.Member{ID: hsid.ReplicaID(i), Address: address(hsid.ReplicaID(i)), Voter: true})
	}
	first := hsstate.Entry{Index: 1, Term: 1, Command: hsstate.Command{Members: &hsstate.SetMembers{Cluster: "c", Members: members}}}
	for i := 1; i <= voters+learners; i++ {
		n := &node{c: c, id: hsid.ReplicaID(i), rate: 1 + drift*(2*c.random.Float64()-1)}
		if i <= voters {
			n.stored = hsquorum.Stored{Hard: hsquorum.HardState{Term: 1}, Entries: []hsstate.Entry{first}}
		}
		c.nodes = append(c.nodes, n)
		n.start()
	}
	return c
}

func address(id hsid.ReplicaID) hsstate.Peer { return hsstate.Peer(fmt.Sprint(id)) }

func (n *node) start() {
	n.applied = nil
	n.pending = nil
	config := n.c.config
	config.ID = n.id
	config.Address = address(n.id)
	r, err := hsquorum.New(config, hsquorum.Ports{Clock: n, Random: n, Sender: n, Storage: n, Machine: n}, n.stored)
	if err != nil {
		n.c.t.Fatalf("replica %d: got %v, want a start", n.id, err)
	}
	n.replica = r
}

// crash ends the node; the save under way may or may not be on the disk.
func (n *node) crash(written bool) {
	if n.pending != nil && written {
		n.stored = n.stored.Apply(*n.pending)
	}
	n.pending = nil
	n.replica = nil
}

// Now is the node's clock, which drifts.
func (n *node) Now() time.Time {
	return time.Unix(1000, 0).Add(time.Duration(float64(n.c.now) * n.rate))
}

// Int64N draws from the test's generator.
func (n *node) Int64N(limit int64) int64 { return n.c.random.Int64N(limit) }

// Send puts a message on its way.
func (n *node) Send(to hsstate.Peer, m hsmessage.Message) {
	for _, o := range n.c.nodes {
		if address(o.id) == to {
			n.c.flights = append(n.c.flights, flight{from: n.id, to: o.id, message: m})
		}
	}
}

// Save starts a save.
func (n *node) Save(s hsquorum.Save) {
	if n.pending != nil {
		n.c.t.Fatalf("replica %d: got a second save under way, want one", n.id)
	}
	n.pending = &s
}

// sync ends the save under way.
func (n *node) sync() {
	if n.replica == nil || n.pending == nil || n.stuck {
		return
	}
	s := *n.pending
	n.pending = nil
	n.stored = n.stored.Apply(s)
	n.replica.Synced(s.Number)
	n.replica.Flush()
}

func nameOf(e hsstate.Entry) string {
	switch c := e.Command; {
	case c.Cancel != nil:
		return string(c.Cancel.Jobs[0])
	case c.Members != nil:
		return fmt.Sprintf("members@%d", e.Term)
	}
	return fmt.Sprintf("empty@%d", e.Term)
}

// Apply checks an applied entry against the oracle.
func (n *node) Apply(e hsstate.Entry) {
	name := nameOf(e)
	if want, ok := n.c.log[e.Index]; ok && want != name {
		n.c.t.Fatalf("replica %d at index %d: got %s applied, want %s", n.id, e.Index, name, want)
	}
	n.c.log[e.Index] = name
	n.applied = append(n.applied, name)
	if n.replica == nil || n.replica.Role() != hsquorum.Leader {
		return
	}
	if n.c.proposed[name] == (proposal{by: n.id, term: n.replica.Term()}) {
		n.c.acknowledged = append(n.c.acknowledged, name)
		delete(n.c.proposed, name)
	}
}

// Snapshot encodes the applied list.
func (n *node) Snapshot() []byte {
	data, _ := json.Marshal(n.applied)
	return data
}

// Restore replaces the applied list.
func (n *node) Restore(data []byte) error { return json.Unmarshal(data, &n.applied) }

// leaders returns the nodes that may act as leader now.
func (c *cluster) leaders() []*node {
	var all []*node
	for _, n := range c.nodes {
		if n.replica != nil && n.replica.Leading() {
			all = append(all, n)
		}
	}
	return all
}

// check looks at what must hold at every moment.
func (c *cluster) check() {
	c.t.Helper()
	leaders := c.leaders()
	if len(leaders) > 1 {
		c.t.Fatalf("got leaders %d and %d at once, want one", leaders[0].id, leaders[1].id)
	}
	for _, n := range c.nodes {
		if n.replica == nil || n.replica.Role() != hsquorum.Leader {
			continue
		}
		if id, ok := c.terms[n.replica.Term()]; ok && id != n.id {
			c.t.Fatalf("term %d: got leaders %d and %d, want one", n.replica.Term(), id, n.id)
		}
		c.terms[n.replica.Term()] = n.id
	}
}

// advance lets time pass and wakes who is due.
func (c *cluster) advance(d time.Duration) {
	c.now += d
	for _, n := range c.nodes {
		if n.replica != nil && !n.replica.NextWake().After(n.Now()) {
			n.replica.Wake()
			n.replica.Flush()
		}
	}
	c.check()
}

// deliver hands over the message at a place of the list.
func (c *cluster) deliver(i int, keep bool) {
	f := c.flights[i]
	if !keep {
		c.flights = slices.Delete(c.flights, i, i+1)
	}
	n := c.node(f.to)
	if n.replica == nil || c.cut[[2]hsid.ReplicaID{f.from, f.to}] {
		return
	}
	n.replica.Receive(f.message)
	n.replica.Flush()
	c.check()
}

// run lets the cluster work: messages arrive, saves end, time passes.
func (c *cluster) run(rounds int, d time.Duration) {
	for range rounds {
		for _, n := range c.nodes {
			n.sync()
		}
		for i := len(c.flights); i > 0; i-- {
			c.deliver(0, false)
		}
		c.advance(d)
	}
}

// isolate cuts a node off from all others.
func (c *cluster) isolate(id hsid.ReplicaID) {
	for _, n := range c.nodes {
		c.cut[[2]hsid.ReplicaID{id, n.id}] = true
		c.cut[[2]hsid.ReplicaID{n.id, id}] = true
	}
}

func (c *cluster) node(id hsid.ReplicaID) *node { return c.nodes[id-1] }

// propose has a leader append a command of its own name.
func (c *cluster) propose() {
	for _, n := range c.leaders() {
		c.count++
		name := fmt.Sprintf("x%d", c.count)
		_, err := n.replica.Propose(hsstate.Command{Cancel: &hsstate.CancelJobs{Jobs: []hsid.JobID{hsid.JobID(name)}}})
		if err == nil {
			c.proposed[name] = proposal{by: n.id, term: n.replica.Term()}
			n.replica.Flush()
		}
	}
}

// change has a leader propose a change of one member.
func (c *cluster) change(id hsid.ReplicaID, kind int) {
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

// settle heals everything and runs until the members agree; then every acknowledged command must be there.
func (c *cluster) settle() {
	c.t.Helper()
	clear(c.cut)
	for _, n := range c.nodes {
		if n.replica == nil {
			n.start()
		}
	}
	for range 4000 {
		for _, n := range c.nodes {
			n.sync()
		}
		for len(c.flights) > 0 {
			c.deliver(0, false)
			for _, n := range c.nodes {
				n.sync()
			}
		}
		if c.agreed() {
			c.checkAcknowledged()
			return
		}
		c.advance(20 * time.Millisecond)
	}
	c.t.Fatalf("got no agreement after healing, want one:%s", c.describe())
}

// describe lists where every replica stands.
func (c *cluster) describe() string {
	text := ""
	for _, n := range c.nodes {
		r := n.replica
		text += fmt.Sprintf("\n%d: %s term %d commit %d last %d applied %d base %d members %v",
			n.id, r.Role(), r.Term(), r.Commit(), r.Last(), len(n.applied), r.LogLength(), r.Members())
	}
	return text
}

// agreed reports whether a leader and all its members have applied the same log.
func (c *cluster) agreed() bool {
	leaders := c.leaders()
	if len(leaders) != 1 {
		return false
	}
	l := leaders[0]
	if l.replica.Commit() != l.replica.Last() {
		return false
	}
	for _, m := range l.replica.Members() {
		if len(c.node(m.ID).applied) != len(l.applied) {
			return false
		}
	}
	return true
}

func (c *cluster) checkAcknowledged() {
	c.t.Helper()
	l := c.leaders()[0]
	at := map[string]int{}
	for i, name := range l.applied {
		if _, twice := at[name]; twice && name[0] == 'x' {
			c.t.Fatalf("got %s applied twice, want once", name)
		}
		at[name] = i
	}
	last := -1
	for _, name := range c.acknowledged {
		i, ok := at[name]
		if !ok {
			c.t.Fatalf("got %s lost, want every acknowledged command", name)
		}
		if i < last {
			c.t.Fatalf("got %s out of order", name)
		}
		last = i
	}
}
