package hscontrol

import (
	"slices"

	"hyssopseam/core/hsid"
	"hyssopseam/core/hsmessage"
	"hyssopseam/core/hswork"
)

// changeZone evacuates or restores a zone. An order that is already carried out is acknowledged again.
func (c *Control) changeZone(zone hsid.ZoneID, restore bool) (hsmessage.WorkReply, *hswork.Command) {
	switch {
	case zone == "":
		return workReply(hsmessage.WorkBad), nil
	case len(c.config.Zones) > 0 && !slices.Contains(c.config.Zones, zone):
		return workReply(hsmessage.WorkNoZone), nil
	case !c.clusterFormed():
		return workReply(hsmessage.WorkNotReady), nil
	}
	return workReply(hsmessage.WorkDone), &hswork.Command{Zone: &hswork.ZoneEvacuation{Zone: zone, Restore: restore}}
}
