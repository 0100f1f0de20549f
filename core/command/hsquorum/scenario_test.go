package hsquorum_test

import (
	"errors"
	"os"
	"slices"
	"testing"
	"time"

	"hyssopseam/core/command/hsquorum"
	"hyssopseam/core/hsid"
	"hyssopseam/core/hsmessage"
	"hyssopseam/core/hsstate"
	"hyssopseam/internal/fixedseed"
)

func TestMain(m *testing.M) { os.Exit(fixedseed.Run(m)) }

const tick = 25 * time.Millisecond

// waitForLeader runs the cluster until there is an acting leader and returns it.
func waitForLeader(t *testing.T, c *cluster) *node {
	t.Helper()
	for range 400 {
		c.runTicks(1, tick)
		if l := c.leaders(); len(l) == 1 {
			return l[0]
		}
	}
	t.Fatal("got no leader, want one")
	return nil
}

// anyFollower returns a node other than the leader.
func anyFollower(c *cluster, l *node) *node {
	for _, n := range c.nodes {
		if n != l {
			return n
		}
	}
	return nil
}

// TestScenarios injects specific failures, then heals the cluster and checks the acknowledged commands.
func TestScenarios(t *testing.T) {
	tables := []struct {
		name     string
		voters   int
		learners int
		run      func(t *testing.T, c *cluster)
	}{
		{"one replica", 1, 0, func(t *testing.T, c *cluster) {
			waitForLeader(t, c)
			c.propose()
			c.runTicks(10, tick)
		}},
		{"a replica that rejoins after a long partition doesn't depose the leader", 3, 0, func(t *testing.T, c *cluster) {
			l := waitForLeader(t, c)
			term := l.replica.Term()
			c.isolate(anyFollower(c, l).id)
			c.runTicks(400, tick)
			clear(c.cutLinks)
			c.runTicks(100, tick)
			if got := waitForLeader(t, c); got != l || got.replica.Term() != term {
				t.Errorf("got leader %d in term %d, want %d in %d", got.id, got.replica.Term(), l.id, term)
			}
		}},
		{"a partitioned leader stops acting before another starts", 3, 0, func(t *testing.T, c *cluster) {
			l := waitForLeader(t, c)
			c.isolate(l.id)
			c.runTicks(200, tick)
			if got := waitForLeader(t, c); got == l {
				t.Errorf("got leader %d, want another", got.id)
			}
			c.propose()
			c.runTicks(20, tick)
		}},
		{"a command survives the crash of all replicas after its acknowledgement", 3, 0, func(t *testing.T, c *cluster) {
			waitForLeader(t, c)
			c.propose()
			c.runTicks(20, tick)
			for _, n := range c.nodes {
				n.crash(false)
			}
			c.inFlight = nil
			for _, n := range c.nodes {
				n.start()
			}
			waitForLeader(t, c)
		}},
		{"a restarted replica grants no vote within an election timeout", 3, 0, func(t *testing.T, c *cluster) {
			l := waitForLeader(t, c)
			x := anyFollower(c, l)
			for _, n := range c.nodes {
				if n != l && n != x {
					c.cutLinks[[2]hsid.ReplicaID{l.id, n.id}] = true
					c.cutLinks[[2]hsid.ReplicaID{n.id, l.id}] = true
				}
			}
			for range 60 {
				delete(c.cutLinks, [2]hsid.ReplicaID{l.id, x.id})
				delete(c.cutLinks, [2]hsid.ReplicaID{x.id, l.id})
				for range 100 {
					if c.runTicks(1, tick); l.replica.Leading() {
						break
					}
				}
				c.cutLinks[[2]hsid.ReplicaID{l.id, x.id}] = true
				c.cutLinks[[2]hsid.ReplicaID{x.id, l.id}] = true
				x.crash(true)
				x.start()
				c.runTicks(18, tick)
			}
		}},
		{"a leader commits its own removal although only it has the entry", 2, 0, func(t *testing.T, c *cluster) {
			l := waitForLeader(t, c)
			next := hsstate.Member{ID: anyFollower(c, l).id, Address: address(anyFollower(c, l).id), Voter: true}
			command := hsstate.Command{Members: &hsstate.SetMembers{Cluster: "c", Members: []hsstate.Member{next}}}
			if _, err := l.replica.Propose(command); err != nil {
				t.Fatal(err)
			}
			l.replica.Flush()
			l.finishSave()
			l.crash(true)
			c.inFlight = nil
			l.start()
		}},
		{"a learner that is far behind catches up from a snapshot in chunks", 3, 1, func(t *testing.T, c *cluster) {
			waitForLeader(t, c)
			for range 60 {
				c.propose()
				c.runTicks(4, tick)
			}
			c.proposeChange(4, 0)
			c.runTicks(60, tick)
			c.proposeChange(4, 1)
			c.runTicks(20, tick)
			if got := len(hsstate.Voters(waitForLeader(t, c).replica.Members())); got != 4 {
				t.Errorf("got %d voters, want 4", got)
			}
		}},
		// Guards against a snapshot put together from the parts of two leaders (review case 7).
		{"the leader changes while a learner receives its snapshot", 3, 1, func(t *testing.T, c *cluster) {
			waitForLeader(t, c)
			for range 60 {
				c.propose()
				c.runTicks(4, tick)
			}
			c.proposeChange(4, 0)
			for range 3 {
				l := waitForLeader(t, c)
				c.runTicks(10, tick)
				if got := c.node(4).replica.CommitIndex(); got != 0 {
					t.Fatalf("got a commit index of %d on the learner, want a snapshot under way", got)
				}
				clear(c.cutLinks)
				c.isolate(l.id)
				c.runTicks(30, tick)
			}
			clear(c.cutLinks)
			c.runTicks(200, tick)
			c.proposeChange(4, 1)
			c.runTicks(20, tick)
		}},
		{"a cluster that replaced a lost replica survives a second loss", 3, 1, func(t *testing.T, c *cluster) {
			l := waitForLeader(t, c)
			lost := anyFollower(c, l)
			lost.crash(false)
			c.propose()
			c.runTicks(20, tick)
			c.proposeChange(4, 0)
			c.runTicks(40, tick)
			c.proposeChange(4, 1)
			c.runTicks(40, tick)
			c.proposeChange(lost.id, 2)
			c.runTicks(40, tick)
			for _, n := range c.nodes {
				if n != lost && n != l && n.id != 4 {
					n.crash(false)
				}
			}
			c.propose()
			c.runTicks(40, tick)
			if got := waitForLeader(t, c); got == lost {
				t.Errorf("got the removed replica %d as leader, want a member", got.id)
			}
		}},
		{"leadership is transferred without an election timeout", 3, 0, func(t *testing.T, c *cluster) {
			l := waitForLeader(t, c)
			if !l.replica.TransferLeadership() || l.replica.Leading() {
				t.Errorf("got no transfer, or a leader that still leads after it")
			}
			c.runTicks(12, tick)
			if got := c.leaders(); len(got) != 1 || got[0] == l {
				t.Errorf("got %d leaders 300 ms after the transfer, want one other than the last", len(got))
			}
		}},
	}
	for _, tt := range tables {
		t.Run(tt.name, func(t *testing.T) {
			c := newCluster(t, 7, tt.voters, tt.learners, hsquorum.Config{SnapshotEntries: 20, RetainEntries: 4, SnapshotChunkBytes: 16})
			tt.run(t, c)
			c.healAndCheck()
		})
	}
}

// TestMembershipRefusals checks that membership changes that could lose the quorum are refused.
func TestMembershipRefusals(t *testing.T) {
	member := func(id hsid.ReplicaID, voter bool) hsstate.Member {
		return hsstate.Member{ID: id, Address: address(id), Voter: voter}
	}
	tables := []struct {
		name string
		next []hsstate.Member
		dead hsid.ReplicaID
	}{
		{"two changes at once", []hsstate.Member{member(1, true)}, 0},
		{"no voters", nil, 0},
		{"a new voter without any entries", []hsstate.Member{member(1, true), member(2, true), member(3, true), member(4, true)}, 0},
	}
	for _, tt := range tables {
		c := newCluster(t, 3, 3, 1, hsquorum.Config{})
		l := waitForLeader(t, c)
		_, err := l.replica.Propose(hsstate.Command{Members: &hsstate.SetMembers{Cluster: "c", Members: tt.next}})
		if !errors.Is(err, hsquorum.ErrMembership) {
			t.Errorf("%s: got %v, want %v", tt.name, err, hsquorum.ErrMembership)
		}
	}
	c := newCluster(t, 3, 3, 0, hsquorum.Config{})
	l := waitForLeader(t, c)
	anyFollower(c, l).crash(false)
	c.runTicks(60, tick)
	var next []hsstate.Member
	for _, m := range l.replica.Members() {
		if m.ID == l.id || c.node(m.ID).replica == nil {
			next = append(next, m)
		}
	}
	_, err := l.replica.Propose(hsstate.Command{Members: &hsstate.SetMembers{Cluster: "c", Members: next}})
	if !errors.Is(err, hsquorum.ErrMembership) {
		t.Errorf("removing a live voter while another is down: got %v, want %v", err, hsquorum.ErrMembership)
	}
}

// TestLogBytes checks that the log is compacted once it exceeds SnapshotBytes, however few entries it has.
func TestLogBytes(t *testing.T) {
	const maxBytes = 4 * hsid.KiB
	c := newCluster(t, 3, 3, 0, hsquorum.Config{SnapshotBytes: maxBytes})
	l := waitForLeader(t, c)
	maxEntries := int(maxBytes/entrySize) + int(maxBytes/2/entrySize)
	for range 100 {
		c.propose()
		c.runTicks(4, tick)
		if got := l.replica.LogLength(); got > maxEntries+1 {
			t.Fatalf("got %d entries in the log, want at most %d", got, maxEntries+1)
		}
	}
	c.healAndCheck()
}

// TestStuckDisk checks that a leader whose disk completes no saves transfers leadership, and doesn't become leader
// again until its disk recovers.
func TestStuckDisk(t *testing.T) {
	c := newCluster(t, 5, 3, 0, hsquorum.Config{})
	l := waitForLeader(t, c)
	l.diskStuck = true
	c.propose()
	c.runTicks(80, tick)
	next := waitForLeader(t, c)
	if next == l {
		t.Fatalf("got replica %d leading with a stuck disk, want another", l.id)
	}
	c.propose()
	c.runTicks(200, tick)
	if l.replica.Role() == hsquorum.Leader {
		t.Errorf("got replica %d leading with a stuck disk, want another", l.id)
	}
	l.diskStuck = false
	c.healAndCheck()
}

// TestSnapshotBesidePendingOne takes snapshots after every few entries while the disk of a follower stalls and its links
// fail at random. When the follower installs the leader's snapshot while its own next one is due, the size that it
// counted belongs to entries that the installed snapshot contains, and the next append must not compact the empty log.
func TestSnapshotBesidePendingOne(t *testing.T) {
	for _, seed := range []uint64{36, 423, 519, 987} {
		c := newCluster(t, seed, 3, 0, hsquorum.Config{SnapshotBytes: 3 * entrySize, RetainEntries: 1})
		f := anyFollower(c, waitForLeader(t, c))
		for range 600 {
			f.diskStuck = c.random.IntN(3) > 0
			switch c.random.IntN(12) {
			case 0:
				c.isolate(f.id)
			case 1, 2:
				clear(c.cutLinks)
			}
			for range c.random.IntN(4) {
				c.propose()
			}
			c.runTicks(1, tick)
		}
		f.diskStuck = false
		c.healAndCheck()
	}
}

// payloads counts, for each replica, the entries and the bytes of snapshots that are in flight to it.
func (c *cluster) payloads(to hsid.ReplicaID) (entries int, snapshot hsid.Bytes) {
	for _, e := range c.inFlight {
		switch m := e.message.(type) {
		case hsmessage.AppendRequest:
			if e.to == to {
				entries += len(m.Entries)
			}
		case hsmessage.SnapshotChunk:
			if e.to == to {
				snapshot += hsid.Bytes(len(m.Data))
			}
		}
	}
	return entries, snapshot
}

// TestSlowReplica checks that a replica that is slow to handle its messages is sent what it hasn't acknowledged only once, and
// that a part that was lost is sent again. Guards against heartbeats that each carry the same entries or the same part of
// the state: a joining replica falls behind further with each of them, and is removed as silent.
func TestSlowReplica(t *testing.T) {
	const chunk = 16
	tables := []struct {
		name     string
		learner  bool
		entries  int
		snapshot hsid.Bytes
	}{
		{"entries", false, 3, 0},
		{"a part of the state", true, 0, chunk},
	}
	for _, tt := range tables {
		for _, lost := range []bool{false, true} {
			c := newCluster(t, 9, 3, 1, hsquorum.Config{SnapshotEntries: 20, RetainEntries: 4, SnapshotChunkBytes: chunk})
			l := waitForLeader(t, c)
			slow := anyFollower(c, l)
			if tt.learner {
				slow = c.node(4)
				for range 30 {
					c.propose()
					c.runTicks(4, tick)
				}
			}
			c.runTicks(8, tick)
			if tt.learner {
				c.proposeChange(slow.id, 0)
				c.runTicks(8, tick)
			}
			c.held = slow.id
			for range tt.entries {
				l.propose()
			}
			l.replica.Flush()
			c.runTicks(80, tick)
			entries, snapshot := c.payloads(slow.id)
			if entries != tt.entries || snapshot != tt.snapshot {
				t.Errorf("%s: got %d entries and %d bytes of the state in flight, want %d and %d", tt.name, entries, snapshot, tt.entries, tt.snapshot)
			}
			if lost {
				c.inFlight = slices.DeleteFunc(c.inFlight, func(e envelope) bool { return e.to == slow.id })
			}
			c.held = 0
			c.healAndCheck()
		}
	}
}

// TestSilentReplica checks that what a leader remembers of a replica that never answers is bounded, and that the replica
// catches up when it returns. Guards against memory that grows with each heartbeat.
func TestSilentReplica(t *testing.T) {
	const maxRounds = 1000
	c := newCluster(t, 4, 3, 0, hsquorum.Config{})
	l := waitForLeader(t, c)
	silent := anyFollower(c, l)
	c.isolate(silent.id)
	for range 40 {
		c.propose()
		c.runTicks(250, tick)
	}
	if got := l.replica.Unanswered(silent.id); got > maxRounds {
		t.Errorf("got %d rounds remembered, want at most %d", got, maxRounds)
	}
	c.healAndCheck()
}
