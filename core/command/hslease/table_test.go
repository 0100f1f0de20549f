package hslease_test

import (
	"slices"
	"testing"
	"time"

	"hyssopseam/core/command/hslease"
	"hyssopseam/core/hsid"
	"hyssopseam/core/hsmessage"
	"hyssopseam/core/hsstate"
)

const leaseLength = 2 * time.Second

// TestLagging checks which holders may still act on a rule number below 3.
func TestLagging(t *testing.T) {
	type request struct {
		// at is the time of the request, confirmed the holder's number, and current the number in force.
		at        time.Duration
		confirmed hsid.RuleNumber
		current   hsid.RuleNumber
	}
	tables := []struct {
		name     string
		requests []request
		at       time.Duration
		want     bool
	}{
		{"it never had a lease", nil, 0, false},
		{"it confirmed an older number", []request{{0, 2, 2}}, time.Second, true},
		{"its lease for the older number has expired", []request{{0, 2, 2}}, 3 * time.Second, false},
		{"it confirmed the number", []request{{0, 2, 2}, {time.Second, 3, 3}}, 1500 * time.Millisecond, false},
		{"an older number was sent with its first lease", []request{{0, 0, 2}}, time.Second, true},
		{"an older number was sent after the lease for one before it", []request{{0, 1, 1}, {1900 * time.Millisecond, 1, 2}}, 3 * time.Second, true},
		{"the lease with the older number has expired", []request{{0, 1, 1}, {time.Second, 1, 2}}, 4 * time.Second, false},
		{"the number was sent after the older one, and neither is confirmed", []request{{0, 0, 2}, {time.Second, 0, 3}}, 2500 * time.Millisecond, true},
		{"the number was sent and confirmed after the older one", []request{{0, 0, 2}, {time.Second, 0, 3}, {1500 * time.Millisecond, 3, 3}}, 1600 * time.Millisecond, false},
	}
	for _, tt := range tables {
		start := time.Unix(1000, 0)
		table := hslease.New(leaseLength, start)
		for i, r := range tt.requests {
			renewal := hsmessage.Renewal{Instance: "a", Incarnation: 1, Role: hsmessage.RoleEntry, Sequence: hsid.Sequence(i + 1), Rules: r.confirmed}
			table.Renew("peer", renewal, &hsstate.RuleSet{Number: r.current}, 1, start.Add(r.at))
		}
		if got := slices.Contains(table.Lagging(3, start.Add(tt.at)), "a"); got != tt.want {
			t.Errorf("%s: got lagging %v, want %v", tt.name, got, tt.want)
		}
	}
}
