// Package hsfleet is the leader's view of the workers: what they announced, what they reported last,
// which accelerators are free, and what is claimed for whom.
//
// It is neutral ground beside hsstate: commands keep it up to date and decide by it, queries read it.
// It isn't replicated; a new leader builds it anew from the first report of each agent. It isn't safe
// for concurrent use.
//
// # Usage
//
//	fleet := hsfleet.New()
//	w := fleet.Update(peer, report, now)
//	layout := hsfleet.NewLayout(fleet, state, held)
//	free := layout.Slots[0].Free.Count()
package hsfleet
