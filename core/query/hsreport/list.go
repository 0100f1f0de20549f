package hsreport

import (
	"cmp"
	"slices"

	"hyssopseam/core/hsfleet"
	"hyssopseam/core/hsid"
	"hyssopseam/core/hsleaderstate"
	"hyssopseam/core/hsstate"
	"hyssopseam/core/hsview"
)

// jobs lists the MaxJobs latest jobs, without their answers, latest first.
func jobs(s *hsleaderstate.State) []hsview.Job {
	all := make([]*hsstate.Job, 0, len(s.Replicated.Jobs))
	for _, j := range s.Replicated.Jobs {
		all = append(all, j)
	}
	slices.SortFunc(all, func(a, b *hsstate.Job) int { return cmp.Compare(b.Index, a.Index) })
	if len(all) > MaxJobs {
		all = all[:MaxJobs]
	}
	views := make([]hsview.Job, 0, len(all))
	for _, j := range all {
		v := JobView(s, j)
		v.Answer = nil
		views = append(views, v)
	}
	return views
}

// workers lists every worker that has reported to this leader.
func workers(s *hsleaderstate.State) []hsview.Worker {
	var views []hsview.Worker
	for _, slot := range s.Layout.Slots {
		w := slot.Worker
		v := hsview.Worker{
			Instance:     slot.ID,
			Zone:         w.Report.Worker.Zone,
			Rack:         w.Report.Worker.Rack,
			Accelerators: w.All().Count(),
			Free:         slot.Free.Count(),
			Rules:        w.Report.Rules,
			State:        workerState(w, s.Replicated.Rules.InForce.Number),
			Silent:       s.Now.Sub(w.Reported),
		}
		for _, t := range w.Report.Tasks {
			v.Tasks = append(v.Tasks, t.Grant.String()+" "+string(t.Phase))
		}
		views = append(views, v)
	}
	return views
}

// workerState returns the first reason why a worker gets no work, or ready.
func workerState(w *hsfleet.Worker, rules hsid.RuleNumber) string {
	switch {
	case w.Gone:
		return "gone"
	case w.Report.Worker.Endpoint == 0:
		return "no endpoint"
	case w.Report.Worker.Leaving:
		return "leaving"
	case w.Quarantined:
		return "quarantined"
	case !w.Report.TasksKnown:
		return "starting"
	case w.Report.Rules != rules:
		return "rules behind"
	}
	return "ready"
}
