package hsrunner

import (
	"cmp"
	"time"

	"hyssopseam/core/command/hsholder"
	"hyssopseam/core/hsid"
	"hyssopseam/core/hsmessage"
	"hyssopseam/core/hsstate"
	"hyssopseam/core/hswork"
)

// Defaults and bounds of a runner.
const (
	// DefaultInterval is the time between two tallies when nothing happens.
	DefaultInterval = 500 * time.Millisecond
	// DefaultMaxHold is the longest lease of an endpoint whose settings don't say.
	DefaultMaxHold = 10 * time.Second
	// holdWait is how long an endpoint may hold back an answer when nothing ends.
	holdWait = time.Second
	// holdPause is the time between two tries to reach an endpoint that doesn't answer.
	holdPause = 200 * time.Millisecond
	// callPause is the time between two tries of a start or stop that failed.
	callPause = 250 * time.Millisecond
	// unhealthyAfter is how long an endpoint may leave holds unanswered and still counts as healthy.
	unhealthyAfter = 2500 * time.Millisecond
	// redirectPause is the time between a redirection and the next try.
	redirectPause = 20 * time.Millisecond
	// searchPause is the time between two questions to all control replicas while none answers.
	searchPause = 200 * time.Millisecond
	// overAfter is how long an endpoint that said goodbye may take to end.
	overAfter = 500 * time.Millisecond
	// clockShare is how much slower than ours an endpoint's clock may go, in percent, with a margin.
	clockShare = 3
	// lapseSlack is added to the end of a lease before what ran under it counts as over.
	lapseSlack = 200 * time.Millisecond
)

// Config names the runner and sets its times.
type Config struct {
	Instance    hsid.InstanceID
	Incarnation hsid.Incarnation
	Zone        hsid.ZoneID
	Controls    []hsstate.Peer
	Interval    time.Duration
	// MaxHold is the longest lease that an endpoint gives.
	MaxHold time.Duration
}

// Clock tells the time on a clock that only goes forward, also while the machine is suspended.
type Clock interface {
	Now() time.Time
}

// Sender sends a message without blocking; it may lose it.
type Sender interface {
	Send(to hsstate.Peer, m hsmessage.Message)
}

// Observer is told of decisions, for logs and metrics. It must not block.
type Observer interface {
	EndpointChanged(a Announcement)
	EndpointOver(id hswork.EndpointID, reason string)
	RunStarted(run hswork.RunID, r CallResult)
	RunStopped(run hswork.RunID, r CallResult)
	Listed(e hsmessage.EndedTask)
}

// Ports are the interfaces that a runner calls.
type Ports struct {
	Clock    Clock
	Sender   Sender
	Endpoint Endpoint
	Observer Observer
}

// Runner is the runner role of one process.
type Runner struct {
	config Config
	ports  Ports
	holder *hsholder.Holder

	tallyAt  time.Time
	tallyDue bool
	plan     hsmessage.Plan
	// leaseUntil is when the run lease that the leader granted ends, on the clock of this process.
	leaseUntil time.Time
	sent       map[hsid.Sequence]time.Time
	term       hsid.Term

	current *life
	turns   int
	// sealed runs are never started: they were told to be over, or never to begin.
	sealed map[hswork.RunID]bool
}

// New returns a runner that knows no endpoint yet.
func New(c Config, p Ports) *Runner {
	c.Interval = cmp.Or(c.Interval, DefaultInterval)
	c.MaxHold = cmp.Or(c.MaxHold, DefaultMaxHold)
	holder := hsholder.Config{Instance: c.Instance, Incarnation: c.Incarnation, Controls: c.Controls, Interval: c.Interval}
	return &Runner{
		config: c,
		ports:  p,
		holder: hsholder.New(holder, p.Clock),
		sent:   map[hsid.Sequence]time.Time{},
		sealed: map[hswork.RunID]bool{},
	}
}

// Leader returns where the runner takes the leader to be; empty when it doesn't know.
func (r *Runner) Leader() hsstate.Peer { return r.holder.Leader() }

// Runs returns the number of runs that the endpoint lists as being at work.
func (r *Runner) Runs() int {
	if r.current == nil {
		return 0
	}
	return len(r.current.running)
}

// Learn replaces the control replicas that are known.
func (r *Runner) Learn(controls []hsstate.Peer) { r.holder.Learn(controls) }

// Receive takes a message of a control replica.
func (r *Runner) Receive(from hsstate.Peer, m hsmessage.Message) {
	switch m := m.(type) {
	case hsmessage.Plan:
		r.receivePlan(from, m)
	case hsmessage.Redirect:
		if r.holder.Turn(from, m.Leader) {
			r.tallyAt = r.ports.Clock.Now().Add(redirectPause)
		}
	}
}

// Lost takes the news that a control replica can't be reached.
func (r *Runner) Lost(peer hsstate.Peer) {
	if r.holder.Lost(peer) {
		r.tallyAt = r.ports.Clock.Now().Add(redirectPause)
	}
}

// receivePlan takes over a plan that is newer than the one in use.
func (r *Runner) receivePlan(from hsstate.Peer, p hsmessage.Plan) {
	if p.Incarnation != r.config.Incarnation || p.Term < r.term || (p.Term == r.plan.Term && p.Serial <= r.plan.Serial) {
		return
	}
	r.term = p.Term
	r.plan = p
	r.holder.Take(from, hsmessage.Lease{Term: p.Term, Sequence: p.Sequence, For: p.For})
	r.holder.Learn(p.Controls)
	if sent, ok := r.sent[p.Sequence]; ok {
		if until := sent.Add(p.For); until.After(r.leaseUntil) {
			r.leaseUntil = until
		}
		for s := range r.sent {
			if s <= p.Sequence {
				delete(r.sent, s)
			}
		}
	}
	r.reconcile()
}

// Wake acts on the passing of time.
func (r *Runner) Wake() {
	now := r.ports.Clock.Now()
	r.checkLife(now)
	r.reconcile()
	if late, ok := r.holder.LateAt(); ok && !now.Before(late) {
		r.tallyDue = true
	}
	if r.tallyDue || !now.Before(r.tallyAt) {
		r.holder.Check()
		r.sendTally(now)
	}
}

// NextWake returns when Wake is wanted next.
func (r *Runner) NextWake() time.Time {
	if r.tallyDue {
		return time.Time{}
	}
	next := r.tallyAt
	if late, ok := r.holder.LateAt(); ok && late.Before(next) {
		next = late
	}
	if l := r.current; l != nil && l.goneAt.IsZero() {
		if !l.holding && l.holdAt.Before(next) {
			next = l.holdAt
		}
		if l.nextCall.Before(next) && !l.nextCall.IsZero() {
			next = l.nextCall
		}
	}
	return next
}

// sendTally tells the leader the whole of what the endpoint does.
func (r *Runner) sendTally(now time.Time) {
	r.tallyDue = false
	r.tallyAt = now.Add(r.config.Interval)
	if len(r.holder.Targets()) > 1 {
		r.tallyAt = now.Add(searchPause)
	}
	renew := r.holder.Renew(hsmessage.RoleRunner)
	r.sent[renew.Sequence] = now
	delete(r.sent, renew.Sequence-maxSent)
	t := hsmessage.Tally{
		Instance:    r.config.Instance,
		Incarnation: r.config.Incarnation,
		Sequence:    renew.Sequence,
		Zone:        r.config.Zone,
	}
	if l := r.current; l != nil {
		l.tally(&t, now)
	}
	for _, peer := range r.holder.Targets() {
		r.ports.Sender.Send(peer, t)
	}
}

// maxSent bounds the tallies whose send times are remembered.
const maxSent = 100
