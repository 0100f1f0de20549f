package hsplacement_test

import (
	"fmt"
	"testing"
	"time"

	"hyssopseam/core/command/hsplacement"
	"hyssopseam/core/hsfleet"
	"hyssopseam/core/hshome"
	"hyssopseam/core/hsid"
	"hyssopseam/core/hsmessage"
	"hyssopseam/core/hsshape"
	"hyssopseam/core/hsstate"
)

// layoutOf returns a layout of workers w0, w1 and so on, of eight accelerators each and two to a rack. On each, the
// given number of accelerators is in use.
func layoutOf(held ...int) *hsfleet.Layout {
	f := hsfleet.New()
	allocations := hsfleet.NewAllocations()
	for i, n := range held {
		id := hsid.InstanceID(fmt.Sprintf("w%d", i))
		r := hsmessage.AgentReport{TasksKnown: true}
		r.Instance = id
		r.Incarnation = 1
		r.Sequence = 1
		r.Worker = hsmessage.Worker{Rack: hsid.RackID(fmt.Sprint(i / 2)), Endpoint: 1, Groups: hsshape.WholeWorker(8), Cores: 1000, Memory: 1000, Slots: 8}
		f.Update("p", r, time.Unix(1, 0))
		if n > 0 {
			members := []hsstate.Placement{{Worker: id, Accelerators: hsfleet.Mask(1<<n - 1).Set()}}
			allocations.Add(members, &hsstate.Spec{})
		}
	}
	return hsfleet.NewLayout(f, 0, allocations)
}

func shapeOf(text string) hsshape.Shape {
	s, err := hsshape.Parse(text)
	if err != nil {
		panic(err)
	}
	return s
}

// TestPlace checks which accelerators are chosen, by weights, shape and free capacity.
func TestPlace(t *testing.T) {
	packing := hsplacement.Weights{Fragmentation: 1}
	spreading := hsplacement.Weights{Completion: 1}
	tables := []struct {
		name    string
		held    []int
		shape   string
		cores   hsid.MilliCores
		weights hsplacement.Weights
		want    string
	}{
		{"fragmentation weight packs", []int{0, 3, 0, 0}, "2x1worker", 0, packing, "[w1[3 4]]"},
		{"completion weight spreads", []int{0, 3, 1, 1}, "2x1worker", 0, spreading, "[w0[0 1]]"},
		{"fragmentation weight takes the tightest fit", []int{2, 6, 4, 0}, "2x1worker", 0, packing, "[w1[6 7]]"},
		{"first fit without weights", []int{1, 6, 4, 0}, "2x1worker", 0, hsplacement.Weights{}, "[w0[1 2]]"},
		{"a gang stays in one rack", []int{5, 0, 4, 4}, "4x2workers", 0, packing, "[w2[4 5 6 7] w3[4 5 6 7]]"},
		{"all or nothing", []int{5, 0, 5, 0}, "4x2workers", 0, packing, "[]"},
		{"cores count", []int{0, 0, 0, 0}, "1x1worker", 2000, packing, "[]"},
		{"too large for a worker", []int{0, 0}, "9x1worker", 0, packing, "[]"},
	}
	for _, tt := range tables {
		spec := &hsstate.Spec{Shape: shapeOf(tt.shape), Cores: tt.cores}
		var got []string
		for _, m := range hsplacement.Place(layoutOf(tt.held...), tt.weights, hsplacement.Request{Spec: spec}) {
			got = append(got, fmt.Sprintf("%s%v", m.Worker, m.Accelerators))
		}
		if fmt.Sprint(got) != tt.want {
			t.Errorf("%s: got %v, want %s", tt.name, got, tt.want)
		}
	}
}

// TestOwnHomes checks whether a job is placed in a home of its workspace or beside it.
func TestOwnHomes(t *testing.T) {
	tables := []struct {
		name   string
		prefer bool
		want   hsid.InstanceID
	}{
		{"a job of another shape leaves the home free", false, "w1"},
		{"a job of the guaranteed shape uses the home", true, "w0"},
	}
	for _, tt := range tables {
		request := hsplacement.Request{
			Spec:           &hsstate.Spec{Shape: shapeOf("8x1worker")},
			OwnHomes:       []hsfleet.Mask{0xff, 0},
			PreferOwnHomes: tt.prefer,
		}
		got := hsplacement.Place(layoutOf(0, 0), hsplacement.Weights{Completion: 1, Fragmentation: 1}, request)
		if len(got) != 1 || got[0].Worker != tt.want {
			t.Errorf("%s: got %v, want %s", tt.name, got, tt.want)
		}
	}
}

// TestFragmentation checks which share of the free accelerators is of no use to a shape.
func TestFragmentation(t *testing.T) {
	tables := []struct {
		held  []int
		shape string
		want  float64
	}{
		{[]int{0, 0}, "8x2workers", 0},
		{[]int{4, 4}, "8x1worker", 1},
		{[]int{0, 4}, "8x1worker", 4.0 / 12},
		{[]int{0, 0, 4, 4}, "8x2workers", 8.0 / 24},
		{[]int{8, 8}, "1x1worker", 0},
	}
	for _, tt := range tables {
		got := layoutOf(tt.held...).Fragmentation(shapeOf(tt.shape))
		if got < tt.want-1e-9 || got > tt.want+1e-9 {
			t.Errorf("%v for %s: got %v, want %v", tt.held, tt.shape, got, tt.want)
		}
	}
}

// TestHomes checks how many guarantees are backed, how many single points of failure there are, and that assigning the
// homes again moves none.
func TestHomes(t *testing.T) {
	guarantee := func(w hsid.WorkspaceID, shape string) hsstate.Guarantee {
		return hsstate.Guarantee{Workspace: w, Shape: shapeOf(shape)}
	}
	tables := []struct {
		name       string
		held       []int
		guarantees []hsstate.Guarantee
		backed     int
		failures   int
	}{
		{"one guarantee", []int{0, 0}, []hsstate.Guarantee{guarantee("a", "4x1worker")}, 1, 1},
		{"the loss of one of two racks is survived", []int{0, 0, 0, 0}, []hsstate.Guarantee{guarantee("a", "8x2workers")}, 1, 0},
		{"large guarantees first", []int{0, 0}, []hsstate.Guarantee{guarantee("a", "2x1worker"), guarantee("b", "8x1worker"), guarantee("c", "6x1worker")}, 3, 3},
		{"too many guarantees", []int{0, 0}, []hsstate.Guarantee{guarantee("a", "8x2workers"), guarantee("b", "1x1worker")}, 1, 3},
	}
	for _, tt := range tables {
		l := layoutOf(tt.held...)
		homes := hshome.Assign(l, tt.guarantees, nil)
		if got := hshome.CountBacked(homes); got != tt.backed {
			t.Errorf("%s: got %d backed, want %d", tt.name, got, tt.backed)
		}
		if got := len(hshome.SinglePointsOfFailure(l, tt.guarantees, homes)); got != tt.failures {
			t.Errorf("%s: got %d single points of failure, want %d", tt.name, got, tt.failures)
		}
		reassigned := hshome.Assign(l, tt.guarantees, homes)
		if fmt.Sprint(reassigned) != fmt.Sprint(homes) {
			t.Errorf("%s: got moved homes %v, want %v", tt.name, reassigned, homes)
		}
	}
}
