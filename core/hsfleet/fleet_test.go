package hsfleet_test

import (
	"testing"
	"time"

	"hyssopseam/core/hsfleet"
	"hyssopseam/core/hsid"
	"hyssopseam/core/hsmessage"
)

// TestSerialAfterRemoval checks that the serials of orders go on rising when a worker that was removed, or whose agent was
// restarted, reports again. An agent ignores orders with a lower serial for as long as the term lasts.
func TestSerialAfterRemoval(t *testing.T) {
	tables := []struct {
		name        string
		removed     bool
		incarnation hsid.Incarnation
	}{
		{"removed", true, 1},
		{"restarted", false, 2},
		{"removed and restarted", true, 2},
	}
	for _, tt := range tables {
		f := hsfleet.New()
		report := func(incarnation hsid.Incarnation, sequence hsid.Sequence) *hsfleet.Worker {
			r := hsmessage.AgentReport{Renewal: hsmessage.Renewal{Instance: "w", Incarnation: incarnation, Sequence: sequence}}
			w, _ := f.Update("p", r, time.UnixMilli(0))
			return w
		}
		report(1, 1).Serial = 40
		if tt.removed {
			f.Remove("w")
		}
		if got := report(tt.incarnation, 2).Serial; got != 40 {
			t.Errorf("%s: got serial %d, want 40", tt.name, got)
		}
	}
}
