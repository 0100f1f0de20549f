package hscost_test

import (
	"math"
	"testing"
	"time"

	"hyssopseam/core/hscost"
	"hyssopseam/core/hswork"
)

const s = time.Second

// urgent has an objective of 1.5 times its path plus 300 ms, as the customers' urgent checks.
var urgent = hscost.Unit{Objective: 3300 * time.Millisecond, Path: 2 * s, Work: 48}

func with(u hscost.Unit, change func(u *hscost.Unit)) hscost.Unit {
	change(&u)
	return u
}

// TestTimeliness checks the thresholds of the measure: the objective and three times the objective.
func TestTimeliness(t *testing.T) {
	tables := []struct {
		name string
		unit hscost.Unit
		wait time.Duration
		want hscost.Timeliness
	}{
		{"starts at once", urgent, 0, hscost.OnTime},
		{"ends just in time", urgent, 1300 * time.Millisecond, hscost.OnTime},
		{"ends just late", urgent, 1301 * time.Millisecond, hscost.Late},
		{"ends at three times the objective", urgent, 7900 * time.Millisecond, hscost.Late},
		{"ends after it", urgent, 7901 * time.Millisecond, hscost.Overdue},
		{"has waited already", with(urgent, func(u *hscost.Unit) { u.Age = 2 * s }), 0, hscost.Late},
		{"without an objective", hscost.Unit{Path: s}, 0, hscost.Overdue},
	}
	for _, tt := range tables {
		if got := tt.unit.Timeliness(tt.wait); got != tt.want {
			t.Errorf("%s: got %d, want %d", tt.name, got, tt.want)
		}
	}
}

// TestOrderOfLosses checks which of two losses is the larger one. A reversed pair would let the scheduler serve, stop or refuse
// the wrong unit.
func TestOrderOfLosses(t *testing.T) {
	aged := func(age time.Duration) hscost.Unit { return with(urgent, func(u *hscost.Unit) { u.Age = age }) }
	low := with(urgent, func(u *hscost.Unit) { u.Priority = 1 })
	tables := []struct {
		name         string
		larger, less hscost.Loss
	}{
		{"a longer wait", urgent.Loss(2 * s), urgent.Loss(s)},
		{"a higher priority", urgent.Delay(2 * s), low.Delay(2 * s)},
		{"a deadline that comes close", aged(s).Delay(s), urgent.Delay(s)},
		{"the last chance, against a job that is late already", aged(s).Delay(s), aged(4 * s).Delay(s)},
		{"a late job, against an overdue one", aged(4 * s).Delay(s), aged(20 * s).Delay(s)},
		{"turning away, against a delay without end", urgent.Refusal(0), urgent.Delay(time.Hour)},
		{"turning away, against nothing", aged(time.Hour).Refusal(time.Hour), 0},
		{"turning away a job that can be on time, against an overdue one", urgent.Refusal(0), urgent.Refusal(20 * s)},
	}
	for _, tt := range tables {
		if tt.larger <= tt.less {
			t.Errorf("%s: got %v, want more than %v", tt.name, tt.larger, tt.less)
		}
	}
}

// TestOddUnits checks that odd values, as come from callers' declarations, clocks that jump or workers' reports, give a finite
// loss between nothing and the whole result. One that is infinite or not a number would order all units at random.
func TestOddUnits(t *testing.T) {
	const most = time.Duration(math.MaxInt64)
	tables := []struct {
		name string
		unit hscost.Unit
		wait time.Duration
	}{
		{"nothing", hscost.Unit{}, 0},
		{"times of zero", hscost.Unit{Objective: s}, 0},
		{"negative times", hscost.Unit{Objective: -s, Age: -s, Path: -s, Work: -1}, -s},
		{"the lowest times", hscost.Unit{Objective: -most - 1, Age: -most - 1, Path: -most - 1}, -most - 1},
		{"the highest times", hscost.Unit{Objective: most, Age: most, Path: most}, most},
		{"a run time a thousand times too long", hscost.Unit{Objective: s, Path: 1000 * s}, 0},
		{"a run time a thousand times too short", hscost.Unit{Objective: s, Path: s / 1000}, 0},
		{"work that isn't a number", hscost.Unit{Objective: s, Work: hscost.CoreSeconds(math.NaN())}, s},
		{"infinite work", hscost.Unit{Objective: s, Work: hscost.CoreSeconds(math.Inf(1))}, s},
		{"a deviation that isn't a number", hscost.Unit{Objective: s, Path: s, Deviation: math.NaN()}, s},
		{"an infinite deviation", hscost.Unit{Objective: s, Path: s, Deviation: math.Inf(1)}, s},
		{"a negative priority", hscost.Unit{Priority: -5, Objective: s}, s},
		{"a priority far below all", hscost.Unit{Priority: math.MaxInt, Objective: s}, s},
	}
	for _, tt := range tables {
		whole := hscost.Weight(tt.unit.Priority)
		if whole <= 0 || whole > 1 {
			t.Errorf("%s: got weight %v, want one above 0 and at most 1", tt.name, whole)
		}
		for _, l := range []hscost.Loss{tt.unit.Loss(tt.wait), tt.unit.Delay(tt.wait), tt.unit.Refusal(tt.wait), tt.unit.LateLoss()} {
			if !(l >= 0 && l <= whole) {
				t.Errorf("%s: got loss %v, want 0 to %v", tt.name, l, whole)
			}
		}
		if d := hscost.PerCoreSecond(whole, tt.unit.Work); !(d >= 0 && d <= math.MaxFloat64) {
			t.Errorf("%s: got density %v, want a finite one", tt.name, d)
		}
	}
}

// TestWork checks the conversion of resources, which users do with the same ratio, and that odd sizes stay finite.
func TestWork(t *testing.T) {
	const most = 1<<63 - 1
	tables := []struct {
		name      string
		resources hswork.Resources
		tasks     int
		runTime   time.Duration
		want      hscost.CoreSeconds
	}{
		{"cores and accelerators", hswork.Resources{Cores: 4000, Memory: 1 << 30, Accelerators: 2}, 3, 2 * s, 120},
		{"negative sizes", hswork.Resources{Cores: -4000, Accelerators: -2}, -3, -s, 0},
		{"the highest sizes", hswork.Resources{Cores: most, Accelerators: most}, math.MaxInt, most, 1e15},
	}
	for _, tt := range tables {
		if got := hscost.WorkOf(tt.resources, tt.tasks, tt.runTime); got != tt.want {
			t.Errorf("%s: got %v, want %v", tt.name, got, tt.want)
		}
	}
}
