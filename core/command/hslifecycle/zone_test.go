package hslifecycle_test

import (
	"fmt"
	"testing"
	"time"

	"hyssopseam/core/command/hslifecycle"
	"hyssopseam/core/hsid"
	"hyssopseam/core/hswork"
)

// TestEvacuate applies evacuations, restores and repetitions of both in order, as resent orders and two operators send
// them. The last order that is committed decides.
func TestEvacuate(t *testing.T) {
	evacuate := func(zone string) *hswork.ZoneEvacuation { return &hswork.ZoneEvacuation{Zone: hsid.ZoneID(zone)} }
	restore := func(zone string) *hswork.ZoneEvacuation {
		return &hswork.ZoneEvacuation{Zone: hsid.ZoneID(zone), Restore: true}
	}
	tables := []struct {
		name   string
		orders []*hswork.ZoneEvacuation
		want   string
	}{
		{"one zone", []*hswork.ZoneEvacuation{evacuate("a")}, "[{a 1s}]"},
		{"a repeated order keeps the first time", []*hswork.ZoneEvacuation{evacuate("a"), evacuate("a")}, "[{a 1s}]"},
		{"two zones, by name", []*hswork.ZoneEvacuation{evacuate("b"), evacuate("a")}, "[{a 2s} {b 1s}]"},
		{"restored", []*hswork.ZoneEvacuation{evacuate("a"), evacuate("b"), restore("a")}, "[{b 2s}]"},
		{"restored twice", []*hswork.ZoneEvacuation{evacuate("a"), restore("a"), restore("a")}, "[]"},
		{"evacuated again", []*hswork.ZoneEvacuation{evacuate("a"), restore("a"), evacuate("a")}, "[{a 3s}]"},
		{"restored without an evacuation", []*hswork.ZoneEvacuation{restore("a")}, "[]"},
	}
	for _, tt := range tables {
		s := hswork.NewState()
		for i, o := range tt.orders {
			hslifecycle.Apply(s, &hswork.Command{Zone: o}, 1, time.Duration(i+1)*time.Second)
		}
		if got := fmt.Sprint(s.EvacuatedZones); got != tt.want {
			t.Errorf("%s: got %s, want %s", tt.name, got, tt.want)
		}
	}
}
