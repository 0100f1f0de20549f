// Package hsprocess runs the roles of one process on a single control goroutine.
//
// The goroutine owns all control state. It takes typed inputs from one bounded channel, wakes the roles
// when they asked for it, and otherwise sleeps. Other goroutines (links, HTTP handlers, the disk, the
// platform) only send inputs and read the Published snapshot. A full channel refuses new requests as not
// run; completions and messages wait for room instead, which holds back whoever sends them.
//
// # Usage
//
//	p := hsprocess.New(clock, logger)
//	p.Attach(control, entry, agent)
//	go p.Run()
//	reply := p.Ask(ctx, request, time.Second)
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
	"hyssopseam/core/hsid"
	"hyssopseam/core/hsmessage"
	"hyssopseam/core/hsstate"
)

const (
	// inboxSize bounds the inputs that wait.
	inboxSize = 8192
	// maxBatch bounds the inputs that are taken before outputs are flushed.
	maxBatch = 512
	// maxSleep bounds the sleep of a process without roles that ask to be woken.
	maxSleep = time.Second
)

// Clock tells the time on a clock that only goes forward.
type Clock interface {
	Now() time.Time
}

// Published is what other goroutines may know of the roles. It is replaced as a whole after each batch.
type Published struct {
	Leading    bool
	Leader     hsstate.Peer
	Role       string
	Term       hsid.Term
	Commit     hsid.LogIndex
	LogLength  int
	RulesOK    bool
	Rules      hsid.RuleNumber
	Pending    int
	Strays     int
	Members    int
	AgentTasks int
	Runs       int
	Draining   bool
	Batches    uint64
}

// Process is the running roles of one process. Roles that it doesn't hold are nil.
type Process struct {
	clock   Clock
	log     *slog.Logger
	control *hscontrol.Control
	entry   *hsentry.Entry
	agent   *hsagent.Agent
	runner  *hsrunner.Runner

	inbox     chan input
	stop      chan struct{}
	stopped   chan struct{}
	failure   atomic.Pointer[error]
	failed    chan struct{}
	published atomic.Pointer[Published]
	// Busy is the time that the control goroutine spent working, in nanoseconds.
	busy    atomic.Int64
	batches uint64
	drained bool

	// answers belongs to the control goroutine: where the answer of each request goes.
	answers map[hsid.RequestID]chan<- hsmessage.Reply
	// early holds the answer that came while the request was being taken.
	early *hsmessage.Reply
}

// input is something that happened.
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
		answers: map[hsid.RequestID]chan<- hsmessage.Reply{},
	}
	p.published.Store(&Published{})
	return p
}

// Attach gives the process its roles before Run; nil for those it doesn't hold.
func (p *Process) Attach(c *hscontrol.Control, e *hsentry.Entry, a *hsagent.Agent) {
	p.control = c
	p.entry = e
	p.agent = a
}

// AttachRunner gives the process the runner role before Run.
func (p *Process) AttachRunner(r *hsrunner.Runner) { p.runner = r }

// Published returns the newest snapshot. It is safe for concurrent use.
func (p *Process) Published() *Published { return p.published.Load() }

// Busy returns how long the control goroutine has worked. It is safe for concurrent use.
func (p *Process) Busy() time.Duration { return time.Duration(p.busy.Load()) }

// Backlog returns the number of inputs that wait. It is safe for concurrent use.
func (p *Process) Backlog() int { return len(p.inbox) }

// Failed is closed when the process can't go on; Err tells why.
func (p *Process) Failed() <-chan struct{} { return p.failed }

// Err returns why the process failed, or nil.
func (p *Process) Err() error {
	if err := p.failure.Load(); err != nil {
		return *err
	}
	return nil
}

// fail ends the process. Only the first failure counts.
func (p *Process) fail(err error) {
	if p.failure.CompareAndSwap(nil, &err) {
		close(p.failed)
	}
}

// Run owns the roles until Stop.
func (p *Process) Run() {
	defer close(p.stopped)
	timer := time.NewTimer(0)
	defer timer.Stop()
	for {
		timer.Reset(p.sleep())
		select {
		case <-p.stop:
			return
		case in := <-p.inbox:
			p.work(in)
		case <-timer.C:
			p.work(nil)
		}
	}
}

// Stop ends Run and waits for it.
func (p *Process) Stop() {
	close(p.stop)
	<-p.stopped
}

// work takes a batch of inputs, wakes the roles, and flushes what they put out.
func (p *Process) work(first input) {
	began := time.Now()
	if first != nil {
		first.apply(p)
		p.takeMore()
	}
	p.wake()
	if p.control != nil {
		p.control.Flush()
	}
	p.batches++
	p.publish()
	p.busy.Add(int64(time.Since(began)))
}

func (p *Process) takeMore() {
	for range maxBatch {
		select {
		case in := <-p.inbox:
			in.apply(p)
		default:
			return
		}
	}
}

// waker is a role that wants to be woken.
type waker interface {
	Wake()
	NextWake() time.Time
}

func (p *Process) wakers() []waker {
	var all []waker
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

func (p *Process) wake() {
	now := p.clock.Now()
	for _, w := range p.wakers() {
		if !w.NextWake().After(now) {
			w.Wake()
		}
	}
}

func (p *Process) sleep() time.Duration {
	now := p.clock.Now()
	sleep := maxSleep
	for _, w := range p.wakers() {
		sleep = min(sleep, w.NextWake().Sub(now))
	}
	return max(sleep, 0)
}

func (p *Process) publish() {
	s := &Published{Draining: p.drained, Batches: p.batches}
	if p.control != nil {
		r := p.control.Replica()
		s.Leading = p.control.Leading()
		s.Leader = r.LeaderAddress()
		s.Role = string(r.Role())
		s.Term = r.Term()
		s.Commit = r.Commit()
		s.LogLength = r.LogLength()
		s.Members = len(r.Members())
		s.Rules = p.control.State().Rules.InForce.Number
		s.RulesOK = s.Leader != ""
	}
	if p.entry != nil {
		s.Rules, s.RulesOK = p.entry.Rules()
		s.Pending = p.entry.Pending()
		s.Strays = p.entry.Strays()
		s.Leader = p.entry.Leader()
	}
	if p.agent != nil {
		s.Rules, s.RulesOK = p.agent.Rules()
		s.AgentTasks = p.agent.Busy()
	}
	if p.runner != nil {
		s.Leader = p.runner.Leader()
		s.Runs = p.runner.Runs()
	}
	p.report(p.published.Load(), s)
	p.published.Store(s)
}

// report logs what the process believes otherwise than before: who leads, whether it has contact with the
// leader, and who the members are.
func (p *Process) report(before, now *Published) {
	if now.Leading != before.Leading {
		p.log.Info("leadership changed", "leading", now.Leading, "term", now.Term, "commit", now.Commit)
	}
	if now.Leader != before.Leader {
		p.log.Info("leader changed", "leader", now.Leader, "before", before.Leader, "term", now.Term)
	}
	if now.RulesOK != before.RulesOK {
		p.log.Info("contact with the leader changed", "contact", now.RulesOK, "leader", now.Leader)
	}
	if now.Members != before.Members {
		p.log.Info("members changed", "members", now.Members, "before", before.Members, "commit", now.Commit)
	}
}

// put waits for room, unless the process stops.
func (p *Process) put(in input) {
	select {
	case p.inbox <- in:
	case <-p.stopped:
	}
}

// tryPut reports false when there is no room.
func (p *Process) tryPut(in input) bool {
	select {
	case p.inbox <- in:
		return true
	default:
		return false
	}
}

// Ask hands a request to the entry role and waits for its one answer. When the caller gives up first
// the answer is unknown.
func (p *Process) Ask(ctx context.Context, m hsmessage.Request, timeout time.Duration) hsmessage.Reply {
	return p.ask(ctx, asked{request: m, timeout: timeout})
}

// Submit hands a job to the entry role and waits for the one answer.
func (p *Process) Submit(ctx context.Context, spec hsstate.Spec, timeout time.Duration) hsmessage.Reply {
	return p.ask(ctx, asked{spec: &spec, timeout: timeout})
}

func (p *Process) ask(ctx context.Context, a asked) hsmessage.Reply {
	answer := make(chan hsmessage.Reply, 1)
	a.answer = answer
	if !p.tryPut(a) {
		if a.spec != nil {
			a.request.Submit = &hsstate.SubmitJob{Spec: *a.spec}
		}
		return hsentry.Refuse(&a.request, "the process has too many inputs waiting")
	}
	select {
	case r := <-answer:
		return r
	case <-ctx.Done():
		p.put(abandoned{answer: answer})
		return hsmessage.Reply{Status: hsmessage.StatusUnknown, Reason: "the caller gave up"}
	case <-p.stopped:
		return hsmessage.Reply{Status: hsmessage.StatusUnknown, Reason: "the process stopped"}
	}
}

// Answer takes the answer of a request for whoever asked. It is called on the control goroutine.
func (p *Process) Answer(r hsmessage.Reply) {
	answer, ok := p.answers[r.ID]
	if !ok {
		p.early = &r
		return
	}
	delete(p.answers, r.ID)
	answer <- r
}
