// Package hscost measures what callers lose when a unit of work is delayed or turned away: the cost to callers.
//
// The scheduler uses this one measure for queue order, for the choice of the runs to preempt, and for admission. It depends
// only on what callers need: the priority of the job, its latency objective, its age, the predicted time until its result,
// and the capacity that it still needs. It knows no workspaces, workers or configuration.
//
// The loss of a result of priority 0 that its caller never gets is 1, and each further priority counts half as much. A result
// that is on time loses nothing. One that misses its objective loses half at once and more until overdueFactor times the
// objective, and still keeps a rest of its value after that. As run times are estimates, the measure is an expectation over
// the error of the prediction, so it rises smoothly while a deadline comes close.
//
// All functions are pure and safe for concurrent use. Every result is finite, also for negative, huge or missing inputs.
//
// # Usage
//
//	u := hscost.Unit{Priority: 0, Objective: 5 * time.Second, Age: time.Second, Path: 2 * time.Second, Work: 96}
//	density := hscost.PerCoreSecond(u.Delay(wait), u.Work) // for queue order
//	refuse := u.Timeliness(wait) == hscost.Overdue         // for admission
package hscost
