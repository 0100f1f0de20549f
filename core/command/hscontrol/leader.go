package hscontrol

import (
	"slices"
	"time"

	"hyssopseam/core/command/hsbreaker"
	"hyssopseam/core/command/hsdispatch"
	"hyssopseam/core/command/hslease"
	"hyssopseam/core/command/hsmaintenance"
	"hyssopseam/core/command/hsqueue"
	"hyssopseam/core/hsfleet"
	"hyssopseam/core/hsid"
	"hyssopseam/core/hsmessage"
	"hyssopseam/core/hsstate"
	"hyssopseam/core/hswork"
)

// leaderState is the leader's state of one term that isn't replicated.
type leaderState struct {
	term hsid.Term
	// since is when this replica began to lead.
	since    time.Time
	leases   *hslease.Table
	fleet    *hsfleet.Fleet
	queue    *hsqueue.Queue
	breakers *hsbreaker.Breakers
	running  map[hsid.JobID]*hsstate.Job
	// runningList caches the values of running; nil after a change.
	runningList []*hsstate.Job
	// byWorker lists, for each worker, the jobs with a placement on it, running or being prepared, sorted by ID.
	byWorker map[hsid.InstanceID][]hsid.JobID
	// placements holds the placements of every job that runs or is being prepared.
	placements map[hsid.JobID][]hsstate.Placement
	// allocated sums placements by worker and by workspace.
	allocated *hsfleet.Allocations
	// attempts holds the attempts whose start isn't committed yet.
	attempts map[hsid.JobID]*attempt
	// newestAttempt is the number of the newest attempt that this leader prepared for each job.
	newestAttempt map[hsid.JobID]hsid.Attempt
	// claims holds the accelerators that are kept free for queued jobs.
	claims map[hsid.JobID]*hsfleet.Claim
	// waitReasons says why each queued job that was visited isn't placed.
	waitReasons map[hsid.JobID]hsfleet.WaitReason
	// stopReasons holds the jobs that this leader decided to stop. Cancelled jobs aren't among them.
	stopReasons map[hsid.JobID]hsfleet.StopReason
	// stopping holds the jobs whose members are ordered to stop, for whatever reason.
	stopping map[hsid.JobID]bool
	// ending holds the jobs for which an entry that ends the job or its attempt is proposed and not applied yet.
	ending map[hsid.JobID]bool
	// tickets holds the circuit breakers' tickets of each job's members.
	tickets map[hsid.JobID][]memberTicket

	// pendingReplies holds, by log index, the requests that are answered once the entry at that index is applied.
	pendingReplies map[hsid.LogIndex]pendingReply
	// submissionsInLog counts, for each job, the submissions that are appended to the log and not applied yet.
	submissionsInLog map[hsid.JobID]int
	// stepJobsInLog holds, for each step job, the requests whose submissions are appended to the log and not applied yet,
	// in their order.
	stepJobsInLog map[hswork.ID][]hsid.RequestID
	jobWaiters    map[hsid.JobID][]waiter
	ruleWaiters   []waiter

	// dirtyAgents holds the agents that are sent orders at the next flush. The lease is set when the orders
	// answer a report, and nil otherwise.
	dirtyAgents map[hsid.InstanceID]*hsmessage.Lease
	// passDue requests a scheduling pass at the next flush; lastPass is the time of the last one.
	passDue  bool
	lastPass time.Time
	// homesDue requests that homes are assigned again; homesProposed is set while a change of homes is in the log
	// and not applied yet.
	homesDue      bool
	homesProposed bool

	// replacesSilent holds the joining replicas that this leader added to replace a silent member at another address.
	replacesSilent map[hsid.ReplicaID]bool

	// dispatcher runs the step jobs.
	dispatcher *hsdispatch.Dispatcher
	// maintenance coordinates the waves.
	maintenance *hsmaintenance.Coordinator
}

// pendingReply is a request whose log entry isn't applied yet.
type pendingReply struct {
	requester hsstate.Peer
	id        hsid.RequestID
	// age is how long before this copy the request was first sent; zero for the first one.
	age time.Duration
	// cancelled lists the jobs of a cancellation.
	cancelled []hsid.JobID
	// workReply is the answer to a request about step jobs; nil for other requests.
	workReply *hsmessage.WorkReply
}

// waiter is a long-polling query: it is answered when its condition is met, at the latest at its deadline.
type waiter struct {
	requester hsstate.Peer
	id        hsid.RequestID
	query     hsmessage.Query
	deadline  time.Time
}

// newLeaderState returns the state of a new leader: the queued and running jobs come from the replicated state,
// everything else is empty.
func (c *Control) newLeaderState() *leaderState {
	now := c.ports.Clock.Now()
	l := &leaderState{
		term:             c.replica.Term(),
		since:            now,
		leases:           hslease.New(c.config.RulesLease, now),
		fleet:            hsfleet.New(),
		queue:            hsqueue.New(c.config.AgeBounds),
		breakers:         hsbreaker.New(),
		running:          map[hsid.JobID]*hsstate.Job{},
		byWorker:         map[hsid.InstanceID][]hsid.JobID{},
		placements:       map[hsid.JobID][]hsstate.Placement{},
		allocated:        hsfleet.NewAllocations(),
		attempts:         map[hsid.JobID]*attempt{},
		newestAttempt:    map[hsid.JobID]hsid.Attempt{},
		claims:           map[hsid.JobID]*hsfleet.Claim{},
		waitReasons:      map[hsid.JobID]hsfleet.WaitReason{},
		stopReasons:      map[hsid.JobID]hsfleet.StopReason{},
		stopping:         map[hsid.JobID]bool{},
		ending:           map[hsid.JobID]bool{},
		tickets:          map[hsid.JobID][]memberTicket{},
		pendingReplies:   map[hsid.LogIndex]pendingReply{},
		submissionsInLog: map[hsid.JobID]int{},
		stepJobsInLog:    map[hswork.ID][]hsid.RequestID{},
		jobWaiters:       map[hsid.JobID][]waiter{},
		replacesSilent:   map[hsid.ReplicaID]bool{},
		dirtyAgents:      map[hsid.InstanceID]*hsmessage.Lease{},
		lastPass:         now,
		homesDue:         true,
	}
	l.dispatcher = hsdispatch.New(c.config.Work, c.workPorts(), c.state.Work, l.term)
	l.maintenance = hsmaintenance.New(c.config.Maintenance, c.maintenancePorts(l.dispatcher), c.state.Work, l.term)
	l.breakers.Disabled = c.config.Disabled.Breakers
	l.queue.SingleClass = c.config.Disabled.Classes
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

func (l *leaderState) addRunning(j *hsstate.Job) {
	l.running[j.ID] = j
	l.runningList = nil
	l.addPlacements(j, j.Members)
}

// addPlacements records the placements of a job. It does nothing when they are recorded already, as they are for an
// attempt that this leader prepared and that now starts.
func (l *leaderState) addPlacements(j *hsstate.Job, members []hsstate.Placement) {
	if l.placements[j.ID] != nil {
		return
	}
	l.placements[j.ID] = members
	l.allocated.Add(members, &j.Spec)
	for _, m := range members {
		jobs := l.byWorker[m.Worker]
		if at, found := slices.BinarySearch(jobs, j.ID); !found {
			l.byWorker[m.Worker] = slices.Insert(jobs, at, j.ID)
		}
	}
}

// removePlacements removes the placements of a job and marks its agents dirty.
func (l *leaderState) removePlacements(j *hsstate.Job) {
	members := l.placements[j.ID]
	delete(l.placements, j.ID)
	l.allocated.Remove(members, &j.Spec)
	for _, m := range members {
		jobs := l.byWorker[m.Worker]
		if at, found := slices.BinarySearch(jobs, j.ID); found {
			l.byWorker[m.Worker] = slices.Delete(jobs, at, at+1)
		}
		l.markDirty(m.Worker)
	}
}

// markDirty marks an agent to be sent orders at the next flush.
func (l *leaderState) markDirty(w hsid.InstanceID) {
	if _, ok := l.dirtyAgents[w]; !ok {
		l.dirtyAgents[w] = nil
	}
}

func (l *leaderState) markMembersDirty(members []hsstate.Placement) {
	for _, m := range members {
		l.markDirty(m.Worker)
	}
}

// runningJobs returns the running jobs in no particular order. The caller must not change the slice.
func (l *leaderState) runningJobs() []*hsstate.Job {
	if l.runningList == nil {
		l.runningList = make([]*hsstate.Job, 0, len(l.running))
		for _, j := range l.running {
			l.runningList = append(l.runningList, j)
		}
	}
	return l.runningList
}

// fleetDiscovered reports whether every agent has had the time to report to this leader (Config.FleetDiscovery).
func (c *Control) fleetDiscovered() bool {
	return c.ports.Clock.Now().Sub(c.leader.since) >= c.config.FleetDiscovery
}

// layout returns the current layout of the fleet, with the placements of all jobs that run or are being prepared.
func (c *Control) layout() *hsfleet.Layout {
	l := hsfleet.NewLayout(c.leader.fleet, c.state.Rules.InForce.Number, c.leader.allocated)
	for _, z := range c.state.Work.EvacuatedZones {
		l.ExcludeZone(z.Zone)
	}
	return l
}

// propose appends a command to the log and returns the index of its entry. It reports false when this replica has
// lost leadership; callers need no retry, as the next leader finds the same work to do from its own state.
func (c *Control) propose(command hsstate.Command) (hsid.LogIndex, bool) {
	index, err := c.replica.Propose(command)
	return index, err == nil
}
