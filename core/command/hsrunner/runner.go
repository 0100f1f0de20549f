package hsrunner

import (
	"cmp"
	"time"

	"hyssopseam/core/command/hsleaseclient"
	"hyssopseam/core/hsid"
	"hyssopseam/core/hsmessage"
	"hyssopseam/core/hsstate"
	"hyssopseam/core/hswork"
)

// Defaults and bounds of a runner.
const (
	// DefaultInterval is the time between two reports to the leader when nothing changes.
	DefaultInterval = 500 * time.Millisecond
	// DefaultMaxLease is the value of Config.MaxLease when it is zero.
	DefaultMaxLease = 10 * time.Second
	// idleHoldWait is how long an endpoint may delay its answer to a hold while no run ends.
	idleHoldWait = time.Second
	// holdRetryInterval is the time before the next hold after one that got no answer.
	holdRetryInterval = 200 * time.Millisecond
	// callRetryInterval is the time before a start or stop that failed is sent again.
	callRetryInterval = 250 * time.Millisecond
	// unhealthyAfter is how long an endpoint may leave holds unanswered and still count as healthy.
	unhealthyAfter = 2500 * time.Millisecond
	// redirectDelay is the time before the next report after the runner has turned to another control replica.
	redirectDelay = 20 * time.Millisecond
	// searchInterval is the time between two reports to all control replicas while none answers.
	searchInterval = 200 * time.Millisecond
	// shutdownGrace is how long an endpoint may take to end after it announced its shutdown.
	shutdownGrace = 500 * time.Millisecond
	// leaveSlack is how much earlier than announced a leaving endpoint may send a notice that names no incarnation.
	leaveSlack = 500 * time.Millisecond
	// clockDriftPercent is how much slower than the clock of this process the endpoint's clock may run, with a
	// margin.
	clockDriftPercent = 3
	// leaseSlack is added to the end of a lease before the runs under it count as ended.
	leaseSlack = 200 * time.Millisecond
)

// Config identifies a runner and sets its times.
type Config struct {
	Instance    hsid.InstanceID
	Incarnation hsid.Incarnation
	Zone        hsid.ZoneID
	// Controls are the addresses of the control replicas.
	Controls []hsstate.Peer
	// Interval is the time between two reports when nothing changes; zero for DefaultInterval.
	Interval time.Duration
	// MaxLease is the longest lease that the endpoint grants; zero for DefaultMaxLease.
	MaxLease time.Duration
}

// Clock returns the current time of a monotonic clock that also advances while the machine is suspended.
type Clock interface {
	Now() time.Time
}

// Sender sends messages without blocking. A message may be lost.
type Sender interface {
	Send(to hsstate.Peer, m hsmessage.Message)
}

// Observer is notified of events and decisions, for logs and metrics. It must not block.
type Observer interface {
	EndpointChanged(a Announcement)
	// AnnouncementIgnored is called for an announcement of another writer.
	AnnouncementIgnored(a Announcement)
	EndpointTerminated(id hswork.EndpointID, reason string)
	// ShutdownNoticed is called for each notice of a shutdown; current is set if it ends the present incarnation.
	ShutdownNoticed(n ShutdownNotice, current bool)
	RunStarted(run hswork.RunID, r CallResult)
	RunStopped(run hswork.RunID, r CallResult)
	// RunEndListed is called for each end that the endpoint's lists show for the first time.
	RunEndListed(e hsmessage.EndedTask)
}

// Ports are the dependencies of a runner.
type Ports struct {
	Clock    Clock
	Sender   Sender
	Endpoint Endpoint
	Observer Observer
}

// Runner implements the runner role of one process.
type Runner struct {
	config      Config
	ports       Ports
	leaseClient *hsleaseclient.Client

	// reportAt is when the next periodic report is sent; reportDue is set when one should be sent at once.
	reportAt  time.Time
	reportDue bool
	plan      hsmessage.Plan
	// leaseUntil is when the run lease that the leader granted expires, on the clock of this process.
	leaseUntil time.Time
	// sentAt holds the send times of the newest reports that no plan has answered yet.
	sentAt map[hsid.Sequence]time.Time
	// term is that of the newest plan.
	term hsid.Term

	// current is nil until the endpoint announces itself.
	current     *endpointState
	generations int
	// newestIncarnation is the highest incarnation of the endpoint that was announced to this process.
	newestIncarnation hswork.EndpointIncarnation
	// startBlocked holds the runs that must not be started because they were reported as ended or as never started.
	startBlocked map[hswork.RunID]bool
}

// New returns a runner that doesn't know an endpoint yet. Zero times in c are replaced by their defaults.
func New(c Config, p Ports) *Runner {
	c.Interval = cmp.Or(c.Interval, DefaultInterval)
	c.MaxLease = cmp.Or(c.MaxLease, DefaultMaxLease)
	leaseConfig := hsleaseclient.Config{Instance: c.Instance, Incarnation: c.Incarnation, Controls: c.Controls, Interval: c.Interval}
	return &Runner{
		config:       c,
		ports:        p,
		leaseClient:  hsleaseclient.New(leaseConfig, p.Clock),
		sentAt:       map[hsid.Sequence]time.Time{},
		startBlocked: map[hswork.RunID]bool{},
	}
}

// Leader returns the address of the control replica that the runner believes to be the leader; empty when unknown.
func (r *Runner) Leader() hsstate.Peer { return r.leaseClient.Leader() }

// fence returns the fence of calls to the endpoint. A leader that sends none counts with its term alone.
func (r *Runner) fence() hswork.Fence { return max(r.plan.Fence, hswork.NewFence(r.term, 0)) }

// Runs returns the number of runs that are known to be running on the endpoint.
func (r *Runner) Runs() int {
	if r.current == nil {
		return 0
	}
	return len(r.current.running)
}

// SetControls replaces the addresses of the control replicas. An empty list changes nothing.
func (r *Runner) SetControls(controls []hsstate.Peer) { r.leaseClient.SetControls(controls) }

// Receive handles a message from a control replica.
func (r *Runner) Receive(from hsstate.Peer, m hsmessage.Message) {
	switch m := m.(type) {
	case hsmessage.Plan:
		r.receivePlan(from, m)
	case hsmessage.Redirect:
		if r.leaseClient.FollowRedirect(from, m.Leader) {
			r.reportAt = r.ports.Clock.Now().Add(redirectDelay)
		}
	}
}

// PeerUnreachable handles the notice that a control replica can't be reached. If it is the one in use, another is
// tried.
func (r *Runner) PeerUnreachable(peer hsstate.Peer) {
	if r.leaseClient.PeerUnreachable(peer) {
		r.reportAt = r.ports.Clock.Now().Add(redirectDelay)
	}
}

// receivePlan replaces the plan by a newer one, and ignores a plan that is older or for another process incarnation.
func (r *Runner) receivePlan(from hsstate.Peer, p hsmessage.Plan) {
	if p.Incarnation != r.config.Incarnation || p.Term < r.term || (p.Term == r.plan.Term && p.Serial <= r.plan.Serial) {
		return
	}
	r.term = p.Term
	r.plan = p
	r.leaseClient.HandleLease(from, hsmessage.Lease{Term: p.Term, Sequence: p.Sequence, Duration: p.RunLease})
	r.leaseClient.SetControls(p.Controls)
	if sent, ok := r.sentAt[p.Sequence]; ok {
		if until := sent.Add(p.RunLease); until.After(r.leaseUntil) {
			r.leaseUntil = until
		}
		for s := range r.sentAt {
			if s <= p.Sequence {
				delete(r.sentAt, s)
			}
		}
	}
	r.reconcile()
}

// Wake performs everything that is due by now.
func (r *Runner) Wake() {
	now := r.ports.Clock.Now()
	r.checkTermination(now)
	r.reconcile()
	if deadline, ok := r.leaseClient.AnswerDeadline(); ok && !now.Before(deadline) {
		r.reportDue = true
	}
	if r.reportDue || !now.Before(r.reportAt) {
		r.leaseClient.CheckSilence()
		r.sendReport(now)
	}
}

// NextWake returns when Wake has to be called next; the zero time means at once.
func (r *Runner) NextWake() time.Time {
	if r.reportDue {
		return time.Time{}
	}
	next := r.reportAt
	if deadline, ok := r.leaseClient.AnswerDeadline(); ok && deadline.Before(next) {
		next = deadline
	}
	if s := r.current; s != nil && s.shutdownAt.IsZero() {
		if !s.holdPending && s.nextHold.Before(next) {
			next = s.nextHold
		}
		if s.nextCall.Before(next) && !s.nextCall.IsZero() {
			next = s.nextCall
		}
	}
	return next
}

// sendReport reports the complete state of the endpoint to the leader, or to all control replicas while none answers.
func (r *Runner) sendReport(now time.Time) {
	r.reportDue = false
	r.reportAt = now.Add(r.config.Interval)
	if len(r.leaseClient.Targets()) > 1 {
		r.reportAt = now.Add(searchInterval)
	}
	renewal := r.leaseClient.Renew(hsmessage.RoleRunner)
	r.sentAt[renewal.Sequence] = now
	delete(r.sentAt, renewal.Sequence-maxSentReports)
	report := hsmessage.RunnerReport{
		Instance:    r.config.Instance,
		Incarnation: r.config.Incarnation,
		Sequence:    renewal.Sequence,
		Zone:        r.config.Zone,
	}
	if s := r.current; s != nil {
		s.fillReport(&report, now)
	}
	for _, peer := range r.leaseClient.Targets() {
		r.ports.Sender.Send(peer, report)
	}
}

// maxSentReports is the number of reports whose send times are kept.
const maxSentReports = 100
