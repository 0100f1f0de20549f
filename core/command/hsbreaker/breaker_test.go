package hsbreaker_test

import (
	"testing"
	"time"

	"hyssopseam/core/command/hsbreaker"
	"hyssopseam/core/hsid"
)

// TestBreaker checks the state of one worker's breaker after each of a sequence of job outcomes, at whole seconds.
func TestBreaker(t *testing.T) {
	type step struct {
		at     int
		action string
		job    hsid.JobID
		want   hsbreaker.Phase
	}
	tables := []struct {
		name  string
		steps []step
	}{
		{"success resets the count", []step{{0, "fail", "a", hsbreaker.Closed}, {1, "fail", "b", hsbreaker.Closed}, {2, "succeed", "c", hsbreaker.Closed}, {3, "fail", "d", hsbreaker.Closed}}},
		{"opens after three", []step{{0, "fail", "a", hsbreaker.Closed}, {1, "fail", "b", hsbreaker.Closed}, {2, "fail", "c", hsbreaker.Open}}},
		{"a successful probe closes", []step{{0, "open", "", hsbreaker.Open}, {40, "begin", "p", hsbreaker.HalfOpen}, {41, "succeed", "p", hsbreaker.Closed}}},
		{"a failed probe opens for longer", []step{{0, "open", "", hsbreaker.Open}, {40, "begin", "p", hsbreaker.HalfOpen}, {41, "fail", "p", hsbreaker.Open}, {80, "due", "", hsbreaker.Open}, {102, "begin", "q", hsbreaker.HalfOpen}}},
		{"a cancelled probe is released", []step{{0, "open", "", hsbreaker.Open}, {40, "begin", "p", hsbreaker.HalfOpen}, {41, "release", "p", hsbreaker.Open}, {72, "begin", "q", hsbreaker.HalfOpen}, {73, "succeed", "q", hsbreaker.Closed}}},
		{"a late success changes nothing", []step{{0, "begin", "old", hsbreaker.Closed}, {1, "open", "", hsbreaker.Open}, {2, "succeed", "old", hsbreaker.Open}, {40, "begin", "p", hsbreaker.HalfOpen}, {41, "succeed", "old", hsbreaker.HalfOpen}}},
		{"an ordinary abandonment changes nothing", []step{{0, "begin", "a", hsbreaker.Closed}, {1, "release", "a", hsbreaker.Closed}}},
		{"the failures of a faulty job are removed", []step{{0, "fail", "bad", hsbreaker.Closed}, {1, "withdraw", "bad", hsbreaker.Closed}, {2, "fail", "a", hsbreaker.Closed}, {3, "fail", "b", hsbreaker.Closed}}},
	}
	for _, tt := range tables {
		breakers := hsbreaker.New()
		tickets := map[hsid.JobID]hsbreaker.Ticket{}
		for _, s := range tt.steps {
			now := time.Unix(int64(s.at), 0)
			ticket, began := tickets[s.job]
			if !began && (s.action == "fail" || s.action == "succeed" || s.action == "begin") {
				ticket = breakers.Begin("w", now)
				tickets[s.job] = ticket
			}
			switch s.action {
			case "fail":
				breakers.Fail("w", ticket, s.job, now)
			case "succeed":
				breakers.Succeed("w", ticket)
			case "release":
				breakers.Release("w", ticket, now)
			case "withdraw":
				breakers.WithdrawFailures([]hsid.InstanceID{"w"}, s.job)
			case "open":
				for _, j := range []hsid.JobID{"x", "y", "z"} {
					breakers.Fail("w", breakers.Begin("w", now), j, now)
				}
			case "due":
				if breakers.ProbeDue("w", now) {
					t.Errorf("%s at %d: got a probe that is due, want a longer pause", tt.name, s.at)
				}
			}
			if got := breakers.Phase("w"); got != s.want {
				t.Errorf("%s at %d after %s: got %s, want %s", tt.name, s.at, s.action, got, s.want)
			}
		}
	}
}
