package hsshare_test

import (
	"fmt"
	"math"
	"slices"
	"testing"

	"hyssopseam/core/command/hsshare"
	"hyssopseam/core/hsid"
	"hyssopseam/core/hswork"
)

// capacity is that of ten workers.
var capacity = hswork.Resources{Cores: 320_000, Memory: 1280 * hsid.GiB, Accelerators: 80}

func accelerators(n int) hswork.Resources {
	return hswork.Resources{Cores: 1000, Memory: hsid.GiB, Accelerators: hsid.Accelerators(n)}
}

// TestOrder checks in which order requests go. A wrong one lets the wave of one workspace, or of the callers of one zone, keep
// the others waiting.
func TestOrder(t *testing.T) {
	type origin = hsshare.Origin
	w1, w2, w3 := origin{Workspace: "w1"}, origin{Workspace: "w2"}, origin{Workspace: "w3"}
	requests := func(need hswork.Resources, origins ...origin) []hsshare.Request {
		var list []hsshare.Request
		for _, o := range origins {
			list = append(list, hsshare.Request{Origin: o, Need: need, Tasks: 1})
		}
		return list
	}
	zone := func(z hsid.ZoneID) origin { return origin{Workspace: "w1", Zone: z} }
	tables := []struct {
		name     string
		used     map[origin]hswork.Resources
		requests []hsshare.Request
		want     []int
	}{
		{"nothing", nil, nil, []int{}},
		{"one workspace keeps its order", map[origin]hswork.Resources{w1: accelerators(70)}, requests(accelerators(8), w1, w1, w1), []int{0, 1, 2}},
		{"a burst of one workspace", nil, requests(accelerators(8), w1, w1, w1, w1, w2, w3), []int{0, 4, 5, 1, 2, 3}},
		{"what runs counts", map[origin]hswork.Resources{w1: accelerators(16)}, requests(accelerators(8), w1, w1, w2, w2, w2), []int{2, 3, 0, 4, 1}},
		{"large requests count by their size", nil, append(requests(accelerators(32), w1, w1), requests(accelerators(8), w2, w2, w2, w2, w2)...), []int{0, 2, 3, 4, 5, 1, 6}},
		{"the dominant resource counts", map[origin]hswork.Resources{w1: {Cores: 160_000}, w2: {Accelerators: 20}}, requests(accelerators(8), w1, w2), []int{1, 0}},
		{"zones of a workspace", nil, requests(accelerators(8), zone("a"), zone("a"), zone("a"), zone("b")), []int{0, 3, 1, 2}},
		{"many zones give a workspace no more", nil, requests(accelerators(8), zone("a"), zone("b"), zone("c"), w2, w2), []int{0, 3, 1, 4, 2}},
		{"negative and huge sizes", map[origin]hswork.Resources{w1: {Cores: -5, Memory: math.MaxInt64}}, requests(hswork.Resources{Cores: math.MaxInt64, Memory: math.MaxInt64, Accelerators: -1}, w1, w1, w2, w2), []int{2, 0, 1, 3}},
	}
	for _, tt := range tables {
		l := hsshare.New(capacity)
		for o, r := range tt.used {
			l.Use(o, r, 1)
		}
		if got := l.Order(tt.requests); !slices.Equal(got, tt.want) {
			t.Errorf("%s: got %v, want %v", tt.name, got, tt.want)
		}
	}
}

// TestEntries checks the shares that operators see, and that a fleet without capacity gives no share that isn't a number.
func TestEntries(t *testing.T) {
	tables := []struct {
		name     string
		capacity hswork.Resources
		want     string
	}{
		{"ten workers", capacity, "[{{w1 } 0.5} {{w1 a} 0.25} {{w1 b} 0.25} {{w2 } 0.1}]"},
		{"no workers", hswork.Resources{}, "[{{w1 } 0} {{w1 a} 0} {{w1 b} 0} {{w2 } 0}]"},
		{"a negative capacity", hswork.Resources{Cores: -1, Memory: -1, Accelerators: -1}, "[{{w1 } 0} {{w1 a} 0} {{w1 b} 0} {{w2 } 0}]"},
	}
	for _, tt := range tables {
		l := hsshare.New(tt.capacity)
		l.Use(hsshare.Origin{Workspace: "w2"}, accelerators(8), 1)
		l.Use(hsshare.Origin{Workspace: "w1", Zone: "b"}, accelerators(20), 1)
		l.Use(hsshare.Origin{Workspace: "w1", Zone: "a"}, accelerators(20), 1)
		if got := fmt.Sprint(l.Entries()); got != tt.want {
			t.Errorf("%s: got %s, want %s", tt.name, got, tt.want)
		}
	}
}
