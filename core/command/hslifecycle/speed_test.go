package hslifecycle_test

import (
	"fmt"
	"math"
	"testing"
	"time"

	"hyssopseam/core/command/hslifecycle"
	"hyssopseam/core/hsid"
	"hyssopseam/core/hswork"
)

// speeds returns a command with the same slowdown and variance for a number of workers, from first on.
func speeds(first, count int, slowdown hswork.LogFactor, variance float64) *hswork.Command {
	var u hswork.SpeedUpdate
	for i := range count {
		u.Speeds = append(u.Speeds, hswork.WorkerSpeed{Worker: hsid.InstanceID(fmt.Sprintf("w%05d", first+i)), Slowdown: slowdown, Variance: variance, Runs: 1})
	}
	return &hswork.Command{Speeds: &u}
}

// TestSpeeds checks which speeds the state holds after sequences of commands. An entry out of bounds would spoil every estimate
// that is compared with it, and entries that are never dropped would fill the snapshots.
func TestSpeeds(t *testing.T) {
	type step struct {
		command *hswork.Command
		at      time.Duration
	}
	tables := []struct {
		name  string
		steps []step
		count int
		// want is the speed of the first worker.
		want string
	}{
		{"recorded", []step{{speeds(0, 2, 0.5, 0.1), 1}}, 2, "0.50 0.100 1ns"},
		{"replaced", []step{{speeds(0, 2, 0.5, 0.1), 1}, {speeds(0, 1, -0.2, 0.05), 2}}, 2, "-0.20 0.050 2ns"},
		{"dropped when it wasn't updated for an hour", []step{{speeds(0, 1, 1, 0.1), 1}, {speeds(1, 1, 1, 0.1), time.Hour + 2}}, 1, "0.00 0.000 0s"},
		{"dropped an hour after speeds were switched off", []step{{speeds(0, 1, 1, 0.1), 1}, {&hswork.Command{Submit: &hswork.Submit{}}, time.Hour + 2}}, 0, "0.00 0.000 0s"},
		{"kept for an hour", []step{{speeds(0, 1, 1, 0.1), 1}, {&hswork.Command{Submit: &hswork.Submit{}}, time.Hour}}, 1, "1.00 0.100 1ns"},
		{"the oldest are dropped above the limit", []step{{speeds(0, 10, 1, 0.1), 1}, {speeds(10, hswork.MaxSpeeds, 1, 0.1), 2}}, hswork.MaxSpeeds, "0.00 0.000 0s"},
		{"too large", []step{{speeds(0, 1, 100, 9), 1}}, 1, "3.00 0.160 1ns"},
		{"infinite", []step{{speeds(0, 1, hswork.LogFactor(math.Inf(-1)), math.Inf(1)), 1}}, 1, "-3.00 0.160 1ns"},
		{"not a number", []step{{speeds(0, 1, hswork.LogFactor(math.NaN()), math.NaN()), 1}}, 1, "0.00 0.160 1ns"},
		{"a variance of zero", []step{{speeds(0, 1, 0.5, 0), 1}}, 1, "0.50 0.002 1ns"},
	}
	for _, tt := range tables {
		s := &hswork.State{Jobs: map[hswork.ID]*hswork.Job{}}
		for _, x := range tt.steps {
			hslifecycle.Apply(s, x.command, 1, x.at)
		}
		w := s.Speeds["w00000"]
		if got := fmt.Sprintf("%.2f %.3f %s", w.Slowdown, w.Variance, w.Updated); got != tt.want || len(s.Speeds) != tt.count {
			t.Errorf("%s: got %s and %d entries, want %s and %d", tt.name, got, len(s.Speeds), tt.want, tt.count)
		}
	}
}
