package hscontrol

import (
	"slices"
	"time"

	"hyssopseam/core/command/hsbreaker"
	"hyssopseam/core/command/hsdispatch"
	"hyssopseam/core/command/hslease"
	"hyssopseam/core/command/hsqueue"
	"hyssopseam/core/command/hsupkeep"
	"hyssopseam/core/hsfleet"
	"hyssopseam/core/hsid"
	"hyssopseam/core/hsmessage"
	"hyssopseam/core/hsstate"
)

// leadership is what a leader knows beyond the replicated state. It ends with the term.
type leadership struct {
	term     hsid.Term
	since    time.Time
	leases   *hslease.Table
	fleet    *hsfleet.Fleet
	queue    *hsqueue.Queue
	breakers *hsbreaker.Book
	running  map[hsid.JobID]*hsstate.Job
	// runningList holds the same jobs; nil after a change.
	runningList []*hsstate.Job
	// byWorker lists the running jobs and the attempts of each worker.
	byWorker map[hsid.InstanceID][]hsid.JobID
	// placed holds the placements of each running job and attempt, and book sums them up.
	placed   map[hsid.JobID][]hsstate.Placement
	book     *hsfleet.Book
	attempts map[hsid.JobID]*attempt
	// tries holds the number of the newest attempt of each queued job that was prepared in this term.
	tries  map[hsid.JobID]hsid.Attempt
	claims map[hsid.JobID]*hsfleet.Claim
	notes  map[hsid.JobID]hsfleet.Note
	// stops holds the jobs that give way, stopping all whose members are being stopped.
	stops    map[hsid.JobID]hsfleet.Stop
	stopping map[hsid.JobID]bool
	// ending holds the jobs whose end was proposed and isn't applied yet.
	ending  map[hsid.JobID]bool
	tickets map[hsid.JobID][]ticket

	replies map[hsid.LogIndex]awaited
	// submitting counts the submissions of each job that are in the log and not applied yet.
	submitting  map[hsid.JobID]int
	jobWaiters  map[hsid.JobID][]waiter
	ruleWaiters []waiter

	// dirty lists the agents that are sent orders at the next flush; the value is set when the orders
	// answer a report.
	dirty      map[hsid.InstanceID]*hsmessage.Lease
	passDue    bool
	passAt     time.Time
	homesDue   bool
	homesAsked bool

	work *hsdispatch.Dispatcher
	// upkeep carries out waves.
	upkeep *hsupkeep.Keeper
}

// awaited is a request whose entry isn't applied yet.
type awaited struct {
	peer hsstate.Peer
	id   hsid.RequestID
	jobs []hsid.JobID
	// work is the answer to a request about step jobs; nil for any other.
	work *hsmessage.WorkReply
}

// waiter is a query that waits for something to happen.
type waiter struct {
	peer  hsstate.Peer
	id    hsid.RequestID
	query hsmessage.Query
	until time.Time
}

func (c *Control) newLeadership() *leadership {
	now := c.ports.Clock.Now()
	l := &leadership{
		term:       c.replica.Term(),
		since:      now,
		leases:     hslease.New(c.config.RulesLease, now),
		fleet:      hsfleet.New(),
		queue:      hsqueue.New(c.config.AgeBounds),
		breakers:   hsbreaker.New(),
		running:    map[hsid.JobID]*hsstate.Job{},
		byWorker:   map[hsid.InstanceID][]hsid.JobID{},
		placed:     map[hsid.JobID][]hsstate.Placement{},
		book:       hsfleet.NewBook(),
		attempts:   map[hsid.JobID]*attempt{},
		tries:      map[hsid.JobID]hsid.Attempt{},
		claims:     map[hsid.JobID]*hsfleet.Claim{},
		notes:      map[hsid.JobID]hsfleet.Note{},
		stops:      map[hsid.JobID]hsfleet.Stop{},
		stopping:   map[hsid.JobID]bool{},
		ending:     map[hsid.JobID]bool{},
		tickets:    map[hsid.JobID][]ticket{},
		replies:    map[hsid.LogIndex]awaited{},
		submitting: map[hsid.JobID]int{},
		jobWaiters: map[hsid.JobID][]waiter{},
		dirty:      map[hsid.InstanceID]*hsmessage.Lease{},
		passAt:     now,
		homesDue:   true,
	}
	l.work = hsdispatch.New(c.config.Work, c.workPorts(), c.state.Work, l.term)
	l.upkeep = hsupkeep.New(c.config.Upkeep, c.upkeepPorts(l.work), c.state.Work, l.term)
	l.breakers.Disabled = c.config.Off.Breakers
	l.queue.Flat = c.config.Off.Classes
	for _, j := range c.state.Jobs {
		switch j.Phase {
		case hsstate.Queued:
			l.queue.Add(j)
		case hsstate.Running:
			l.addRunning(j)
		}
	}
	return l
}

func (l *leadership) addRunning(j *hsstate.Job) {
	l.running[j.ID] = j
	l.runningList = nil
	l.place(j, j.Members)
}

// place enters the placements of a job; those of an attempt that starts are entered already.
func (l *leadership) place(j *hsstate.Job, members []hsstate.Placement) {
	if l.placed[j.ID] != nil {
		return
	}
	l.placed[j.ID] = members
	l.book.Take(members, &j.Spec)
	for _, m := range members {
		jobs := l.byWorker[m.Worker]
		if at, found := slices.BinarySearch(jobs, j.ID); !found {
			l.byWorker[m.Worker] = slices.Insert(jobs, at, j.ID)
		}
	}
}

// displace strikes out the placements of a job, and tells its agents.
func (l *leadership) displace(j *hsstate.Job) {
	members := l.placed[j.ID]
	delete(l.placed, j.ID)
	l.book.Release(members, &j.Spec)
	for _, m := range members {
		jobs := l.byWorker[m.Worker]
		if at, found := slices.BinarySearch(jobs, j.ID); found {
			l.byWorker[m.Worker] = slices.Delete(jobs, at, at+1)
		}
		l.markDirty(m.Worker)
	}
}

// markDirty has orders sent to an agent at the next flush.
func (l *leadership) markDirty(w hsid.InstanceID) {
	if _, ok := l.dirty[w]; !ok {
		l.dirty[w] = nil
	}
}

func (l *leadership) markMembers(members []hsstate.Placement) {
	for _, m := range members {
		l.markDirty(m.Worker)
	}
}

// runningJobs returns the running jobs in no particular order. The caller doesn't change the slice.
func (l *leadership) runningJobs() []*hsstate.Job {
	if l.runningList == nil {
		l.runningList = make([]*hsstate.Job, 0, len(l.running))
		for _, j := range l.running {
			l.runningList = append(l.runningList, j)
		}
	}
	return l.runningList
}

// learned reports whether every agent had the time to report to this leader.
func (c *Control) learned() bool {
	return c.ports.Clock.Now().Sub(c.lead.since) >= c.config.Learn
}

// layout pictures the fleet with all that is running or being prepared.
func (c *Control) layout() *hsfleet.Layout {
	return hsfleet.NewLayout(c.lead.fleet, c.state.Rules.InForce.Number, c.lead.book)
}

// propose appends a command; a failure means that leadership was lost, and what was to be done is
// found again by the next leader.
func (c *Control) propose(command hsstate.Command) (hsid.LogIndex, bool) {
	index, err := c.replica.Propose(command)
	return index, err == nil
}
