// Package hsfleet holds the leader's view of the workers: their announced capacity and last reports, which
// accelerators are free, and which are claimed for queued jobs.
//
// Commands keep the view up to date and use it for their decisions; queries read it. Unlike hsstate it isn't
// replicated: a new leader rebuilds it from the first report of each agent. It isn't safe for concurrent use.
//
// # Usage
//
//	fleet := hsfleet.New()
//	w, ok := fleet.Update(peer, report, now)
//	layout := hsfleet.NewLayout(fleet, rules, allocations)
//	free := layout.Slots[0].Free.Count()
package hsfleet
