// Package hsspeed estimates how fast the workers are, from the progress of their runs.
//
// The tasks of a step need about the same work, so a worker is slow if its tasks of a step take longer than those on
// other workers. A Tracker extrapolates the time of each run from its progress and compares the runs of each step in the
// log domain. The work of the step is unknown: its prior comes from the expected run time, and for each worker it is
// estimated without that worker's own runs. The slowdown of a worker is a normal distribution. Runs in progress change it
// provisionally, and a step changes it once and for all when its runs have ended.
//
// A worker that was fast and is slow now is recognized by the progress of the last seconds. While that contradicts the
// distribution, the recent rate counts. A run without progress has no recent rate; the dispatcher takes it for stalled.
//
// The slowdowns are relative to the mean over the known workers. Estimate returns them only where the observations show
// that the workers differ. On a fleet of even workers it returns the zero value, so that decisions are the same as without
// a tracker.
//
// The distributions are committed from time to time, so that the next leader begins with them: Proposal returns those that
// have changed enough, and Committed records that they are in the replicated state.
//
// A Tracker is deterministic: it has no clock and doesn't depend on the order of maps. It isn't safe for concurrent use; the
// owner of the dispatcher owns it.
//
// # Usage
//
//	t := hsspeed.New(state.Speeds, clusterTime, now)
//	t.Seen(worker, incarnation, now)
//	t.Progress(hsspeed.Reading{Run: run, Worker: worker, Percent: 40, At: now, Expected: expected})
//	t.Ended(run, now)
//	changes := t.Update(now) // before each pass
//	estimate := t.Estimate(worker)
//	update := t.Proposal(now, clusterTime)
package hsspeed
