package hswork

import (
	"slices"
	"time"

	"hyssopseam/core/hsid"
)

// ZoneEvacuation evacuates an availability zone: nothing is started on its workers until the zone is restored. Runs that
// are in progress there go on. With Restore it ends the evacuation.
type ZoneEvacuation struct {
	Zone    hsid.ZoneID
	Restore bool
}

// EvacuatedZone is an availability zone on whose workers nothing is started.
type EvacuatedZone struct {
	Zone hsid.ZoneID
	// Since is the cluster time at which the evacuation was accepted.
	Since time.Duration
}

// Evacuated returns the evacuation of a zone, or nil when the zone is in use.
func (s *State) Evacuated(zone hsid.ZoneID) *EvacuatedZone {
	i := slices.IndexFunc(s.EvacuatedZones, func(z EvacuatedZone) bool { return z.Zone == zone })
	if i < 0 {
		return nil
	}
	return &s.EvacuatedZones[i]
}
