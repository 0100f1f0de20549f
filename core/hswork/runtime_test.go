package hswork_test

import (
	"testing"
	"time"

	"hyssopseam/core/hswork"
)

// TestEstimate checks the estimated run time against bounds, after observations of various accuracy.
func TestEstimate(t *testing.T) {
	tables := []struct {
		name     string
		took     []time.Duration
		declared []time.Duration
		next     time.Duration
		shortest time.Duration
		longest  time.Duration
	}{
		{"no observations", nil, nil, time.Second, time.Second, time.Second},
		{"declared time below the minimum", nil, nil, time.Millisecond, 250 * time.Millisecond, 250 * time.Millisecond},
		{"too few observations", durations(2, 4, 4), durations(2, 1, 1), time.Second, time.Second, time.Second},
		{"accurate declared times", durations(8, 2, 9), durations(8, 2, 9), time.Second, time.Second, time.Second},
		{"inaccurate declared times", durations(20, 4, 4), durations(20, 1, 16), time.Second, 3500 * time.Millisecond, 4 * time.Second},
		{"both predictors equally inaccurate", durations(20, 1, 4), durations(20, 2, 2), 4 * time.Second, 2 * time.Second, 4 * time.Second},
	}
	for _, tt := range tables {
		var s hswork.RunTimeStats
		for i := range tt.took {
			s.Observe(tt.took[i], tt.declared[i])
		}
		if got := s.Estimate(tt.next); got < tt.shortest-time.Millisecond || got > tt.longest+time.Millisecond {
			t.Errorf("%s: got %s, want %s to %s", tt.name, got, tt.shortest, tt.longest)
		}
	}
}

// durations returns count durations that alternate between a and b seconds.
func durations(count, a, b int) []time.Duration {
	var all []time.Duration
	for i := range count {
		value := a
		if i%2 == 1 {
			value = b
		}
		all = append(all, time.Duration(value)*time.Second)
	}
	return all
}
