package whole

import (
	"testing"
	"time"

	"hyssopseam/core/command/hsdispatch"
	"hyssopseam/core/hsid"
	"hyssopseam/core/hsview"
	"hyssopseam/internal/play"
)

// zonesOfJobs returns how many jobs of the leader's state have each zone.
func (h *speedHarness) zonesOfJobs() map[hsid.ZoneID]int {
	zones := map[hsid.ZoneID]int{}
	for _, j := range h.leaderNode().Role().State().Work.Jobs {
		zones[j.Zone]++
	}
	return zones
}

// restartAll restarts all control processes, each from its disk.
func (h *speedHarness) restartAll() {
	for _, n := range h.w.Controls {
		n.Crash(true)
	}
	for _, n := range h.w.Controls {
		n.Start()
	}
	h.w.Run(5 * time.Second)
}

// TestSharesAfterUpgrade restarts a cluster with the disks of a build without shares, shares capacity, and restarts it again. It
// guards against a replica that can't read a disk with or without the zones of callers, against zones in the state while
// capacity isn't shared, and against shares that are lost with the leader.
func TestSharesAfterUpgrade(t *testing.T) {
	h := newSpeedHarness(false)
	h.load(10 * time.Second)
	if zones := h.zonesOfJobs(); zones[play.EntryZone] != 0 || len(h.leaderNode().Role().WorkShares()) != 0 {
		t.Errorf("got zones %v and shares %v while capacity isn't shared, want none", zones, h.leaderNode().Role().WorkShares())
	}
	c := speedConfig(false)
	c.Work.Features = hsdispatch.Features{Shares: true, Costs: true}
	h.w.Reconfigure(c)
	tables := []struct {
		name string
		fail func()
	}{
		{"upgraded", h.restartAll},
		{"all control processes are restarted", h.restartAll},
		{"the leader is killed", func() {
			n := h.leaderNode()
			n.Crash(false)
			h.w.Run(4 * time.Second)
			n.Start()
		}},
	}
	for _, tt := range tables {
		before := h.zonesOfJobs()[play.EntryZone]
		tt.fail()
		h.load(4 * time.Second)
		if got := h.zonesOfJobs()[play.EntryZone]; got < before+8 {
			t.Errorf("%s: got %d jobs with the zone of their callers, want %d and the 8 submitted since", tt.name, got, before)
		}
		shares := h.leaderNode().Role().WorkShares()
		want := []hsview.WorkShare{{Workspace: "a"}, {Workspace: "a", Zone: play.EntryZone}}
		for i, w := range want {
			if i >= len(shares) || shares[i].Workspace != w.Workspace || shares[i].Zone != w.Zone || shares[i].Share <= 0 || shares[i].Share > 1 {
				t.Errorf("%s: got shares %+v, want those of %+v", tt.name, shares, want)
				break
			}
		}
	}
}
