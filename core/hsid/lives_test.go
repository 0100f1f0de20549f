package hsid_test

import (
	"testing"
	"time"

	"hyssopseam/core/hsid"
)

// TestLives checks which messages are taken for those of the present life of a process. A late message of an earlier life
// must not make the process unusable for as long as it lives.
func TestLives(t *testing.T) {
	type message struct {
		at          time.Duration
		incarnation hsid.Incarnation
		sequence    hsid.Sequence
		want        bool
	}
	tables := []struct {
		name     string
		messages []message
	}{
		{"one life", []message{{0, 1, 1, true}, {0, 1, 1, false}, {0, 1, 3, true}, {0, 1, 2, false}}},
		{"a restart", []message{{0, 1, 9, true}, {1, 2, 1, true}, {2, 1, 10, false}, {3, 2, 2, true}}},
		{"late messages of an earlier life, while the present one is silent", []message{
			{0, 1, 9, true}, {1, 2, 1, true},
			{5 * time.Second, 1, 10, false}, {5 * time.Second, 1, 11, false}, {5100 * time.Millisecond, 1, 12, false},
			{5200 * time.Millisecond, 2, 2, true},
		}},
		{"a late message of a life that was never heard before", []message{
			{0, 1, 9, true}, {time.Second, 3, 1, true},
			{2 * time.Second, 2, 1, true},
			{2500 * time.Millisecond, 3, 2, false}, {3 * time.Second, 3, 3, false},
			{4 * time.Second, 3, 4, false}, {4500 * time.Millisecond, 3, 5, false}, {5 * time.Second, 3, 6, true},
			{5500 * time.Millisecond, 3, 7, true}, {6 * time.Second, 2, 2, false},
		}},
		// Guards against late messages of a life that returned once, compared with a sequence from before its return.
		{"late messages of a life that returned and has ended since", []message{
			{0, 1, 9, true}, {time.Second, 2, 1, true},
			{3 * time.Second, 1, 19, false}, {4 * time.Second, 1, 20, true}, {5 * time.Second, 1, 40, true},
			{6 * time.Second, 3, 1, true},
			{8 * time.Second, 1, 25, false}, {9 * time.Second, 1, 30, false}, {10 * time.Second, 3, 2, true},
		}},
		{"many restarts", []message{
			{0, 1, 1, true}, {1, 2, 1, true}, {2, 3, 1, true}, {3, 4, 1, true}, {4, 1, 2, false}, {5, 2, 2, false}, {6, 3, 2, false}, {7, 4, 2, true},
		}},
	}
	for _, tt := range tables {
		var l hsid.Lives
		for i, m := range tt.messages {
			if got := l.Accept(m.incarnation, m.sequence, time.Unix(1000, 0).Add(m.at)); got != m.want {
				t.Errorf("%s: message %d: got accepted %v, want %v", tt.name, i, got, m.want)
			}
		}
	}
}
