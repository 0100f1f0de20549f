package hsquorum_test

import (
	"errors"
	"os"
	"testing"
	"time"

	"hyssopseam/core/command/hsquorum"
	"hyssopseam/core/hsid"
	"hyssopseam/core/hsstate"
	"hyssopseam/internal/fixedseed"
)

func TestMain(m *testing.M) { os.Exit(fixedseed.Run(m)) }

const round = 25 * time.Millisecond

// lead runs until there is a leader and returns it.
func lead(t *testing.T, c *cluster) *node {
	t.Helper()
	for range 400 {
		c.run(1, round)
		if l := c.leaders(); len(l) == 1 {
			return l[0]
		}
	}
	t.Fatal("got no leader, want one")
	return nil
}

func follower(c *cluster, l *node) *node {
	for _, n := range c.nodes {
		if n != l {
			return n
		}
	}
	return nil
}

// TestScenarios plays single failures and then settles, which checks the acknowledged commands.
func TestScenarios(t *testing.T) {
	tables := []struct {
		name     string
		voters   int
		learners int
		play     func(t *testing.T, c *cluster)
	}{
		{"one replica", 1, 0, func(t *testing.T, c *cluster) {
			lead(t, c)
			c.propose()
			c.run(10, round)
		}},
		{"a replica back from a long cut doesn't depose the leader", 3, 0, func(t *testing.T, c *cluster) {
			l := lead(t, c)
			term := l.replica.Term()
			c.isolate(follower(c, l).id)
			c.run(400, round)
			clear(c.cut)
			c.run(100, round)
			if got := lead(t, c); got != l || got.replica.Term() != term {
				t.Errorf("got leader %d in term %d, want %d in %d", got.id, got.replica.Term(), l.id, term)
			}
		}},
		{"a leader cut off stops acting before another starts", 3, 0, func(t *testing.T, c *cluster) {
			l := lead(t, c)
			c.isolate(l.id)
			c.run(200, round)
			if got := lead(t, c); got == l {
				t.Errorf("got leader %d, want another", got.id)
			}
			c.propose()
			c.run(20, round)
		}},
		{"all replicas killed after an acknowledgement", 3, 0, func(t *testing.T, c *cluster) {
			lead(t, c)
			c.propose()
			c.run(20, round)
			for _, n := range c.nodes {
				n.crash(false)
			}
			c.flights = nil
			for _, n := range c.nodes {
				n.start()
			}
			lead(t, c)
		}},
		{"a restarted replica votes for nobody within an election timeout", 3, 0, func(t *testing.T, c *cluster) {
			l := lead(t, c)
			x := follower(c, l)
			for _, n := range c.nodes {
				if n != l && n != x {
					c.cut[[2]hsid.ReplicaID{l.id, n.id}] = true
					c.cut[[2]hsid.ReplicaID{n.id, l.id}] = true
				}
			}
			for range 60 {
				delete(c.cut, [2]hsid.ReplicaID{l.id, x.id})
				delete(c.cut, [2]hsid.ReplicaID{x.id, l.id})
				for range 100 {
					if c.run(1, round); l.replica.Leading() {
						break
					}
				}
				c.cut[[2]hsid.ReplicaID{l.id, x.id}] = true
				c.cut[[2]hsid.ReplicaID{x.id, l.id}] = true
				x.crash(true)
				x.start()
				c.run(18, round)
			}
		}},
		{"a removed leader commits its removal although only it has the entry", 2, 0, func(t *testing.T, c *cluster) {
			l := lead(t, c)
			next := hsstate.Member{ID: follower(c, l).id, Address: address(follower(c, l).id), Voter: true}
			command := hsstate.Command{Members: &hsstate.SetMembers{Cluster: "c", Members: []hsstate.Member{next}}}
			if _, err := l.replica.Propose(command); err != nil {
				t.Fatal(err)
			}
			l.replica.Flush()
			l.sync()
			l.crash(true)
			c.flights = nil
			l.start()
		}},
		{"a learner far behind is brought up by snapshot in chunks", 3, 1, func(t *testing.T, c *cluster) {
			lead(t, c)
			for range 60 {
				c.propose()
				c.run(4, round)
			}
			c.change(4, 0)
			c.run(60, round)
			c.change(4, 1)
			c.run(20, round)
			if got := len(hsstate.Voters(lead(t, c).replica.Members())); got != 4 {
				t.Errorf("got %d voters, want 4", got)
			}
		}},
		{"a repaired cluster survives a second loss", 3, 1, func(t *testing.T, c *cluster) {
			l := lead(t, c)
			lost := follower(c, l)
			lost.crash(false)
			c.propose()
			c.run(20, round)
			c.change(4, 0)
			c.run(40, round)
			c.change(4, 1)
			c.run(40, round)
			c.change(lost.id, 2)
			c.run(40, round)
			for _, n := range c.nodes {
				if n != lost && n != l && n.id != 4 {
					n.crash(false)
				}
			}
			c.propose()
			c.run(40, round)
			if got := lead(t, c); got == lost {
				t.Errorf("got %d leading, want a member", got.id)
			}
		}},
		{"leadership is handed over at once", 3, 0, func(t *testing.T, c *cluster) {
			l := lead(t, c)
			if !l.replica.HandOver() || l.replica.Leading() {
				t.Errorf("got a leader that handed over and still leads")
			}
			c.run(12, round)
			if got := c.leaders(); len(got) != 1 || got[0] == l {
				t.Errorf("got %d leaders after half a second, want another one", len(got))
			}
		}},
	}
	for _, tt := range tables {
		t.Run(tt.name, func(t *testing.T) {
			c := newCluster(t, 7, tt.voters, tt.learners, hsquorum.Config{SnapshotEvery: 20, Retain: 4, Chunk: 16})
			tt.play(t, c)
			c.settle()
		})
	}
}

// TestMembershipRefusals asks for changes that could lose the quorum.
func TestMembershipRefusals(t *testing.T) {
	member := func(id hsid.ReplicaID, voter bool) hsstate.Member {
		return hsstate.Member{ID: id, Address: address(id), Voter: voter}
	}
	tables := []struct {
		name string
		next []hsstate.Member
		dead hsid.ReplicaID
	}{
		{"two at once", []hsstate.Member{member(1, true)}, 0},
		{"no voter", nil, 0},
		{"a voter that holds nothing", []hsstate.Member{member(1, true), member(2, true), member(3, true), member(4, true)}, 0},
	}
	for _, tt := range tables {
		c := newCluster(t, 3, 3, 1, hsquorum.Config{})
		l := lead(t, c)
		_, err := l.replica.Propose(hsstate.Command{Members: &hsstate.SetMembers{Cluster: "c", Members: tt.next}})
		if !errors.Is(err, hsquorum.ErrMembership) {
			t.Errorf("%s: got %v, want %v", tt.name, err, hsquorum.ErrMembership)
		}
	}
	c := newCluster(t, 3, 3, 0, hsquorum.Config{})
	l := lead(t, c)
	follower(c, l).crash(false)
	c.run(60, round)
	var next []hsstate.Member
	for _, m := range l.replica.Members() {
		if m.ID == l.id || c.node(m.ID).replica == nil {
			next = append(next, m)
		}
	}
	_, err := l.replica.Propose(hsstate.Command{Members: &hsstate.SetMembers{Cluster: "c", Members: next}})
	if !errors.Is(err, hsquorum.ErrMembership) {
		t.Errorf("removing a live voter beside a dead one: got %v, want %v", err, hsquorum.ErrMembership)
	}
}

// TestLogBytes checks that the log is compacted by its size, however few its entries are.
func TestLogBytes(t *testing.T) {
	const bound = 4 * hsid.KiB
	c := newCluster(t, 3, 3, 0, hsquorum.Config{SnapshotBytes: bound})
	l := lead(t, c)
	var size hsstate.Command
	most := int(bound/size.Size()) + int(bound/2/size.Size())
	for range 100 {
		c.propose()
		c.run(4, round)
		if got := l.replica.LogLength(); got > most+1 {
			t.Fatalf("got %d entries in the log, want at most %d", got, most+1)
		}
	}
	c.settle()
}

// TestStuckDisk checks that a leader whose disk answers nothing gives way to another, and stands for nothing
// until it does again.
func TestStuckDisk(t *testing.T) {
	c := newCluster(t, 5, 3, 0, hsquorum.Config{})
	l := lead(t, c)
	l.stuck = true
	c.propose()
	c.run(80, round)
	next := lead(t, c)
	if next == l {
		t.Fatalf("got replica %d leading with a stuck disk, want another", l.id)
	}
	c.propose()
	c.run(200, round)
	if l.replica.Role() == hsquorum.Leader {
		t.Errorf("got replica %d leading with a stuck disk, want another", l.id)
	}
	l.stuck = false
	c.settle()
}
