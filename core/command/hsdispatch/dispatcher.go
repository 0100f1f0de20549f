package hsdispatch

import (
	"time"

	"hyssopseam/core/command/hslease"
	"hyssopseam/core/hsid"
	"hyssopseam/core/hsmessage"
	"hyssopseam/core/hsstate"
	"hyssopseam/core/hswork"
)

// Defaults of a Config.
const (
	// DefaultLease is the longest that endpoints hold runs without a renewal.
	DefaultLease       = 8 * time.Second
	DefaultStopTimeout = 400 * time.Millisecond
	// DefaultFarFactor is how many times as long tasks take away from their rack.
	DefaultFarFactor = 3.0

	// passInterval is the time between two passes while nothing happens; due times and patience end in it.
	passInterval = 100 * time.Millisecond
	// leaseSlack is added to a lease for the way of the last message that renewed it.
	leaseSlack = 100 * time.Millisecond
	// silence is how long a runner may be silent before nothing more is placed on its worker: three of its
	// intervals.
	silence = 1500 * time.Millisecond
	// forgetAfter is how long a silent worker without runs is remembered.
	forgetAfter = time.Minute
)

// Config sets the times of a dispatcher.
type Config struct {
	// Lease is the run lease.
	Lease time.Duration
	// StopTimeout is how long an endpoint takes to stop a run at most.
	StopTimeout time.Duration
	// FarFactor is how many times as long tasks take away from their rack, or on several ones.
	FarFactor float64
}

// WithDefaults returns the configuration with each zero value replaced by its default.
func (c Config) WithDefaults() Config {
	if c.Lease == 0 {
		c.Lease = DefaultLease
	}
	if c.StopTimeout == 0 {
		c.StopTimeout = DefaultStopTimeout
	}
	if c.FarFactor == 0 {
		c.FarFactor = DefaultFarFactor
	}
	return c
}

// Clock tells the time on a clock that only goes forward, also while the machine is suspended. Its wall
// time is that of the start plus what has passed since.
type Clock interface {
	Now() time.Time
}

// Sender sends a message without blocking; it may lose it.
type Sender interface {
	Send(to hsstate.Peer, m hsmessage.Message)
}

// Log is the replicated log.
type Log interface {
	// ProposeWork appends a command. It reports false when leadership was lost.
	ProposeWork(c *hswork.Command) bool
	// Clock returns the cluster time.
	Clock() time.Duration
}

// Observer is told of decisions, for logs and metrics. It must not block.
type Observer interface {
	Placed(s *hswork.Start, waited time.Duration)
	RunEnded(e *hswork.End, worker hsid.InstanceID)
	Preempted(run hswork.RunID, worker hsid.InstanceID, by hswork.ID)
	Stalled(run hswork.RunID, worker hsid.InstanceID)
	Moved(run hswork.RunID, worker hsid.InstanceID)
	WorkerChanged(id hsid.InstanceID, endpoint hsmessage.Endpoint, usable bool)
}

// Ports are the interfaces that a dispatcher calls.
type Ports struct {
	Clock    Clock
	Sender   Sender
	Log      Log
	Observer Observer
	// Adviser is nil where there is no policy service.
	Adviser Adviser
}

// Dispatcher is what one leadership knows about step jobs beyond the replicated state.
type Dispatcher struct {
	config Config
	ports  Ports
	state  *hswork.State
	term   hsid.Term
	since  time.Time

	workers map[hsid.InstanceID]*worker
	// placed lists the runs that aren't over, by worker. It is rebuilt after a change of the state.
	placed      map[hsid.InstanceID][]placedRun
	placedStale bool
	// ending holds the runs whose end was proposed and isn't applied yet.
	ending map[hswork.RunID]bool
	// starting holds the starts that were proposed and aren't applied yet, by their first task.
	starting map[hswork.TaskID]*hswork.Start
	// stopping holds the runs that give way to others.
	stopping map[hswork.RunID]bool
	claims   map[hswork.TaskID]*claim
	// ready is when each unit that waits was first seen ready.
	ready map[hswork.TaskID]time.Time
	// began is when each run was first seen at work.
	began map[hswork.RunID]time.Time
	begun map[hswork.ID]bool
	// progress is what was last seen of each run at work.
	progress map[hswork.RunID]progress
	// coveredJobs are the open jobs that guarantees cover, as of the newest pass.
	coveredJobs map[hswork.ID]bool
	// cores is what all usable workers have, with accelerators counted as cores.
	cores float64

	permits  map[StepID]*permits
	restarts map[hswork.TaskID]restart
	// vacant tells until when endpoints are kept free for upkeep.
	vacant map[hswork.EndpointID]time.Time

	controls []hsstate.Peer
	passDue  bool
	passAt   time.Time
}

// New returns the dispatcher of a leadership that begins now.
func New(c Config, p Ports, s *hswork.State, term hsid.Term) *Dispatcher {
	return &Dispatcher{
		config:      c.WithDefaults(),
		ports:       p,
		state:       s,
		term:        term,
		since:       p.Clock.Now(),
		workers:     map[hsid.InstanceID]*worker{},
		placedStale: true,
		ending:      map[hswork.RunID]bool{},
		starting:    map[hswork.TaskID]*hswork.Start{},
		stopping:    map[hswork.RunID]bool{},
		claims:      map[hswork.TaskID]*claim{},
		ready:       map[hswork.TaskID]time.Time{},
		began:       map[hswork.RunID]time.Time{},
		begun:       map[hswork.ID]bool{},
		progress:    map[hswork.RunID]progress{},
		permits:     map[StepID]*permits{},
		restarts:    map[hswork.TaskID]restart{},
		vacant:      map[hswork.EndpointID]time.Time{},
		passDue:     true,
	}
}

// Begun reports whether a task of a job was seen at work by this leadership.
func (d *Dispatcher) Begun(id hswork.ID) bool { return d.begun[id] }

// SetControls sets the addresses that runners are told.
func (d *Dispatcher) SetControls(controls []hsstate.Peer) { d.controls = controls }

// Applied acts on a command that was just applied.
func (d *Dispatcher) Applied(c *hswork.Command) {
	d.passDue = true
	d.placedStale = true
	switch {
	case c.Start != nil:
		delete(d.starting, c.Start.Members[0].Task)
		for _, m := range c.Start.Members {
			d.planFor(m.Worker)
		}
	case c.End != nil:
		d.appliedEnds(c.End)
	case c.Cancel != nil:
		d.planForJob(c.Cancel.ID)
	}
}

func (d *Dispatcher) appliedEnds(c *hswork.Ends) {
	for i := range c.Ends {
		run := c.Ends[i].Run
		d.endedLasting(run, d.ports.Clock.Now())
		delete(d.ending, run)
		delete(d.stopping, run)
		delete(d.began, run)
		delete(d.progress, run)
		d.planForJob(run.Task.Work)
	}
	d.forgetPermits()
	for id, w := range d.workers {
		if d.note(w) {
			d.planFor(id)
		}
	}
}

// planForJob has plans sent to every worker that holds a run of a job.
func (d *Dispatcher) planForJob(id hswork.ID) {
	j := d.state.Jobs[id]
	if j == nil {
		return
	}
	j.EachPlace(func(_ hswork.TaskID, _ *hswork.Task, p hswork.Place) { d.planFor(p.Worker) })
}

func (d *Dispatcher) planFor(id hsid.InstanceID) {
	if w := d.workers[id]; w != nil {
		w.planDue = true
	}
}

// Wake acts on the passing of time.
func (d *Dispatcher) Wake() {
	now := d.ports.Clock.Now()
	if now.Sub(d.passAt) >= passInterval {
		d.passDue = true
	}
}

// Flush notes what is lost, places what can be placed, and sends the plans that changed.
func (d *Dispatcher) Flush() {
	if d.passDue {
		d.passDue = false
		d.passAt = d.ports.Clock.Now()
		d.endLost(d.passAt)
		d.moveRuns(d.passAt)
		d.schedule(d.passAt)
	}
	d.sendPlans()
}

// propose appends ends to the log and remembers them until they are applied.
func (d *Dispatcher) propose(ends []hswork.End, worker hsid.InstanceID) {
	if len(ends) == 0 || !d.ports.Log.ProposeWork(&hswork.Command{End: &hswork.Ends{Ends: ends}}) {
		return
	}
	for i := range ends {
		d.ending[ends[i].Run] = true
		d.ports.Observer.RunEnded(&ends[i], worker)
	}
}

// lostAt returns when everything that was started on a worker is over if nothing more is heard of it.
// Leases of earlier leaders were granted before this one led.
func (d *Dispatcher) lostAt(id hsid.InstanceID) time.Time {
	granted := d.since
	if w := d.workers[id]; w != nil && w.heard.After(granted) {
		granted = w.heard
	}
	return granted.Add(hslease.WithDrift(d.config.Lease) + leaseSlack)
}

// endLost ends the runs on workers that were silent past their lease.
func (d *Dispatcher) endLost(now time.Time) {
	for _, id := range d.placedWorkers() {
		if now.Before(d.lostAt(id)) {
			continue
		}
		var ends []hswork.End
		for _, p := range d.placedOn(id) {
			if !d.ending[p.run] {
				ends = append(ends, d.lostEnd(p.run))
			}
		}
		d.propose(ends, id)
	}
	for id, w := range d.workers {
		if now.Sub(w.heard) > forgetAfter && len(d.placedOn(id)) == 0 {
			delete(d.workers, id)
		}
	}
}

// lostEnd returns the end of a run whose fate isn't known, with the newest checkpoint that was seen.
func (d *Dispatcher) lostEnd(run hswork.RunID) hswork.End {
	return hswork.End{Run: run, How: hswork.EndLost, Checkpoint: d.checkpointOf(run)}
}
