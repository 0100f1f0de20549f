package hshome

import (
	"fmt"

	"hyssopseam/core/hsfleet"
	"hyssopseam/core/hsid"
	"hyssopseam/core/hsstate"
)

// Loss is a worker or rack whose failure would leave guarantees unbacked.
type Loss struct {
	Name string
	// Unbacked lists those guarantees, by position.
	Unbacked []int
}

// Fragile returns the single points of failure: the workers and racks whose loss would leave a backed guarantee
// without a home, even after the homes were assigned again. Only workers and racks that hold homes are considered.
func Fragile(l *hsfleet.Layout, guarantees []hsstate.Guarantee, homes []hsstate.Home) []Loss {
	var losses []Loss
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
			losses = appendLoss(losses, name, unbackedWithout(l, guarantees, homes, rack[len(rack)-1:]))
		}
		if used && len(rack) > 1 {
			name := fmt.Sprintf("rack %s/%s", r.Zone, r.ID)
			losses = appendLoss(losses, name, unbackedWithout(l, guarantees, homes, rack))
		}
	}
	return losses
}

func appendLoss(losses []Loss, name string, unbacked []int) []Loss {
	if len(unbacked) == 0 {
		return losses
	}
	return append(losses, Loss{Name: name, Unbacked: unbacked})
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
// lost.
func unbackedWithout(l *hsfleet.Layout, guarantees []hsstate.Guarantee, homes []hsstate.Home, lost []hsid.InstanceID) []int {
	after := assign(l, guarantees, homes, lost)
	if Backed(after) < Backed(homes) {
		if reassigned := assign(l, guarantees, nil, lost); Backed(reassigned) > Backed(after) {
			after = reassigned
		}
	}
	var unbacked []int
	for i := range guarantees {
		h := Find(homes, &guarantees[i])
		if h != nil && len(h.Parts) > 0 && len(after[i].Parts) == 0 {
			unbacked = append(unbacked, i)
		}
	}
	return unbacked
}
