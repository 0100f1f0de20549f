// Package hsentry implements the entry role: it accepts callers' requests, forwards them to the leader, and gives
// each request exactly one answer.
//
// A request is resent with the same identifier until it is answered or its timeout expires; requests are idempotent,
// so a resend has no further effect. After a timeout the answer is that the outcome is unknown, never that nothing
// was done, and a refusal is passed on only if no other copy of the request may have been accepted. Submissions need a
// valid rules lease: an entry that can't renew its lease refuses them as not run. A request about step jobs that arrives
// while the leader's answer to a renewal is late waits briefly, unsent, and is then refused too: had it been sent, its
// caller couldn't be told that it had no effect.
//
// An Entry persists nothing. It isn't safe for concurrent use; the control goroutine owns it.
//
// # Usage
//
//	e := hsentry.New(config, ports)
//	id := e.Submit(spec, time.Second) // the answer comes through Answerer
//	e.Receive(peer, reply)
//	e.Wake() // at NextWake
package hsentry

import (
	"cmp"
	"fmt"
	"slices"
	"time"

	"hyssopseam/core/command/hsadmission"
	"hyssopseam/core/command/hsleaseclient"
	"hyssopseam/core/hsid"
	"hyssopseam/core/hsmessage"
	"hyssopseam/core/hsstate"
)

// Defaults and bounds of an entry.
const (
	DefaultInterval = 500 * time.Millisecond
	// MaxPending is the maximum number of requests that wait for an answer; further ones are refused.
	MaxPending = 10000

	initialBackoff = 200 * time.Millisecond
	maxBackoff     = 500 * time.Millisecond
	// redirectDelay is the time before a request is resent or the lease renewed after the entry has turned to another
	// control replica.
	redirectDelay     = 20 * time.Millisecond
	refusedRetryAfter = time.Second
	// searchInterval is the time between two renewals sent to all control replicas while none answers.
	searchInterval = 200 * time.Millisecond
	// maxUnsentWait is how long a request about step jobs may wait for an answer to the renewal of the lease before it
	// is refused. It bridges a delayed answer, not an election.
	maxUnsentWait = 400 * time.Millisecond
)

// Config identifies an entry and sets its times.
type Config struct {
	Instance    hsid.InstanceID
	Incarnation hsid.Incarnation
	// Controls are the addresses of the control replicas.
	Controls []hsstate.Peer
	// Interval is the time between two renewals of the rules lease; zero for DefaultInterval.
	Interval time.Duration
	// Zone is the availability zone of the entry, which stands for that of its callers.
	Zone hsid.ZoneID
}

// Clock returns the current time of a monotonic clock.
type Clock interface {
	Now() time.Time
}

// Random returns uniformly distributed numbers from [0, n), for the jitter of resends.
type Random interface {
	Int64N(n int64) int64
}

// Sender sends messages without blocking. A message may be lost.
type Sender interface {
	Send(to hsstate.Peer, m hsmessage.Message)
}

// Checker checks messages against the limits of the links.
type Checker interface {
	// Check returns an error for a message that would never be delivered.
	Check(m hsmessage.Message) error
}

// Answerer receives the one answer to each request. It must not block.
type Answerer interface {
	Answer(r hsmessage.Reply)
}

// Ports are the dependencies of an entry.
type Ports struct {
	Clock    Clock
	Random   Random
	Sender   Sender
	Answerer Answerer
	Checker  Checker
}

// pendingRequest is a request that waits for an answer. It is resent at resendAt and expires at deadline.
type pendingRequest struct {
	request hsmessage.Request
	// unsent is set while the request hasn't been sent to any control replica, so that it can be refused as not run.
	// It is refused at deadline then.
	unsent   bool
	deadline time.Time
	resendAt time.Time
	backoff  time.Duration
	// timeout is that of the caller, counted from when the request arrived.
	timeout time.Duration
	// sentAt is when the first copy was sent, and copies counts, for each control replica, those that it hasn't answered.
	sentAt time.Time
	copies map[hsstate.Peer]int
}

// Entry implements the entry role of one process.
type Entry struct {
	config Config
	ports  Ports

	pending      map[hsid.RequestID]*pendingRequest
	requestCount hsid.Sequence

	leaseClient  *hsleaseclient.Client
	renewAt      time.Time
	draining     bool
	strayAnswers int
}

// New returns an entry that doesn't know the leader yet.
func New(c Config, p Ports) *Entry {
	c.Interval = cmp.Or(c.Interval, DefaultInterval)
	leaseConfig := hsleaseclient.Config{
		Instance:    c.Instance,
		Incarnation: c.Incarnation,
		Controls:    c.Controls,
		Interval:    c.Interval,
	}
	return &Entry{
		config:      c,
		ports:       p,
		pending:     map[hsid.RequestID]*pendingRequest{},
		leaseClient: hsleaseclient.New(leaseConfig, p.Clock),
		renewAt:     p.Clock.Now(),
	}
}

// Submit submits a job and returns the identifier of the request. The identifier of the job is derived from the
// job's key, or is unique if it has none.
func (e *Entry) Submit(spec hsstate.Spec, timeout time.Duration) hsid.RequestID {
	submit := &hsstate.SubmitJob{Spec: spec, Sum: hsadmission.SubmissionChecksum(&spec)}
	if spec.Key != "" {
		submit.ID = hsadmission.JobIDForKey(spec.Workspace, spec.Key)
	} else {
		submit.ID = hsadmission.UniqueJobID(spec.Workspace, e.config.Incarnation, e.requestCount+1)
	}
	return e.Do(hsmessage.Request{Submit: submit}, timeout)
}

// Do sends a request and returns its identifier. Exactly one answer follows, at the latest when the timeout expires;
// a request that is refused here is answered before Do returns.
func (e *Entry) Do(m hsmessage.Request, timeout time.Duration) hsid.RequestID {
	now := e.ports.Clock.Now()
	e.requestCount++
	m.ID = hsid.RequestID(fmt.Sprintf("%s.%016x.%d", e.config.Instance, uint64(e.config.Incarnation), e.requestCount))
	if reason := e.refusalReason(&m); reason != "" {
		e.ports.Answerer.Answer(Refuse(&m, reason))
		return m.ID
	}
	m = e.withZone(m)
	if err := e.ports.Checker.Check(m); err != nil {
		r := hsmessage.Reply{ID: m.ID, Status: hsmessage.StatusBad, Reason: err.Error()}
		if m.Work != nil {
			r.Work = &hsmessage.WorkReply{Verdict: hsmessage.WorkBad}
		}
		e.ports.Answerer.Answer(r)
		return m.ID
	}
	p := &pendingRequest{request: m, deadline: now.Add(timeout), backoff: initialBackoff, copies: map[hsstate.Peer]int{}}
	e.pending[m.ID] = p
	if m.Work != nil && e.leaseClient.AnswerLate() {
		p.unsent = true
		p.deadline = now.Add(min(timeout, maxUnsentWait))
		p.resendAt = p.deadline
		p.timeout = timeout
		return m.ID
	}
	e.send(p, now)
	return m.ID
}

// Refuse returns the answer to a request that isn't forwarded to control. The outcome of a submission with a key is
// unknown rather than not run, since an earlier one with the same key may have been accepted.
func Refuse(m *hsmessage.Request, reason string) hsmessage.Reply {
	r := hsmessage.Reply{ID: m.ID, Status: hsmessage.StatusRefused, Reason: reason, RetryAfter: refusedRetryAfter}
	if m.Submit != nil && m.Submit.Spec.Key != "" {
		r.Status = hsmessage.StatusUnknown
		r.Reason += "; an earlier request with the same key may have been accepted"
	}
	return r
}

// refusalReason returns why a request is refused before it is sent; empty when it isn't.
func (e *Entry) refusalReason(m *hsmessage.Request) string {
	switch {
	case len(e.pending) >= MaxPending:
		return fmt.Sprintf("%d requests are waiting for an answer, the maximum", MaxPending)
	case m.Work != nil && !e.leaseClient.Valid():
		return "the entry has no contact with the leader"
	case m.Submit == nil:
		return ""
	case e.draining:
		return "the entry is stopping"
	case !e.leaseClient.Valid():
		return "the entry holds no rules lease"
	}
	return ""
}

// Cancel drops a request whose caller has disconnected. Its answer will count as a stray one.
func (e *Entry) Cancel(id hsid.RequestID) {
	delete(e.pending, id)
}

// Drain stops the entry from accepting new jobs, and reports whether every request has been answered. Queries that
// wait for a change are resent without a wait, so that their callers get the current state.
func (e *Entry) Drain() bool {
	if !e.draining {
		e.draining = true
		now := e.ports.Clock.Now()
		for _, p := range e.sortedPending() {
			if q := p.request.Query; q != nil && q.Wait > 0 {
				short := *q
				short.Wait = 0
				p.request.Query = &short
				e.send(p, now)
			}
		}
	}
	return len(e.pending) == 0
}

// Rules returns the number of the rules that the entry applies, and whether its rules lease is valid.
func (e *Entry) Rules() (hsid.RuleNumber, bool) {
	return e.leaseClient.Rules().Number, e.leaseClient.Valid()
}

// Pending returns the number of requests that wait for an answer.
func (e *Entry) Pending() int { return len(e.pending) }

// StrayReplies returns the number of answers received for requests that weren't pending.
func (e *Entry) StrayReplies() int { return e.strayAnswers }

// Leader returns the address of the control replica that the entry believes to be the leader; empty when unknown.
func (e *Entry) Leader() hsstate.Peer { return e.leaseClient.Leader() }

// SetControls replaces the addresses of the control replicas. An empty list changes nothing.
func (e *Entry) SetControls(controls []hsstate.Peer) { e.leaseClient.SetControls(controls) }

// Receive handles a message from a control replica.
func (e *Entry) Receive(from hsstate.Peer, m hsmessage.Message) {
	switch m := m.(type) {
	case hsmessage.Reply:
		e.receiveReply(from, m)
	case hsmessage.Lease:
		before := e.leaseClient.Leader()
		if e.leaseClient.HandleLease(from, m) {
			e.renewAt = e.ports.Clock.Now()
		}
		if e.leaseClient.Leader() != before {
			e.resendAll(e.ports.Clock.Now())
		}
		e.sendUnsent(e.ports.Clock.Now())
	case hsmessage.Redirect:
		if e.leaseClient.FollowRedirect(from, m.Leader) {
			e.renewAt = e.ports.Clock.Now().Add(redirectDelay)
		}
	}
}

// receiveReply passes a reply on to the caller, or has the request resent when the sender isn't the leader.
func (e *Entry) receiveReply(from hsstate.Peer, m hsmessage.Reply) {
	m.ID, _ = m.ID.Split()
	p := e.pending[m.ID]
	if p == nil {
		e.strayAnswers++
		return
	}
	if p.copies[from]--; p.copies[from] <= 0 {
		delete(p.copies, from)
	}
	if m.Status == hsmessage.StatusNotLeader {
		e.leaseClient.FollowRedirect(from, m.Leader)
		now := e.ports.Clock.Now()
		p.resendAt = now.Add(redirectDelay)
		return
	}
	delete(e.pending, m.ID)
	if len(p.copies) > 0 && refuses(&p.request, &m) {
		m = hsmessage.Reply{ID: m.ID, Status: hsmessage.StatusUnknown, Reason: "an earlier copy of the request may have been accepted", RetryAfter: refusedRetryAfter}
	}
	e.ports.Answerer.Answer(m)
}

// refuses reports whether a reply refuses a request that changes state for a reason that may not hold for another copy
// of the request, which was or will be decided at another time.
func refuses(q *hsmessage.Request, r *hsmessage.Reply) bool {
	switch {
	case r.Status == hsmessage.StatusRefused:
		return true
	case q.Members != nil:
		return r.Status == hsmessage.StatusMissing || r.Status == hsmessage.StatusConflict
	case q.Work == nil || r.Work == nil:
		return false
	}
	switch q.Work.Action {
	case hsmessage.WorkState, hsmessage.WorkWaiting, hsmessage.WorkGetCatalog, hsmessage.WorkGetWave:
		return false
	}
	switch r.Work.Verdict {
	case hsmessage.WorkNoQueue, hsmessage.WorkNoKey, hsmessage.WorkNotReady, hsmessage.WorkOverloaded:
		return true
	}
	return false
}

// PeerUnreachable handles the notice that a control replica can't be reached. If it is the one in use, another is
// tried.
func (e *Entry) PeerUnreachable(peer hsstate.Peer) {
	if !e.leaseClient.PeerUnreachable(peer) {
		return
	}
	e.renewAt = e.ports.Clock.Now().Add(redirectDelay)
	e.resendAll(e.renewAt)
}

// resendAll schedules every pending request to be resent at the given time, with the backoff reset.
func (e *Entry) resendAll(at time.Time) {
	for _, p := range e.pending {
		if p.unsent {
			continue
		}
		p.resendAt = at
		p.backoff = initialBackoff
	}
}

// Wake performs everything that is due by now.
func (e *Entry) Wake() {
	now := e.ports.Clock.Now()
	if deadline, ok := e.leaseClient.AnswerDeadline(); ok && !now.Before(deadline) {
		e.renewAt = now
	}
	if !now.Before(e.renewAt) {
		e.leaseClient.CheckSilence()
		e.sendRenew(now)
	}
	for _, p := range e.sortedPending() {
		switch {
		case !now.Before(p.deadline):
			e.expire(p)
		case !p.unsent && !now.Before(p.resendAt):
			e.send(p, now)
		}
	}
}

// NextWake returns when Wake has to be called next.
func (e *Entry) NextWake() time.Time {
	next := e.renewAt
	if deadline, ok := e.leaseClient.AnswerDeadline(); ok && deadline.Before(next) {
		next = deadline
	}
	for _, p := range e.pending {
		if p.resendAt.Before(next) {
			next = p.resendAt
		}
		if p.deadline.Before(next) {
			next = p.deadline
		}
	}
	return next
}

// sortedPending returns the pending requests, sorted by identifier.
func (e *Entry) sortedPending() []*pendingRequest {
	all := make([]*pendingRequest, 0, len(e.pending))
	for _, p := range e.pending {
		all = append(all, p)
	}
	slices.SortFunc(all, func(a, b *pendingRequest) int { return cmp.Compare(a.request.ID, b.request.ID) })
	return all
}

// sendUnsent sends the requests that waited for contact with the leader.
func (e *Entry) sendUnsent(now time.Time) {
	for _, p := range e.sortedPending() {
		if p.unsent {
			p.unsent = false
			p.deadline = p.deadline.Add(p.timeout - min(p.timeout, maxUnsentWait))
			e.send(p, now)
		}
	}
}

// expire answers a request whose timeout has expired. One that was never sent is refused as not run.
func (e *Entry) expire(p *pendingRequest) {
	delete(e.pending, p.request.ID)
	if p.unsent {
		e.ports.Answerer.Answer(Refuse(&p.request, "the leader doesn't answer the entry"))
		return
	}
	e.ports.Answerer.Answer(hsmessage.Reply{
		ID:     p.request.ID,
		Status: hsmessage.StatusUnknown,
		Reason: "control didn't answer in time; the request may have taken effect",
	})
}

// send sends a request to the leader, or to all control replicas while none answers, and schedules the next resend.
// The backoff doubles each time up to maxBackoff, with jitter.
func (e *Entry) send(p *pendingRequest, now time.Time) {
	jitter := time.Duration(e.ports.Random.Int64N(int64(p.backoff) / 2))
	p.resendAt = now.Add(p.backoff + jitter)
	p.backoff = min(2*p.backoff, maxBackoff)
	request := p.request
	if p.sentAt.IsZero() {
		p.sentAt = now
	} else if w := request.Work; w != nil && w.Action == hsmessage.WorkSubmit {
		request.ID = request.ID.Resent(now.Sub(p.sentAt))
	}
	for _, peer := range e.leaseClient.Targets() {
		p.copies[peer]++
		e.ports.Sender.Send(peer, request)
	}
}

// sendRenew sends a renewal of the rules lease and schedules the next one.
func (e *Entry) sendRenew(now time.Time) {
	e.renewAt = now.Add(e.config.Interval)
	m := e.leaseClient.Renew(hsmessage.RoleEntry)
	m.Leaving = e.draining
	targets := e.leaseClient.Targets()
	if len(targets) > 1 {
		e.renewAt = now.Add(searchInterval)
	}
	for _, peer := range targets {
		e.ports.Sender.Send(peer, m)
	}
}
