package hsbreaker_test

import (
	"testing"
	"time"

	"hyssopseam/core/command/hsbreaker"
	"hyssopseam/core/hsid"
)

// TestBreaker plays what jobs on one worker report, at whole seconds.
func TestBreaker(t *testing.T) {
	type act struct {
		at   int
		do   string
		job  hsid.JobID
		want hsbreaker.Phase
	}
	tables := []struct {
		name string
		acts []act
	}{
		{"success resets the count", []act{{0, "fail", "a", hsbreaker.Closed}, {1, "fail", "b", hsbreaker.Closed}, {2, "succeed", "c", hsbreaker.Closed}, {3, "fail", "d", hsbreaker.Closed}}},
		{"opens after three", []act{{0, "fail", "a", hsbreaker.Closed}, {1, "fail", "b", hsbreaker.Closed}, {2, "fail", "c", hsbreaker.Open}}},
		{"a successful probe closes", []act{{0, "open", "", hsbreaker.Open}, {40, "begin", "p", hsbreaker.HalfOpen}, {41, "succeed", "p", hsbreaker.Closed}}},
		{"a failed probe opens for longer", []act{{0, "open", "", hsbreaker.Open}, {40, "begin", "p", hsbreaker.HalfOpen}, {41, "fail", "p", hsbreaker.Open}, {80, "due", "", hsbreaker.Open}, {102, "begin", "q", hsbreaker.HalfOpen}}},
		{"a cancelled probe is released", []act{{0, "open", "", hsbreaker.Open}, {40, "begin", "p", hsbreaker.HalfOpen}, {41, "abandon", "p", hsbreaker.Open}, {72, "begin", "q", hsbreaker.HalfOpen}, {73, "succeed", "q", hsbreaker.Closed}}},
		{"a late success changes nothing", []act{{0, "begin", "old", hsbreaker.Closed}, {1, "open", "", hsbreaker.Open}, {2, "succeed", "old", hsbreaker.Open}, {40, "begin", "p", hsbreaker.HalfOpen}, {41, "succeed", "old", hsbreaker.HalfOpen}}},
		{"an ordinary abandonment changes nothing", []act{{0, "begin", "a", hsbreaker.Closed}, {1, "abandon", "a", hsbreaker.Closed}}},
		{"a job at fault is absolved", []act{{0, "fail", "bad", hsbreaker.Closed}, {1, "absolve", "bad", hsbreaker.Closed}, {2, "fail", "a", hsbreaker.Closed}, {3, "fail", "b", hsbreaker.Closed}}},
	}
	for _, tt := range tables {
		book := hsbreaker.New()
		tickets := map[hsid.JobID]hsbreaker.Ticket{}
		for _, a := range tt.acts {
			now := time.Unix(int64(a.at), 0)
			ticket, held := tickets[a.job]
			if !held && (a.do == "fail" || a.do == "succeed" || a.do == "begin") {
				ticket = book.Begin("w", now)
				tickets[a.job] = ticket
			}
			switch a.do {
			case "fail":
				book.Fail("w", ticket, a.job, now)
			case "succeed":
				book.Succeed("w", ticket)
			case "abandon":
				book.Abandon("w", ticket, now)
			case "absolve":
				book.Absolve([]hsid.InstanceID{"w"}, a.job)
			case "open":
				for _, j := range []hsid.JobID{"x", "y", "z"} {
					book.Fail("w", book.Begin("w", now), j, now)
				}
			case "due":
				if book.ProbeDue("w", now) {
					t.Errorf("%s at %d: got a probe due, want a longer pause", tt.name, a.at)
				}
			}
			if got := book.Phase("w"); got != a.want {
				t.Errorf("%s at %d after %s: got %s, want %s", tt.name, a.at, a.do, got, a.want)
			}
		}
	}
}
