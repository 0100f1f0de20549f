package hsleaseclient_test

import (
	"testing"
	"time"

	"hyssopseam/core/command/hsleaseclient"
	"hyssopseam/core/hsid"
	"hyssopseam/core/hsmessage"
	"hyssopseam/core/hsstate"
)

// manualClock is a clock that is set by hand.
type manualClock struct {
	now time.Time
}

// Now returns the time that the test has set.
func (c *manualClock) Now() time.Time { return c.now }

// TestClient applies events at the given milliseconds and checks the client after each. Renewals have sequence
// numbers from 1.
func TestClient(t *testing.T) {
	type event struct {
		at       int
		kind     string
		peer     hsstate.Peer
		sequence hsid.Sequence
		term     hsid.Term
		number   hsid.RuleNumber
		rules    bool
		// target, valid and want are the state after the event; want is the number of the rules.
		target hsstate.Peer
		valid  bool
		want   hsid.RuleNumber
	}
	tables := []struct {
		name   string
		events []event
	}{
		{"a lease counts from when the renewal was sent", []event{
			{0, "renew", "", 0, 0, 0, false, "a", false, 0},
			{900, "lease", "a", 1, 1, 5, true, "a", true, 5},
			{999, "none", "", 0, 0, 0, false, "a", true, 5},
			{1000, "none", "", 0, 0, 0, false, "a", false, 5},
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
			{0, "redirect", "a", 0, 0, 0, false, "c", false, 0},
			{10, "unreachable", "b", 0, 0, 0, false, "c", false, 0},
			{20, "unreachable", "c", 0, 0, 0, false, "b", false, 0},
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
		c := hsleaseclient.New(hsleaseclient.Config{Controls: []hsstate.Peer{"a", "b", "c"}, Interval: 100 * time.Millisecond}, clock)
		for i, e := range tt.events {
			clock.now = time.Unix(10, 0).Add(time.Duration(e.at) * time.Millisecond)
			switch e.kind {
			case "renew":
				c.Renew(hsmessage.RoleAgent)
			case "lease":
				m := hsmessage.Lease{Term: e.term, Sequence: e.sequence, Number: e.number, Duration: time.Second}
				if e.rules {
					m.Rules = &hsstate.RuleSet{Number: e.number}
				}
				c.HandleLease(e.peer, m)
			case "redirect":
				c.FollowRedirect(e.peer, "c")
			case "unreachable":
				c.PeerUnreachable(e.peer)
			case "check":
				c.CheckSilence()
			}
			if got := c.Target(); got != e.target || c.Valid() != e.valid || c.Rules().Number != e.want {
				t.Errorf("%s, event %d: got target %s, valid %v, rules %d; want %s, %v, %d", tt.name, i, got, c.Valid(), c.Rules().Number, e.target, e.valid, e.want)
			}
		}
	}
}

// TestTargets checks that all control replicas are asked while an answer is late, and otherwise only one.
func TestTargets(t *testing.T) {
	tables := []struct {
		name    string
		prepare func(c *hsleaseclient.Client, clock *manualClock)
		want    int
	}{
		{"no renewal", func(*hsleaseclient.Client, *manualClock) {}, 1},
		{"renewal just sent", func(c *hsleaseclient.Client, _ *manualClock) { c.Renew(hsmessage.RoleRunner) }, 1},
		{"answer is late", func(c *hsleaseclient.Client, clock *manualClock) {
			c.Renew(hsmessage.RoleRunner)
			clock.now = clock.now.Add(hsleaseclient.DefaultAnswerTimeout)
		}, 3},
		{"renewed again while the first answer is pending", func(c *hsleaseclient.Client, clock *manualClock) {
			c.Renew(hsmessage.RoleRunner)
			clock.now = clock.now.Add(hsleaseclient.DefaultAnswerTimeout / 2)
			c.Renew(hsmessage.RoleRunner)
			clock.now = clock.now.Add(hsleaseclient.DefaultAnswerTimeout / 2)
		}, 3},
		{"answered by another replica", func(c *hsleaseclient.Client, clock *manualClock) {
			r := c.Renew(hsmessage.RoleRunner)
			clock.now = clock.now.Add(hsleaseclient.DefaultAnswerTimeout)
			c.HandleLease("c", hsmessage.Lease{Term: 2, Sequence: r.Sequence, Duration: time.Second})
		}, 1},
	}
	for _, tt := range tables {
		clock := &manualClock{now: time.Unix(100, 0)}
		c := hsleaseclient.New(hsleaseclient.Config{Controls: []hsstate.Peer{"a", "b", "c"}, Interval: time.Second}, clock)
		tt.prepare(c, clock)
		if got := len(c.Targets()); got != tt.want {
			t.Errorf("%s: got %d replicas asked, want %d", tt.name, got, tt.want)
		}
	}
}
