// Package hsprocess runs the roles of one process on a single control goroutine.
//
// The goroutine owns all control state. It receives typed inputs from one bounded channel, the inbox, wakes the roles
// at the times they asked for, and otherwise sleeps. Other goroutines (links, HTTP handlers, the disk, the platform)
// only send inputs and read the Snapshot. While the inbox is full, new requests are refused as not run; completions and
// messages block instead, which applies back pressure to their senders.
//
// # Usage
//
//	p := hsprocess.New(clock, logger)
//	p.Attach(control, entry, agent)
//	go p.Run()
//	reply := p.Request(ctx, request, time.Second)
//	p.Stop()
package hsprocess

import (
	"context"
	"log/slog"
	"sync/atomic"
	"time"

	"hyssopseam/core/command/hsagent"
	"hyssopseam/core/command/hscontrol"
	"hyssopseam/core/command/hsentry"
	"hyssopseam/core/command/hsrunner"
	"hyssopseam/core/command/hsspeed"
	"hyssopseam/core/hsid"
	"hyssopseam/core/hsmessage"
	"hyssopseam/core/hsstate"
	"hyssopseam/core/hsview"
)

const (
	// inboxSize is the number of inputs that can be queued.
	inboxSize = 8192
	// maxBatch is the number of queued inputs that are applied, after the first, before outputs are flushed.
	maxBatch = 512
	// maxSleep is the longest sleep between two batches, also when no role has a timer set.
	maxSleep = time.Second
)

// Clock is a monotonic clock.
type Clock interface {
	Now() time.Time
}

// Snapshot is a read-only snapshot of the roles for other goroutines. It is replaced as a whole after each batch.
type Snapshot struct {
	Leading bool
	Leader  hsstate.Peer
	// Role is the role of the control replica in the quorum, such as follower.
	Role      string
	Term      hsid.Term
	Commit    hsid.LogIndex
	LogLength int
	// HasRulesLease is set while the agent holds a rules lease; without the agent role, while the entry does. In a
	// process with neither it is set while the control replica knows a leader, and never without the control role.
	HasRulesLease bool
	Rules         hsid.RuleNumber
	Pending       int
	StrayReplies  int
	Members       int
	AgentTasks    int
	Runs          int
	Draining      bool
	Batches       uint64
	// WorkersBySpeed counts the workers by class of speed while the control replica leads and learns speeds.
	WorkersBySpeed hsspeed.Counts
	// WorkShares lists the shares of workspaces while the control replica leads and shares capacity.
	WorkShares []hsview.WorkShare
}

// Process runs the roles of one process. Roles that it doesn't hold are nil.
type Process struct {
	clock   Clock
	log     *slog.Logger
	control *hscontrol.Control
	entry   *hsentry.Entry
	agent   *hsagent.Agent
	runner  *hsrunner.Runner

	inbox    chan input
	stop     chan struct{}
	stopped  chan struct{}
	failure  atomic.Pointer[error]
	failed   chan struct{}
	snapshot atomic.Pointer[Snapshot]
	// busy is the time that the control goroutine spent processing batches, in nanoseconds.
	busy     atomic.Int64
	batches  uint64
	draining bool

	// replyTo holds the reply channel of each pending request. Only the control goroutine uses it.
	replyTo map[hsid.RequestID]chan<- hsmessage.Reply
	// earlyReply holds a reply that arrived before the request was registered in replyTo.
	earlyReply *hsmessage.Reply
}

// input is an event that is applied to the roles on the control goroutine.
type input interface {
	apply(p *Process)
}

// New returns a process without roles.
func New(clock Clock, log *slog.Logger) *Process {
	p := &Process{
		clock:   clock,
		log:     log,
		inbox:   make(chan input, inboxSize),
		stop:    make(chan struct{}),
		stopped: make(chan struct{}),
		failed:  make(chan struct{}),
		replyTo: map[hsid.RequestID]chan<- hsmessage.Reply{},
	}
	p.snapshot.Store(&Snapshot{})
	return p
}

// Attach sets the roles; nil for those that the process doesn't hold. It must be called before Run.
func (p *Process) Attach(c *hscontrol.Control, e *hsentry.Entry, a *hsagent.Agent) {
	p.control = c
	p.entry = e
	p.agent = a
}

// AttachRunner sets the runner role. It must be called before Run.
func (p *Process) AttachRunner(r *hsrunner.Runner) { p.runner = r }

// Snapshot returns the newest snapshot. It is safe for concurrent use.
func (p *Process) Snapshot() *Snapshot { return p.snapshot.Load() }

// BusyTime returns the total time that the control goroutine spent processing batches. It is safe for concurrent use.
func (p *Process) BusyTime() time.Duration { return time.Duration(p.busy.Load()) }

// Backlog returns the number of inputs in the inbox. It is safe for concurrent use.
func (p *Process) Backlog() int { return len(p.inbox) }

// Failed returns a channel that is closed on an unrecoverable error; Err returns that error.
func (p *Process) Failed() <-chan struct{} { return p.failed }

// Err returns the error that the process failed with, or nil.
func (p *Process) Err() error {
	if err := p.failure.Load(); err != nil {
		return *err
	}
	return nil
}

// fail records an unrecoverable error and closes failed. Only the first error counts.
func (p *Process) fail(err error) {
	if p.failure.CompareAndSwap(nil, &err) {
		close(p.failed)
	}
}

// Run processes inputs and timers until Stop is called. It owns the roles meanwhile.
func (p *Process) Run() {
	defer close(p.stopped)
	timer := time.NewTimer(0)
	defer timer.Stop()
	for {
		timer.Reset(p.untilNextWake())
		select {
		case <-p.stop:
			return
		case in := <-p.inbox:
			p.processBatch(in)
		case <-timer.C:
			p.processBatch(nil)
		}
	}
}

// Stop ends Run and waits until it has returned. It must be called once, after Run was started.
func (p *Process) Stop() {
	close(p.stop)
	<-p.stopped
}

// processBatch applies a batch of inputs, wakes the roles whose timers are due, and flushes their outputs.
func (p *Process) processBatch(first input) {
	began := time.Now()
	if first != nil {
		first.apply(p)
		p.applyMore()
	}
	p.wakeDue()
	if p.control != nil {
		p.control.Flush()
	}
	p.batches++
	p.updateSnapshot()
	p.busy.Add(int64(time.Since(began)))
}

func (p *Process) applyMore() {
	for range maxBatch {
		select {
		case in := <-p.inbox:
			in.apply(p)
		default:
			return
		}
	}
}

// timedRole is a role that asks to be woken at a certain time.
type timedRole interface {
	Wake()
	NextWake() time.Time
}

func (p *Process) timedRoles() []timedRole {
	var all []timedRole
	if p.control != nil {
		all = append(all, p.control)
	}
	if p.entry != nil {
		all = append(all, p.entry)
	}
	if p.agent != nil {
		all = append(all, p.agent)
	}
	if p.runner != nil {
		all = append(all, p.runner)
	}
	return all
}

func (p *Process) wakeDue() {
	now := p.clock.Now()
	for _, w := range p.timedRoles() {
		if !w.NextWake().After(now) {
			w.Wake()
		}
	}
}

func (p *Process) untilNextWake() time.Duration {
	now := p.clock.Now()
	sleep := maxSleep
	for _, w := range p.timedRoles() {
		sleep = min(sleep, w.NextWake().Sub(now))
	}
	return max(sleep, 0)
}

func (p *Process) updateSnapshot() {
	s := &Snapshot{Draining: p.draining, Batches: p.batches}
	if p.control != nil {
		r := p.control.Replica()
		s.Leading = p.control.Leading()
		s.Leader = r.LeaderAddress()
		s.Role = string(r.Role())
		s.Term = r.Term()
		s.Commit = r.CommitIndex()
		s.LogLength = r.LogLength()
		s.Members = len(r.Members())
		s.Rules = p.control.State().Rules.InForce.Number
		s.HasRulesLease = s.Leader != ""
		s.WorkersBySpeed = p.control.WorkersBySpeed()
		s.WorkShares = p.control.WorkShares()
	}
	if p.entry != nil {
		s.Rules, s.HasRulesLease = p.entry.Rules()
		s.Pending = p.entry.Pending()
		s.StrayReplies = p.entry.StrayReplies()
		s.Leader = p.entry.Leader()
	}
	if p.agent != nil {
		s.Rules, s.HasRulesLease = p.agent.Rules()
		s.AgentTasks = p.agent.GrantCount()
	}
	if p.runner != nil {
		s.Leader = p.runner.Leader()
		s.Runs = p.runner.Runs()
	}
	p.logChanges(p.snapshot.Load(), s)
	p.snapshot.Store(s)
}

// logChanges logs what changed since the last snapshot: the leader, contact with the leader, and the number of
// members.
func (p *Process) logChanges(before, now *Snapshot) {
	if now.Leading != before.Leading {
		p.log.Info("leadership changed", "leading", now.Leading, "term", now.Term, "commit", now.Commit)
	}
	if now.Leader != before.Leader {
		p.log.Info("leader changed", "leader", now.Leader, "before", before.Leader, "term", now.Term)
	}
	if now.HasRulesLease != before.HasRulesLease {
		p.log.Info("contact with the leader changed", "contact", now.HasRulesLease, "leader", now.Leader)
	}
	if now.Members != before.Members {
		p.log.Info("members changed", "members", now.Members, "before", before.Members, "commit", now.Commit)
	}
}

// enqueue blocks until the inbox has room or the process has stopped.
func (p *Process) enqueue(in input) {
	select {
	case p.inbox <- in:
	case <-p.stopped:
	}
}

// tryEnqueue never blocks. It returns false when the inbox is full.
func (p *Process) tryEnqueue(in input) bool {
	select {
	case p.inbox <- in:
		return true
	default:
		return false
	}
}

// Request passes a request to the entry role and waits for its reply. When the context ends first, the reply has the
// status unknown.
func (p *Process) Request(ctx context.Context, m hsmessage.Request, timeout time.Duration) hsmessage.Reply {
	return p.await(ctx, requestReceived{request: m, timeout: timeout})
}

// Submit passes a job to the entry role and waits for its reply, as Request does.
func (p *Process) Submit(ctx context.Context, spec hsstate.Spec, timeout time.Duration) hsmessage.Reply {
	return p.await(ctx, requestReceived{spec: &spec, timeout: timeout})
}

func (p *Process) await(ctx context.Context, received requestReceived) hsmessage.Reply {
	reply := make(chan hsmessage.Reply, 1)
	received.reply = reply
	if !p.tryEnqueue(received) {
		if received.spec != nil {
			received.request.Submit = &hsstate.SubmitJob{Spec: *received.spec}
		}
		return hsentry.Refuse(&received.request, "the process has too many inputs waiting")
	}
	select {
	case r := <-reply:
		return r
	case <-ctx.Done():
		p.enqueue(requestCancelled{reply: reply})
		return hsmessage.Reply{Status: hsmessage.StatusUnknown, Reason: "the caller stopped waiting"}
	case <-p.stopped:
		return hsmessage.Reply{Status: hsmessage.StatusUnknown, Reason: "the process stopped"}
	}
}

// Answer delivers the reply to a request to its caller. It must be called on the control goroutine.
func (p *Process) Answer(r hsmessage.Reply) {
	reply, ok := p.replyTo[r.ID]
	if !ok {
		p.earlyReply = &r
		return
	}
	delete(p.replyTo, r.ID)
	reply <- r
}
