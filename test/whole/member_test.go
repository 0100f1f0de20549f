package whole

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"hyssopseam/core/command/hscontrol"
	"hyssopseam/core/hsstate"
	"hyssopseam/internal/play"
)

const (
	// tolerated is how many disks may be lost at once.
	tolerated = 2
	// mended is how long after a loss it no longer counts.
	mended = 4 * time.Second
)

// memberBench is a cluster of five control replicas whose disks are lost.
type memberBench struct {
	*workBench
	// lost holds the replicas that are without disk, power or links. One counts as lost until mended after its
	// return, which is noted in since.
	lost  map[int]bool
	cut   map[int]bool
	since map[int]time.Duration
}

func newMemberBench(t *rapid.T) *memberBench {
	control := hscontrol.Config{ReplaceAfter: 1500 * time.Millisecond}
	control.Quorum.SnapshotEvery = rapid.SampledFrom([]int{10, 1000}).Draw(t, "snapshotEvery")
	control.Quorum.Retain = 4
	w := play.New(play.Config{
		Seed:     rapid.Uint64().Draw(t, "seed"),
		Controls: 2*tolerated + 1,
		Control:  control,
		Interval: 500 * time.Millisecond,
		SyncTime: time.Duration(rapid.SampledFrom([]int{1, 6, 60}).Draw(t, "sync")) * time.Millisecond,
		Lose:     rapid.SampledFrom([]float64{0, 0.03}).Draw(t, "lose"),
		Double:   0.03,
		Late:     rapid.SampledFrom([]float64{0, 0.03}).Draw(t, "late"),
		Drift:    0.015,
		Copy:     true,
	})
	b := &memberBench{workBench: &workBench{t: t, w: w}, lost: map[int]bool{}, cut: map[int]bool{}, since: map[int]time.Duration{}}
	w.Run(5 * time.Second)
	b.put()
	w.Run(2 * time.Second)
	return b
}

// lose reports whether one more replica may be lost, and notes it.
func (b *memberBench) lose(i int) bool {
	count := 0
	for k, n := range b.w.Controls {
		if k != i && (b.lost[k] || n.Role() == nil || b.w.Now()-b.since[k] < mended && b.since[k] > 0) {
			count++
		}
	}
	if count >= tolerated {
		return false
	}
	b.lost[i] = true
	return true
}

// back notes that a replica is whole again, unless it is still cut off or down.
func (b *memberBench) back(i int) {
	if b.lost[i] && !b.cut[i] && b.w.Controls[i].Role() != nil {
		b.lost[i] = false
		b.since[i] = b.w.Now()
	}
}

func (b *memberBench) step() {
	t, w := b.t, b.w
	i := rapid.IntRange(0, len(w.Controls)-1).Draw(t, "control")
	n := w.Controls[i]
	switch kind := rapid.IntRange(0, 99).Draw(t, "step"); {
	case kind < 40:
		w.Run(time.Duration(rapid.IntRange(1, 1500).Draw(t, "milliseconds")) * time.Millisecond)
	case kind < 60:
		b.put()
	case kind < 70:
		b.read()
	case kind < 75:
		if n.Role() != nil && b.lose(i) {
			n.Crash(rapid.Bool().Draw(t, "written"))
		}
	case kind < 82:
		if b.lose(i) {
			n.Wipe()
		}
	case kind < 84:
		// Two disks are lost and all others lose power, right after an acknowledgement or whenever it comes.
		b.disaster(i)
	case kind < 87:
		if n.Role() != nil && b.lose(i) {
			b.cut[i] = true
			w.Isolate(n.Peer())
		}
	case kind < 90:
		w.Heal()
		clear(b.cut)
		for k := range w.Controls {
			b.back(k)
		}
	default:
		if n.Role() == nil {
			n.Start()
			b.lost[i] = true
			b.back(i)
		}
	}
}

// disaster wipes as many disks as are tolerated while all other replicas lose power, and starts all again.
func (b *memberBench) disaster(first int) {
	for k := range b.w.Controls {
		if b.lost[k] || b.w.Controls[k].Role() == nil || b.since[k] > 0 && b.w.Now()-b.since[k] < mended {
			return
		}
	}
	for k, n := range b.w.Controls {
		if k == first || k == (first+1)%len(b.w.Controls) {
			n.Wipe()
			continue
		}
		n.Crash(rapid.Bool().Draw(b.t, "written"))
	}
	for k, n := range b.w.Controls {
		n.Start()
		b.lost[k] = true
		b.back(k)
	}
}

// settle brings everything back and checks that the cluster is whole and has kept what it acknowledged.
func (b *memberBench) settle() {
	w := b.w
	w.Heal()
	w.Faultless()
	for _, n := range w.Controls {
		n.Start()
	}
	whole := func() bool {
		l := w.Leader()
		if l == nil || len(l.Replica().Members()) != len(w.Controls) || len(hsstate.Voters(l.Replica().Members())) != len(w.Controls) {
			return false
		}
		for _, m := range l.Replica().Members() {
			if !l.Replica().Alive(m.ID) || !l.Replica().CaughtUp(m.ID) {
				return false
			}
		}
		return true
	}
	if !w.Await(40*time.Second, whole) {
		b.t.Fatalf("the cluster isn't whole again: %s", b.members())
	}
	if got := w.Leader().State().Work.Catalog.Version; got < b.acknowledged {
		b.t.Fatalf("got catalog %d, want %d, which was acknowledged, or later", got, b.acknowledged)
	}
}

func (b *memberBench) members() string {
	text := ""
	for _, n := range b.w.Controls {
		if r := n.Role(); r != nil {
			text += fmt.Sprintf("%s: %s term %d members %v; ", n.Peer(), r.Replica().Role(), r.Replica().Term(), r.Replica().Members())
		}
	}
	return text
}

// TestMembers loses, wipes, cuts off and restarts five control replicas, never more than two at once counting
// those that came back a short while ago, and now and then two disks while all others lose power. What was
// acknowledged stays, and the cluster becomes whole again without an operator.
func TestMembers(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		b := newMemberBench(t)
		for range rapid.IntRange(30, 200).Draw(t, "steps") {
			b.step()
		}
		b.settle()
	})
}

// TestReplacement checks that a newcomer at another address takes the place of a replica that is gone, and that
// the old one does no harm when it comes back after all.
func TestReplacement(t *testing.T) {
	tables := []struct {
		name string
		gone int
		back bool
	}{
		{"the founder is gone for good", 0, false},
		{"another one is gone for good", 3, false},
		{"one comes back after it was replaced", 2, true},
	}
	for _, tt := range tables {
		w := play.New(play.Config{
			Seed:     7,
			Controls: 2*tolerated + 1,
			Control:  hscontrol.Config{ReplaceAfter: 1500 * time.Millisecond},
			Interval: 500 * time.Millisecond,
			Copy:     true,
		})
		w.Run(3 * time.Second)
		old := w.Controls[tt.gone]
		old.Crash(true)
		added := w.AddControl()
		placed := func() bool {
			l := w.Leader()
			if l == nil {
				return false
			}
			members := l.Replica().Members()
			at := slices.IndexFunc(members, func(m hsstate.Member) bool { return m.Address == added.Peer() && m.Voter })
			return at >= 0 && len(members) == 2*tolerated+1
		}
		if !w.Await(mended+6*time.Second, placed) {
			t.Errorf("%s: got no newcomer among the five voters", tt.name)
			continue
		}
		if !tt.back {
			continue
		}
		term := w.Leader().Replica().Term()
		old.Start()
		w.Run(20 * time.Second)
		if l := w.Leader(); l == nil || l.Replica().Term() != term {
			t.Errorf("%s: got another leader than that of term %d", tt.name, term)
		}
	}
}

// TestDeadNewcomer checks that a newcomer whose disk is lost again before it joins doesn't keep another one
// waiting. Found by TestMembers (seed 1710091).
func TestDeadNewcomer(t *testing.T) {
	w := play.New(play.Config{
		Seed:     11,
		Controls: 2*tolerated + 1,
		Control:  hscontrol.Config{ReplaceAfter: 1500 * time.Millisecond},
		Interval: 500 * time.Millisecond,
		Copy:     true,
	})
	w.Run(3 * time.Second)
	dead, live := w.Controls[2], w.Controls[3]
	for _, n := range []*play.Control{dead, live} {
		n.Wipe()
		n.Start()
	}
	if dead.Role().Replica().ID() > live.Role().Replica().ID() {
		// The one with the lower identifier is the first in line.
		dead, live = live, dead
	}
	first := dead.Role().Replica().ID()
	joined := func() bool {
		l := w.Leader()
		return l != nil && hsstate.MemberIndex(l.Replica().Members(), first) >= 0
	}
	if !w.Await(mended, joined) {
		t.Fatalf("got replica %d not joining, want it to", first)
	}
	dead.Wipe()
	id := live.Role().Replica().ID()
	votes := func() bool {
		l := w.Leader()
		if l == nil {
			return false
		}
		at := hsstate.MemberIndex(l.Replica().Members(), id)
		return at >= 0 && l.Replica().Members()[at].Voter
	}
	if !w.Await(mended, votes) {
		t.Errorf("got no vote for the newcomer within %s", mended)
	}
}
