package hsholder_test

import (
	"testing"
	"time"

	"hyssopseam/core/command/hsholder"
	"hyssopseam/core/hsid"
	"hyssopseam/core/hsmessage"
	"hyssopseam/core/hsstate"
)

// hand is a clock that is set by hand.
type hand struct {
	now time.Time
}

// Now returns the time that was set.
func (h *hand) Now() time.Time { return h.now }

// TestHolder plays events at milliseconds; renewals are numbered from 1.
func TestHolder(t *testing.T) {
	type act struct {
		at     int
		do     string
		peer   hsstate.Peer
		seq    hsid.Sequence
		term   hsid.Term
		number hsid.RuleNumber
		rules  bool
		target hsstate.Peer
		valid  bool
		want   hsid.RuleNumber
	}
	tables := []struct {
		name string
		acts []act
	}{
		{"counts from when the renewal was sent", []act{
			{0, "renew", "", 0, 0, 0, false, "a", false, 0},
			{900, "lease", "a", 1, 1, 5, true, "a", true, 5},
			{999, "look", "", 0, 0, 0, false, "a", true, 5},
			{1000, "look", "", 0, 0, 0, false, "a", false, 5},
		}},
		{"never goes back to an older number", []act{
			{0, "renew", "", 0, 0, 0, false, "a", false, 0},
			{10, "lease", "a", 0, 1, 7, true, "a", false, 7},
			{20, "lease", "a", 1, 1, 5, true, "a", false, 7},
		}},
		{"news bring rules but no time", []act{
			{0, "lease", "a", 0, 1, 5, true, "a", false, 5},
		}},
		{"an older term is ignored", []act{
			{0, "renew", "", 0, 0, 0, false, "a", false, 0},
			{10, "lease", "b", 0, 3, 5, true, "b", false, 5},
			{20, "lease", "a", 1, 2, 6, true, "b", false, 5},
		}},
		{"follows a hint, and a lost leader no longer", []act{
			{0, "turn", "a", 0, 0, 0, false, "c", false, 0},
			{10, "lost", "b", 0, 0, 0, false, "c", false, 0},
			{20, "lost", "c", 0, 0, 0, false, "b", false, 0},
		}},
		{"turns from a silent replica", []act{
			{199, "check", "", 0, 0, 0, false, "a", false, 0},
			{200, "check", "", 0, 0, 0, false, "b", false, 0},
			{300, "check", "", 0, 0, 0, false, "b", false, 0},
			{400, "check", "", 0, 0, 0, false, "c", false, 0},
		}},
	}
	for _, tt := range tables {
		clock := &hand{now: time.Unix(10, 0)}
		h := hsholder.New(hsholder.Config{Controls: []hsstate.Peer{"a", "b", "c"}, Interval: 100 * time.Millisecond}, clock)
		for i, a := range tt.acts {
			clock.now = time.Unix(10, 0).Add(time.Duration(a.at) * time.Millisecond)
			switch a.do {
			case "renew":
				h.Renew(hsmessage.RoleAgent)
			case "lease":
				m := hsmessage.Lease{Term: a.term, Sequence: a.seq, Number: a.number, For: time.Second}
				if a.rules {
					m.Rules = &hsstate.RuleSet{Number: a.number}
				}
				h.Take(a.peer, m)
			case "turn":
				h.Turn(a.peer, "c")
			case "lost":
				h.Lost(a.peer)
			case "check":
				h.Check()
			}
			if got := h.Target(); got != a.target || h.Valid() != a.valid || h.Rules().Number != a.want {
				t.Errorf("%s, act %d: got target %s, valid %v, rules %d; want %s, %v, %d", tt.name, i, got, h.Valid(), h.Rules().Number, a.target, a.valid, a.want)
			}
		}
	}
}

// TestTargets checks that all control replicas are asked while an answer is late, and only then.
func TestTargets(t *testing.T) {
	tables := []struct {
		name string
		play func(h *hsholder.Holder, c *hand)
		want int
	}{
		{"nothing asked", func(*hsholder.Holder, *hand) {}, 1},
		{"just asked", func(h *hsholder.Holder, _ *hand) { h.Renew(hsmessage.RoleRunner) }, 1},
		{"answer late", func(h *hsholder.Holder, c *hand) {
			h.Renew(hsmessage.RoleRunner)
			c.now = c.now.Add(hsholder.DefaultPatience)
		}, 3},
		{"asked again meanwhile", func(h *hsholder.Holder, c *hand) {
			h.Renew(hsmessage.RoleRunner)
			c.now = c.now.Add(hsholder.DefaultPatience / 2)
			h.Renew(hsmessage.RoleRunner)
			c.now = c.now.Add(hsholder.DefaultPatience / 2)
		}, 3},
		{"answered by another one", func(h *hsholder.Holder, c *hand) {
			r := h.Renew(hsmessage.RoleRunner)
			c.now = c.now.Add(hsholder.DefaultPatience)
			h.Take("c", hsmessage.Lease{Term: 2, Sequence: r.Sequence, For: time.Second})
		}, 1},
	}
	for _, tt := range tables {
		c := &hand{now: time.Unix(100, 0)}
		h := hsholder.New(hsholder.Config{Controls: []hsstate.Peer{"a", "b", "c"}, Interval: time.Second}, c)
		tt.play(h, c)
		if got := len(h.Targets()); got != tt.want {
			t.Errorf("%s: got %d replicas asked, want %d", tt.name, got, tt.want)
		}
	}
}
