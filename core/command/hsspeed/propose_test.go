package hsspeed_test

import (
	"fmt"
	"testing"
	"time"

	"hyssopseam/core/command/hsspeed"
	"hyssopseam/core/hsid"
	"hyssopseam/core/hswork"
)

// commit applies the proposals of a tracker to committed speeds, at the cluster time of the fleet.
func (f *fleet) commit(committed map[hsid.InstanceID]hswork.WorkerSpeed) int {
	u := f.tracker.Proposal(f.now, f.now.Sub(f.began))
	if u == nil {
		return 0
	}
	for _, s := range u.Speeds {
		committed[s.Worker] = s
	}
	f.tracker.Committed(u, f.now)
	return len(u.Speeds)
}

// TestNextLeader checks that a leader that begins with the committed speeds knows the slow workers at once. Without them urgent
// jobs are late again after each change of leader.
func TestNextLeader(t *testing.T) {
	tables := []struct {
		load    string
		down    time.Duration
		rms     float64
		uneven  bool
		lowest  float64
		highest float64
	}{
		{"another replica takes over", 2 * time.Second, 0.2, true, 0.001, 0.08},
		{"all control processes are restarted", 20 * time.Second, 0.2, true, 0.03, 0.11},
		{"another replica takes over after a quiet time", 10 * time.Minute, 0.2, true, 0.16, 0.16},
		{"the cluster was down for hours", 3 * time.Hour, 1, false, 0, 0},
	}
	for _, tt := range tables {
		f := newFleet(60, aThird(2.4))
		committed := map[hsid.InstanceID]hswork.WorkerSpeed{}
		for range 40 {
			f.advance(500 * time.Millisecond)
			f.commit(committed)
		}
		f.now = f.now.Add(tt.down)
		f.tracker = hsspeed.New(committed, f.now.Sub(f.began), f.now)
		rms, _ := f.errors()
		if v := f.tracker.Estimate("w000").Variance; rms > tt.rms || v < tt.lowest || v > tt.highest {
			t.Errorf("%s: got an error of %.2f and a variance of %.3f, want %.2f and %.3f to %.3f", tt.load, rms, v, tt.rms, tt.lowest, tt.highest)
		}
		f.running = nil
		f.advance(20 * time.Second)
		if rms, _ := f.errors(); rms > 0.2 {
			t.Errorf("%s: got an error of %.2f after 20 s, want at most 0.2", tt.load, rms)
		}
	}
}

// TestProposal checks when speeds are proposed. Too many proposals fill the log, and with too few the next leader knows little.
func TestProposal(t *testing.T) {
	tables := []struct {
		name string
		act  func(f *fleet, committed map[hsid.InstanceID]hswork.WorkerSpeed)
		want string
	}{
		{"nothing is known", func(f *fleet, _ map[hsid.InstanceID]hswork.WorkerSpeed) { f.tracker = hsspeed.New(nil, 0, f.now) }, "0 0"},
		{"nothing has changed", func(f *fleet, c map[hsid.InstanceID]hswork.WorkerSpeed) {
			f.now = f.now.Add(time.Second)
			f.commit(c)
			f.now = f.now.Add(time.Second)
		}, "0 0"},
		{"within a second", func(f *fleet, _ map[hsid.InstanceID]hswork.WorkerSpeed) {
			f.tracker.Proposal(f.now, 0)
			f.tracker.Rejected()
			f.now = f.now.Add(900 * time.Millisecond)
		}, "0 60"},
		{"a proposal that isn't applied", func(f *fleet, _ map[hsid.InstanceID]hswork.WorkerSpeed) {
			f.tracker.Proposal(f.now, 0)
			f.now = f.now.Add(2 * time.Second)
		}, "0 60"},
		{"a proposal that can't be appended", func(f *fleet, _ map[hsid.InstanceID]hswork.WorkerSpeed) {
			f.tracker.Proposal(f.now, 0)
			f.tracker.Rejected()
			f.now = f.now.Add(time.Second)
		}, "60 60"},
		{"another incarnation", func(f *fleet, c map[hsid.InstanceID]hswork.WorkerSpeed) {
			f.commit(c)
			f.now = f.now.Add(time.Second)
			f.tracker.Seen("w007", 9, f.now)
		}, "1 1"},
		{"idle for half an hour", func(f *fleet, c map[hsid.InstanceID]hswork.WorkerSpeed) {
			f.commit(c)
			f.now = f.now.Add(31 * time.Minute)
			for i := range 10 {
				f.tracker.Seen(workerID(i), 1, f.now)
			}
		}, "10 10"},
	}
	for _, tt := range tables {
		f := newFleet(60, aThird(2.4))
		f.advance(20 * time.Second)
		for _, x := range f.running {
			f.tracker.Ended(x.run, f.now)
		}
		f.now = f.now.Add(5 * time.Second)
		f.tracker.Update(f.now)
		committed := map[hsid.InstanceID]hswork.WorkerSpeed{}
		tt.act(f, committed)
		f.tracker.Update(f.now)
		count := func() int {
			if u := f.tracker.Proposal(f.now, 0); u != nil {
				return len(u.Speeds)
			}
			return 0
		}
		now := count()
		f.tracker.Rejected()
		f.now = f.now.Add(5 * time.Second)
		if got := fmt.Sprint(now, count()); got != tt.want {
			t.Errorf("%s: got %s speeds now and after five seconds, want %s", tt.name, got, tt.want)
		}
	}
}

// TestProposalSize checks that a proposal is bounded, and that all workers have their turn.
func TestProposalSize(t *testing.T) {
	f := newFleet(700, aThird(2.4))
	committed := map[hsid.InstanceID]hswork.WorkerSpeed{}
	f.advance(10 * time.Second)
	for range 3 {
		if n := f.commit(committed); n > 256 {
			t.Errorf("got %d speeds in a proposal, want at most 256", n)
		}
		f.now = f.now.Add(time.Second)
	}
	if len(committed) < 600 {
		t.Errorf("got speeds of %d workers after three proposals, want at least 600", len(committed))
	}
}
