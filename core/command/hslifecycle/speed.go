package hslifecycle

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"hyssopseam/core/hsid"
	"hyssopseam/core/hswork"
)

// dropOldSpeeds drops the speeds that weren't updated for hswork.SpeedRetention.
func dropOldSpeeds(s *hswork.State, clock time.Duration) {
	maps.DeleteFunc(s.Speeds, func(_ hsid.InstanceID, w hswork.WorkerSpeed) bool { return clock-w.Updated > hswork.SpeedRetention })
}

// recordSpeeds replaces the speeds of some workers, and drops old ones and the oldest ones above hswork.MaxSpeeds.
func recordSpeeds(s *hswork.State, c *hswork.SpeedUpdate, clock time.Duration) {
	if s.Speeds == nil {
		s.Speeds = map[hsid.InstanceID]hswork.WorkerSpeed{}
	}
	for _, w := range c.Speeds {
		w = w.Bounded()
		w.Updated = clock
		s.Speeds[w.Worker] = w
	}
	dropOldSpeeds(s, clock)
	if len(s.Speeds) <= hswork.MaxSpeeds {
		return
	}
	oldestFirst := slices.SortedFunc(maps.Values(s.Speeds), func(a, b hswork.WorkerSpeed) int {
		return cmp.Or(cmp.Compare(a.Updated, b.Updated), cmp.Compare(a.Worker, b.Worker))
	})
	for _, w := range oldestFirst[:len(oldestFirst)-hswork.MaxSpeeds] {
		delete(s.Speeds, w.Worker)
	}
}
