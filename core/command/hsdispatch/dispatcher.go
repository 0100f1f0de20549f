package hsdispatch

import (
	"time"

	"hyssopseam/core/command/hslease"
	"hyssopseam/core/command/hsspeed"
	"hyssopseam/core/hscost"
	"hyssopseam/core/hsid"
	"hyssopseam/core/hsmessage"
	"hyssopseam/core/hsstate"
	"hyssopseam/core/hswork"
)

// Defaults of a Config.
const (
	// DefaultLease is how long an endpoint keeps running tasks without a renewal.
	DefaultLease = 8 * time.Second
	// DefaultStopTimeout is the longest that an endpoint takes to stop a run.
	DefaultStopTimeout = 400 * time.Millisecond
	// DefaultOffRackSlowdown is the factor by which tasks take longer off their rack.
	DefaultOffRackSlowdown = 3.0

	// passInterval is the time between two scheduling passes without other events. It is the resolution of due times
	// and timeouts.
	passInterval = 100 * time.Millisecond
	// passPauseFactor is the pause after a pass relative to its duration: passes take at most a quarter of the time.
	passPauseFactor = 3
	// leaseMargin is added to a lease to cover the network delay of the last message that renewed it.
	leaseMargin = 100 * time.Millisecond
	// silenceTimeout is how long a runner may be silent before its worker gets no new runs: three times its
	// report interval.
	silenceTimeout = 1500 * time.Millisecond
	// forgetAfter is how long a silent worker without placed runs is kept.
	forgetAfter = time.Minute
)

// Config holds the settings of a dispatcher. Zero values stand for the defaults.
type Config struct {
	// Lease is the length of the run lease: how long an endpoint keeps running tasks without a renewal.
	Lease time.Duration
	// StopTimeout is the longest that an endpoint takes to stop a run.
	StopTimeout time.Duration
	// OffRackSlowdown is how many times as long a task takes off the rack that it needs, or spread over several
	// racks.
	OffRackSlowdown float64
	// Features selects the optional parts; all are off by default.
	Features Features
}

// Features selects the optional parts of the scheduler. A part that is off has no effect on any decision.
type Features struct {
	// Speeds learns the speeds of the workers and places by them.
	Speeds bool
	// Stragglers restarts units that miss their objective because of a slow worker.
	Stragglers bool
	// Trust gives work step by step to workers that failed lately.
	Trust bool
	// Shares divides unguaranteed capacity fairly between workspaces and zones.
	Shares bool
	// Admission refuses jobs that can't be served.
	Admission bool
	// UrgentHeadroom keeps capacity free for urgent units where it takes long to stop a run.
	UrgentHeadroom bool
	// Costs orders units, victims and refusals by what a delay costs callers.
	Costs bool
}

// WithDefaults returns the configuration with each zero value replaced by its default.
func (c Config) WithDefaults() Config {
	if c.Lease == 0 {
		c.Lease = DefaultLease
	}
	if c.StopTimeout == 0 {
		c.StopTimeout = DefaultStopTimeout
	}
	if c.OffRackSlowdown == 0 {
		c.OffRackSlowdown = DefaultOffRackSlowdown
	}
	return c
}

// Clock reads a monotonic clock that also advances while the machine is suspended. Its wall time is that of its
// start plus the time elapsed since.
type Clock interface {
	Now() time.Time
}

// Sender sends messages without blocking. Messages may be lost.
type Sender interface {
	Send(to hsstate.Peer, m hsmessage.Message)
}

// Log is the replicated log.
type Log interface {
	// ProposeWork appends a command. It returns false if leadership was lost.
	ProposeWork(c *hswork.Command) bool
	// Clock returns the cluster time.
	Clock() time.Duration
}

// Speeds estimates the speeds of workers.
type Speeds interface {
	// Estimate returns the estimate for a worker. It is the zero value while the observations don't show that workers differ;
	// after that, it has the variance of the prior for an unknown one.
	Estimate(worker hsid.InstanceID) hswork.SpeedEstimate
}

// evenSpeeds is the Speeds of a fleet whose workers are taken to be equally fast.
type evenSpeeds struct{}

func (evenSpeeds) Estimate(hsid.InstanceID) hswork.SpeedEstimate { return hswork.SpeedEstimate{} }

// Observer receives decisions for logs and metrics. Its methods must not block.
type Observer interface {
	// Placed reports a proposed start, and how long its tasks were ready before.
	Placed(s *hswork.Start, waited time.Duration)
	// RunEnded reports a proposed end.
	RunEnded(e *hswork.End, worker hsid.InstanceID)
	// Stopping reports the decision to stop a run.
	Stopping(s Stop)
	// Restarting reports the decision to restart a straggler, before that to stop its runs.
	Restarting(s Straggler)
	// Completed reports that a job was completed, with the cause if it was late.
	Completed(c Completion)
	// TrustChanged reports that the trust in a worker has another level.
	TrustChanged(c TrustChange)
	// Held reports that a unit is held back, though it may fit on free workers. It is reported once for each time that the
	// unit becomes ready.
	Held(h Hold)
	// WorkThrown reports work that a run lost because it ended, and why: the kind of its end, or the reason of its stop.
	WorkThrown(reason string, work hscost.CoreSeconds)
	// WorkerChanged reports that a worker announced another incarnation of its endpoint, or that usable changed:
	// whether it accepts new runs.
	WorkerChanged(id hsid.InstanceID, endpoint hsmessage.Endpoint, usable bool)
	// SpeedChanged reports that a worker is in another class of speed.
	SpeedChanged(c hsspeed.ClassChange)
}

// Ports are the interfaces that a dispatcher calls.
type Ports struct {
	Clock    Clock
	Sender   Sender
	Log      Log
	Observer Observer
	// Adviser is nil if there is no policy service.
	Adviser Adviser
}

// Dispatcher schedules step jobs during one leadership. It holds what the leader knows beyond the replicated state.
type Dispatcher struct {
	config       Config
	ports        Ports
	state        *hswork.State
	term         hsid.Term
	leadingSince time.Time

	workers map[hsid.InstanceID]*worker
	// epochs holds the part of the fence that rises when a run of a worker is given up. It outlives the worker's entry
	// in workers, as its endpoint refuses calls with a lower fence.
	epochs map[hsid.InstanceID]uint64
	// serials holds the serial of the last plan for each runner. It outlives the worker's entry too, as the runner ignores
	// plans with a lower serial for as long as the term lasts.
	serials map[hsid.InstanceID]hsid.Sequence
	// placed indexes the runs that aren't proved to have ended.
	placed *placedIndex
	// proposedEnds holds the runs whose end was proposed and isn't applied yet.
	proposedEnds map[hswork.RunID]bool
	// proposedStarts holds the starts that were proposed and aren't applied yet, by their first task.
	proposedStarts map[hswork.TaskID]*hswork.Start
	// stopping holds the placed runs that this leader decided to stop.
	stopping map[hswork.RunID]bool
	// claims holds the capacity being freed by preemption, by the first task of its unit.
	claims map[hswork.TaskID]*claim
	// readySince is when each waiting unit was first seen ready, by its first task.
	readySince map[hswork.TaskID]time.Time
	// restarted holds the stragglers of open jobs that were restarted, by their first task.
	restarted map[hswork.TaskID]bool
	// heldSince is when each waiting unit was first held back for a reason.
	heldSince map[holdKey]time.Time
	// runningSince is when each run was first reported as running.
	runningSince map[hswork.RunID]time.Time
	// startedJobs holds the jobs of which a task was reported as running.
	startedJobs map[hswork.ID]bool
	// progress is the last reported progress of each running task.
	progress map[hswork.RunID]progress
	// failedOn holds the workers on which tasks of a step failed.
	failedOn map[StepID]map[hsid.InstanceID]bool
	// traces holds what was seen of open jobs of which a unit was started.
	traces map[hswork.ID]*jobTrace
	// trusts holds the evidence against workers that isn't forgiven. It outlives the worker's entry in workers.
	trusts map[hsid.InstanceID]*trust
	// coveredJobs holds the open jobs covered by the guarantee of their workspace, as of the last pass.
	coveredJobs map[hswork.ID]bool
	// totalCores is the capacity of all workers that accept new runs, with accelerators converted into cores.
	totalCores float64
	// lowestPriority is the largest priority number of a queue, as of the last pass.
	lowestPriority int
	// load is that of the same workers, total their capacity and free what is free of it, as of the last pass.
	load        load
	total, free hswork.Resources
	// comingWaits is as of the last pass in which room was short; nil before.
	comingWaits *comingWaits
	// groups and stepMeasures cache what stopping runs costs, during one pass.
	groups       map[hsid.InstanceID][]victimGroup
	stepMeasures map[StepID]hscost.Unit
	shares       shares

	speeds Speeds
	// tracker is what speeds reads if speeds are learned; nil otherwise.
	tracker *hsspeed.Tracker
	// fleet holds the speeds as of the last pass.
	fleet fleetSpeeds

	permits  map[StepID]*stepPermits
	restarts map[hswork.TaskID]restart
	// drainingUntil is until when an endpoint gets no new runs, for the upkeep of its machine.
	drainingUntil map[hswork.EndpointID]time.Time

	controls []hsstate.Peer
	passDue  bool
	lastPass time.Time
	// nextPass is the earliest time of the next pass.
	nextPass time.Time
}

// New returns the dispatcher for a leadership that begins now, in the given term.
func New(c Config, p Ports, s *hswork.State, term hsid.Term) *Dispatcher {
	d := &Dispatcher{
		config:         c.WithDefaults(),
		ports:          p,
		state:          s,
		term:           term,
		leadingSince:   p.Clock.Now(),
		workers:        map[hsid.InstanceID]*worker{},
		epochs:         map[hsid.InstanceID]uint64{},
		serials:        map[hsid.InstanceID]hsid.Sequence{},
		placed:         newPlacedIndex(s),
		proposedEnds:   map[hswork.RunID]bool{},
		proposedStarts: map[hswork.TaskID]*hswork.Start{},
		stopping:       map[hswork.RunID]bool{},
		claims:         map[hswork.TaskID]*claim{},
		readySince:     map[hswork.TaskID]time.Time{},
		restarted:      map[hswork.TaskID]bool{},
		traces:         map[hswork.ID]*jobTrace{},
		trusts:         map[hsid.InstanceID]*trust{},
		heldSince:      map[holdKey]time.Time{},
		runningSince:   map[hswork.RunID]time.Time{},
		startedJobs:    map[hswork.ID]bool{},
		progress:       map[hswork.RunID]progress{},
		failedOn:       map[StepID]map[hsid.InstanceID]bool{},
		speeds:         evenSpeeds{},
		fleet:          newFleetSpeeds(),
		permits:        map[StepID]*stepPermits{},
		restarts:       map[hswork.TaskID]restart{},
		drainingUntil:  map[hswork.EndpointID]time.Time{},
		passDue:        true,
	}
	d.startTracker()
	return d
}

// HasStarted reports whether a task of a job was reported as running during this leadership.
func (d *Dispatcher) HasStarted(id hswork.ID) bool { return d.startedJobs[id] }

// SetControls sets the addresses of the control replicas, which every plan tells the runners.
func (d *Dispatcher) SetControls(controls []hsstate.Peer) { d.controls = controls }

// Applied updates the dispatcher after a command was applied to the replicated state.
func (d *Dispatcher) Applied(c *hswork.Command) {
	if c.Speeds != nil {
		d.speedsCommitted(c.Speeds)
		return
	}
	d.passDue = true
	d.placed.applied(d.state, c)
	switch {
	case c.Start != nil:
		delete(d.proposedStarts, c.Start.Members[0].Task)
		for _, m := range c.Start.Members {
			d.requestPlan(m.Worker)
		}
		d.stopOnLeaving(c.Start)
	case c.End != nil:
		d.appliedEnds(c.End)
	case c.Cancel != nil:
		d.requestPlansForJob(c.Cancel.ID)
		delete(d.traces, c.Cancel.ID)
	}
}

// appliedEnds drops what is kept about runs that ended, and advances the acknowledgements that their commit allows.
func (d *Dispatcher) appliedEnds(c *hswork.EndRuns) {
	for i := range c.Ends {
		run := c.Ends[i].Run
		d.scheduleRestart(run, d.ports.Clock.Now())
		d.speedRunEnded(run)
		delete(d.proposedEnds, run)
		delete(d.stopping, run)
		delete(d.runningSince, run)
		delete(d.progress, run)
		d.requestPlansForJob(run.Task.Job)
	}
	d.dropUnusedPermits()
	d.dropFailures()
	d.dropRestarted()
	d.reportCompleted(c)
	for id, w := range d.workers {
		if d.advanceAck(w) {
			d.requestPlan(id)
		}
	}
}

// requestPlansForJob makes the next flush send a plan to every worker on which a run of a job is placed.
func (d *Dispatcher) requestPlansForJob(id hswork.ID) {
	j := d.state.Jobs[id]
	if j == nil {
		return
	}
	j.EachAssignment(func(_ hswork.TaskID, _ *hswork.Task, a hswork.Assignment) { d.requestPlan(a.Worker) })
}

// requestPlan makes the next flush send a plan to a worker.
func (d *Dispatcher) requestPlan(id hsid.InstanceID) {
	if w := d.workers[id]; w != nil {
		w.planDue = true
	}
}

// Wake makes a scheduling pass due once passInterval has passed since the last one.
func (d *Dispatcher) Wake() {
	now := d.ports.Clock.Now()
	if now.Sub(d.lastPass) >= passInterval {
		d.passDue = true
	}
}

// Flush runs a scheduling pass if one is due and not put off, and sends the plans that are due. The pass ends lost runs, stops runs
// that should move to other workers, and starts waiting units.
func (d *Dispatcher) Flush() {
	if d.passDue && !d.ports.Clock.Now().Before(d.nextPass) {
		d.pass()
	}
	d.sendPlans()
}

// pass runs one scheduling pass, and puts off the next one so that passes leave most of the time to other inputs.
func (d *Dispatcher) pass() {
	d.passDue = false
	d.lastPass = d.ports.Clock.Now()
	d.updateSpeeds(d.lastPass)
	d.readSpeeds()
	d.endLostRuns(d.lastPass)
	d.relocateRuns(d.lastPass)
	d.stopUnstarted()
	d.schedule(d.lastPass)
	ended := d.ports.Clock.Now()
	d.nextPass = ended.Add(min(passPauseFactor*ended.Sub(d.lastPass), passInterval))
}

// NextPass returns when Flush runs the next pass if one is due, and false if none is.
func (d *Dispatcher) NextPass() (time.Time, bool) { return d.nextPass, d.passDue }

// proposeEnds proposes the ends of runs of a worker and records them as proposed. A run that is given up raises the
// fence of the worker, so that a start that is still under way can't begin under a later lease. It does nothing if
// leadership was lost.
func (d *Dispatcher) proposeEnds(ends []hswork.End, worker hsid.InstanceID) {
	if len(ends) == 0 || !d.ports.Log.ProposeWork(&hswork.Command{End: &hswork.EndRuns{Ends: ends}}) {
		return
	}
	d.recordLosses(ends, worker)
	d.traceLosses(ends)
	for i := range ends {
		d.reportThrown(&ends[i])
		d.proposedEnds[ends[i].Run] = true
		if ends[i].Kind == hswork.EndLost {
			d.epochs[worker]++
		}
		d.ports.Observer.RunEnded(&ends[i], worker)
	}
}

// leaseExpiry returns when the last lease that an incarnation of a worker's endpoint may hold expires if nothing more is
// heard from it. None of its runs is running after that. A report extends only the lease of the incarnation that it names: a
// runner that was restarted and doesn't hear from its endpoint goes on to report without one. Earlier leaders granted
// their leases before this leadership began, so the beginning of this leadership counts as the time of their last grant.
func (d *Dispatcher) leaseExpiry(id hsid.InstanceID, incarnation hswork.EndpointIncarnation) time.Time {
	granted := d.leadingSince
	if w := d.workers[id]; w != nil {
		heard := w.lastHeard
		if w.report.Endpoint.Incarnation < incarnation {
			heard = w.changedAt
		}
		if heard.After(granted) {
			granted = heard
		}
	}
	return granted.Add(hslease.WithDrift(d.config.Lease) + leaseMargin)
}

// namedIncarnation returns the incarnation of the endpoint in the newest report of a worker; zero without a report.
func (d *Dispatcher) namedIncarnation(id hsid.InstanceID) hswork.EndpointIncarnation {
	if w := d.workers[id]; w != nil {
		return w.report.Endpoint.Incarnation
	}
	return 0
}

// endLostRuns proposes the ends of the runs on workers whose lease has expired, and drops workers that were silent
// for forgetAfter and hold no placed run.
func (d *Dispatcher) endLostRuns(now time.Time) {
	for _, id := range d.workersWithRuns() {
		named := d.namedIncarnation(id)
		expired := !now.Before(d.leaseExpiry(id, named))
		var ends []hswork.End
		for _, p := range d.placedOn(id) {
			incarnation := p.assignment.EndpointIncarnation
			over := expired || incarnation > named && !now.Before(d.leaseExpiry(id, incarnation))
			if over && !d.proposedEnds[p.run] {
				ends = append(ends, d.lostEnd(p.run))
			}
		}
		d.proposeEnds(ends, id)
	}
	for id, w := range d.workers {
		if now.Sub(w.lastHeard) > forgetAfter && len(d.placedOn(id)) == 0 {
			delete(d.workers, id)
		}
	}
}

// lostEnd returns the end of a run with unknown outcome, with the last checkpoint that was reported to this leader.
func (d *Dispatcher) lostEnd(run hswork.RunID) hswork.End {
	return hswork.End{Run: run, Kind: hswork.EndLost, Checkpoint: d.progress[run].checkpoint}
}
