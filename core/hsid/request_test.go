package hsid_test

import (
	"testing"
	"time"

	"hyssopseam/core/hsid"
)

// TestSplit checks that the identifier of a copy leads back to that of its request.
func TestSplit(t *testing.T) {
	tables := []struct {
		id   hsid.RequestID
		want hsid.RequestID
		age  time.Duration
	}{
		{"e.00ab.12", "e.00ab.12", 0},
		{hsid.RequestID("e.00ab.12").Resent(1500 * time.Millisecond), "e.00ab.12", 1500 * time.Millisecond},
		{"e~7.00ab.12", "e~7.00ab.12", 0},
		{hsid.RequestID("e~7.00ab.12").Resent(time.Second), "e~7.00ab.12", time.Second},
		{"e.00ab.12~", "e.00ab.12~", 0},
		{"e.00ab.12~99999999999", "e.00ab.12~99999999999", 0},
		{"", "", 0},
	}
	for _, tt := range tables {
		if got, age := tt.id.Split(); got != tt.want || age != tt.age {
			t.Errorf("%q: got %q and %s, want %q and %s", tt.id, got, age, tt.want, tt.age)
		}
	}
}
