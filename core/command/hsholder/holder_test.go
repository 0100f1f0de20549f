package hsholder_test

import (
	"testing"
	"time"

	"hyssopseam/core/command/hsholder"
	"hyssopseam/core/hsid"
	"hyssopseam/core/hsmessage"
	"hyssopseam/core/hsstate"
)

// manualClock is a clock that is set by hand.
type manualClock struct {
	now time.Time
}

// Now returns the time that the test has set.
func (h *manualClock) Now() time.Time { return h.now }

// TestHolder applies events at the given milliseconds and checks the holder after each. Renewals have sequence numbers
// from 1.
func TestHolder(t *testing.T) {
	type event struct {
		at       int
		kind     string
		peer     hsstate.Peer
		sequence hsid.Sequence
		term     hsid.Term
		number   hsid.RuleNumber
		rules    bool
		target   hsstate.Peer
		valid    bool
		want     hsid.RuleNumber
	}
	tables := []struct {
		name   string
		events []event
	}{
		{"a lease counts from when the renewal was sent", []event{
			{0, "renew", "", 0, 0, 0, false, "a", false, 0},
			{900, "lease", "a", 1, 1, 5, true, "a", true, 5},
			{999, "look", "", 0, 0, 0, false, "a", true, 5},
			{1000, "look", "", 0, 0, 0, false, "a", false, 5},
		}},
		{"an older rule number is ignored", []event{
			{0, "renew", "", 0, 0, 0, false, "a", false, 0},
			{10, "lease", "a", 0, 1, 7, true, "a", false, 7},
			{20, "lease", "a", 1, 1, 5, true, "a", false, 7},
		}},
		{"an unsolicited lease updates the rules but doesn't extend the lease", []event{
			{0, "lease", "a", 0, 1, 5, true, "a", false, 5},
		}},
		{"an older term is ignored", []event{
			{0, "renew", "", 0, 0, 0, false, "a", false, 0},
			{10, "lease", "b", 0, 3, 5, true, "b", false, 5},
			{20, "lease", "a", 1, 2, 6, true, "b", false, 5},
		}},
		{"a redirect is followed until the leader is unreachable", []event{
			{0, "turn", "a", 0, 0, 0, false, "c", false, 0},
			{10, "lost", "b", 0, 0, 0, false, "c", false, 0},
			{20, "lost", "c", 0, 0, 0, false, "b", false, 0},
		}},
		{"a silent replica is replaced by the next", []event{
			{199, "check", "", 0, 0, 0, false, "a", false, 0},
			{200, "check", "", 0, 0, 0, false, "b", false, 0},
			{300, "check", "", 0, 0, 0, false, "b", false, 0},
			{400, "check", "", 0, 0, 0, false, "c", false, 0},
		}},
	}
	for _, tt := range tables {
		clock := &manualClock{now: time.Unix(10, 0)}
		h := hsholder.New(hsholder.Config{Controls: []hsstate.Peer{"a", "b", "c"}, Interval: 100 * time.Millisecond}, clock)
		for i, a := range tt.events {
			clock.now = time.Unix(10, 0).Add(time.Duration(a.at) * time.Millisecond)
			switch a.kind {
			case "renew":
				h.Renew(hsmessage.RoleAgent)
			case "lease":
				m := hsmessage.Lease{Term: a.term, Sequence: a.sequence, Number: a.number, Duration: time.Second}
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
				t.Errorf("%s, event %d: got target %s, valid %v, rules %d; want %s, %v, %d", tt.name, i, got, h.Valid(), h.Rules().Number, a.target, a.valid, a.want)
			}
		}
	}
}

// TestTargets checks that all control replicas are asked while an answer is late, and otherwise only one.
func TestTargets(t *testing.T) {
	tables := []struct {
		name    string
		prepare func(h *hsholder.Holder, clock *manualClock)
		want    int
	}{
		{"no renewal", func(*hsholder.Holder, *manualClock) {}, 1},
		{"renewal just sent", func(h *hsholder.Holder, _ *manualClock) { h.Renew(hsmessage.RoleRunner) }, 1},
		{"answer is late", func(h *hsholder.Holder, clock *manualClock) {
			h.Renew(hsmessage.RoleRunner)
			clock.now = clock.now.Add(hsholder.DefaultPatience)
		}, 3},
		{"renewed again while the first answer is pending", func(h *hsholder.Holder, clock *manualClock) {
			h.Renew(hsmessage.RoleRunner)
			clock.now = clock.now.Add(hsholder.DefaultPatience / 2)
			h.Renew(hsmessage.RoleRunner)
			clock.now = clock.now.Add(hsholder.DefaultPatience / 2)
		}, 3},
		{"answered by another replica", func(h *hsholder.Holder, clock *manualClock) {
			r := h.Renew(hsmessage.RoleRunner)
			clock.now = clock.now.Add(hsholder.DefaultPatience)
			h.Take("c", hsmessage.Lease{Term: 2, Sequence: r.Sequence, Duration: time.Second})
		}, 1},
	}
	for _, tt := range tables {
		clock := &manualClock{now: time.Unix(100, 0)}
		h := hsholder.New(hsholder.Config{Controls: []hsstate.Peer{"a", "b", "c"}, Interval: time.Second}, clock)
		tt.prepare(h, clock)
		if got := len(h.Targets()); got != tt.want {
			t.Errorf("%s: got %d replicas asked, want %d", tt.name, got, tt.want)
		}
	}
}
