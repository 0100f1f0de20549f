package hslifecycle

import (
	"cmp"
	"slices"
	"time"

	"hyssopseam/core/hswork"
)

// evacuate evacuates a zone or restores it. An order that is already carried out changes nothing.
func evacuate(s *hswork.State, c *hswork.ZoneEvacuation, clock time.Duration) {
	evacuated := s.Evacuated(c.Zone) != nil
	switch {
	case c.Restore:
		s.EvacuatedZones = slices.DeleteFunc(s.EvacuatedZones, func(z hswork.EvacuatedZone) bool { return z.Zone == c.Zone })
	case !evacuated:
		s.EvacuatedZones = append(s.EvacuatedZones, hswork.EvacuatedZone{Zone: c.Zone, Since: clock})
		slices.SortFunc(s.EvacuatedZones, func(a, b hswork.EvacuatedZone) int { return cmp.Compare(a.Zone, b.Zone) })
	}
}
