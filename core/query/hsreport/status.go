package hsreport

import (
	"cmp"
	"slices"
	"time"

	"hyssopseam/core/hsestimate"
	"hyssopseam/core/hsfleet"
	"hyssopseam/core/hshome"
	"hyssopseam/core/hsid"
	"hyssopseam/core/hsleaderstate"
	"hyssopseam/core/hsstate"
	"hyssopseam/core/hsview"
)

// stopPercentile is the percentile of the observed stop times that is taken as the time to stop a job.
const stopPercentile = 99

// status summarizes the state of the cluster.
func status(s *hsleaderstate.State) *hsview.Status {
	v := &hsview.Status{
		Leader:        s.Leader,
		Term:          s.Term,
		Rules:         s.Replicated.Rules.InForce.Number,
		Everywhere:    s.Everywhere,
		Lagging:       s.Lagging,
		Workers:       s.Fleet.Len(),
		Accelerators:  s.Layout.Total,
		Free:          s.Layout.Free(),
		Fragmentation: s.Layout.Fragmentation(s.Demand),
		Queued:        len(s.Queue),
		Finished:      len(s.Replicated.Finished),
		Guarantees:    guarantees(s),
		Completion:    completion(s),
		Learning:      s.Learning,
		WorkShares:    s.WorkShares,
	}
	if s.Demand.Total() > 0 {
		v.LargestDemand = s.Demand.String()
	}
	for _, z := range s.Replicated.Work.EvacuatedZones {
		v.EvacuatedZones = append(v.EvacuatedZones, z.Zone)
	}
	for _, j := range s.Replicated.Jobs {
		if j.Phase == hsstate.Running {
			v.Running++
		}
	}
	for _, j := range s.Queue {
		v.OldestWait = max(v.OldestWait, s.Clock-j.Accepted)
	}
	s.Fleet.Each(func(w *hsfleet.Worker) {
		if w.Quarantined {
			v.Quarantined = append(v.Quarantined, w.Report.Instance)
		}
	})
	return v
}

// guarantees returns the state of each guarantee, with the workers and racks whose failure would leave it unbacked.
func guarantees(s *hsleaderstate.State) []hsview.Guarantee {
	rules := s.Replicated.Rules.InForce.Guarantees
	views := make([]hsview.Guarantee, len(rules))
	for i := range rules {
		g := &rules[i]
		v := hsview.Guarantee{
			Workspace: g.Workspace,
			Shape:     g.Shape.String(),
			Within:    g.Within,
			Reason:    "no home was found yet",
		}
		if h := hshome.HomeOf(s.Replicated.Homes, g); h != nil {
			checkBacking(s, g, h, &v)
		}
		views[i] = v
	}
	for _, point := range hshome.SinglePointsOfFailure(s.Layout, rules, s.Replicated.Homes) {
		for _, i := range point.Unbacked {
			views[i].Fragile = append(views[i].Fragile, point.Name)
		}
	}
	return views
}

// checkBacking fills in whether a home backs its guarantee: whether its workers are usable, and the jobs of other
// workspaces that run on it can be stopped within the guaranteed time.
func checkBacking(s *hsleaderstate.State, g *hsstate.Guarantee, h *hsstate.Home, v *hsview.Guarantee) {
	v.Reason = h.Reason
	v.Backed = len(h.Parts) > 0
	for _, p := range h.Parts {
		v.Home = append(v.Home, placement(p.Worker, p.Accelerators))
		slot := s.Layout.Slot(p.Worker)
		if slot == nil || !slot.Usable {
			v.Backed = false
			v.Reason = "worker " + string(p.Worker) + " of its home accepts no work now"
		}
	}
	for _, j := range s.Replicated.Jobs {
		if j.Phase != hsstate.Running || j.Spec.Workspace == g.Workspace || !occupies(j, h) {
			continue
		}
		took, ok := hsestimate.Stop(s.Replicated, j.Spec.Workspace, j.Spec.Kind, stopPercentile)
		switch {
		case j.Once:
			v.Backed = false
			v.Reason = "job " + string(j.ID) + " on its home must never run twice, so it isn't stopped"
		case !ok || took > g.Within:
			v.Backed = false
			v.Reason = "job " + string(j.ID) + " on its home isn't known to stop within the time"
		}
		v.Reclaim = max(v.Reclaim, took)
	}
}

// occupies reports whether a job uses any accelerator of a home.
func occupies(j *hsstate.Job, h *hsstate.Home) bool {
	for _, m := range j.Members {
		for _, x := range m.Accelerators {
			if h.Holds(m.Worker, x) {
				return true
			}
		}
	}
	return false
}

type completionKey struct {
	class     hsstate.Class
	workspace hsid.WorkspaceID
}

// completion summarizes the times from acceptance to answer of the finished jobs that are kept, by class and
// workspace.
func completion(s *hsleaderstate.State) []hsview.Completion {
	times := map[completionKey][]time.Duration{}
	for _, id := range s.Replicated.Finished {
		j := s.Replicated.Jobs[id]
		if j.Outcome == hsstate.Answered {
			k := completionKey{class: j.Spec.Class, workspace: j.Spec.Workspace}
			times[k] = append(times[k], j.Ended-j.Accepted)
		}
	}
	keys := make([]completionKey, 0, len(times))
	for k := range times {
		keys = append(keys, k)
	}
	slices.SortFunc(keys, func(a, b completionKey) int {
		return cmp.Or(cmp.Compare(a.class, b.class), cmp.Compare(a.workspace, b.workspace))
	})
	views := make([]hsview.Completion, 0, len(keys))
	for _, k := range keys {
		views = append(views, hsview.Completion{Class: k.class.String(), Workspace: k.workspace, Spread: Spread(times[k])})
	}
	return views
}

// Spread summarizes durations. It sorts d in place.
func Spread(d []time.Duration) hsview.Spread {
	if len(d) == 0 {
		return hsview.Spread{}
	}
	slices.Sort(d)
	return hsview.Spread{
		Count: len(d),
		P50:   d[(len(d)-1)*50/100],
		P99:   d[(len(d)-1)*99/100],
		Max:   d[len(d)-1],
	}
}
