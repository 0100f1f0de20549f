package hshome

import (
	"fmt"

	"hyssopseam/core/hsfleet"
	"hyssopseam/core/hsid"
	"hyssopseam/core/hsstate"
)

// PointOfFailure is a worker or rack whose failure would leave guarantees unbacked.
type PointOfFailure struct {
	Name string
	// Unbacked lists those guarantees, by position.
	Unbacked []int
}

// SinglePointsOfFailure returns the single points of failure: the workers and racks whose failure would leave a
// backed guarantee without a home, even after the homes were assigned again. Only workers and racks that hold homes
// are considered.
func SinglePointsOfFailure(l *hsfleet.Layout, guarantees []hsstate.Guarantee, homes []hsstate.Home) []PointOfFailure {
	var points []PointOfFailure
	for i := range l.Racks {
		r := &l.Racks[i]
		var rack []hsid.InstanceID
		used := false
		for _, s := range r.Slots {
			rack = append(rack, s.ID)
			if !holdsHome(homes, s.ID) {
				continue
			}
			used = true
			name := fmt.Sprintf("worker %s", s.ID)
			points = appendPoint(points, name, unbackedWithout(l, guarantees, homes, rack[len(rack)-1:]))
		}
		if used && len(rack) > 1 {
			name := fmt.Sprintf("rack %s/%s", r.Zone, r.ID)
			points = appendPoint(points, name, unbackedWithout(l, guarantees, homes, rack))
		}
	}
	return points
}

func appendPoint(points []PointOfFailure, name string, unbacked []int) []PointOfFailure {
	if len(unbacked) == 0 {
		return points
	}
	return append(points, PointOfFailure{Name: name, Unbacked: unbacked})
}

func holdsHome(homes []hsstate.Home, id hsid.InstanceID) bool {
	for _, h := range homes {
		for _, p := range h.Parts {
			if p.Worker == id {
				return true
			}
		}
	}
	return false
}

// unbackedWithout returns the positions of the guarantees that are backed now and wouldn't be without the workers in
// failed.
func unbackedWithout(l *hsfleet.Layout, guarantees []hsstate.Guarantee, homes []hsstate.Home, failed []hsid.InstanceID) []int {
	after := assign(l, guarantees, homes, failed)
	if CountBacked(after) < CountBacked(homes) {
		if reassigned := assign(l, guarantees, nil, failed); CountBacked(reassigned) > CountBacked(after) {
			after = reassigned
		}
	}
	var unbacked []int
	for i := range guarantees {
		h := HomeOf(homes, &guarantees[i])
		if h != nil && len(h.Parts) > 0 && len(after[i].Parts) == 0 {
			unbacked = append(unbacked, i)
		}
	}
	return unbacked
}
