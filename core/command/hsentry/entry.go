// Package hsentry is the entry role: it takes callers' requests, finds the leader, and sees each request
// through to one answer.
//
// A request is sent again, with the same identifier, until it is answered or its time is over; what it
// asks for has the same effect however often it arrives. When the time is over the answer is unknown,
// never that nothing was done. Submissions need a rules lease: an entry that can't renew it refuses them
// as not run.
//
// An Entry keeps nothing on a disk. It isn't safe for concurrent use; the control goroutine owns it.
//
// # Usage
//
//	e := hsentry.New(config, ports)
//	id := e.Submit(spec, time.Second)   // the answer comes through Answerer
//	e.Receive(peer, reply)
//	e.Wake() // at NextWake
package hsentry

import (
	"cmp"
	"fmt"
	"slices"
	"time"

	"hyssopseam/core/command/hsadmission"
	"hyssopseam/core/command/hsholder"
	"hyssopseam/core/hsid"
	"hyssopseam/core/hsmessage"
	"hyssopseam/core/hsstate"
)

// Defaults and bounds of an entry.
const (
	DefaultInterval = 500 * time.Millisecond
	// MaxPending bounds the requests that wait for an answer.
	MaxPending = 10000

	firstResend = 200 * time.Millisecond
	maxResend   = 500 * time.Millisecond
	// redirectPause is the time between a redirection and the next try.
	redirectPause = 20 * time.Millisecond
	refusedRetry  = time.Second
	// searchPause is the time between two questions to all control replicas while none answers.
	searchPause = 200 * time.Millisecond
)

// Config sets the times of an entry.
type Config struct {
	Instance    hsid.InstanceID
	Incarnation hsid.Incarnation
	// Controls are the addresses of the control replicas.
	Controls []hsstate.Peer
	// Interval is the time between two renewals of the rules lease.
	Interval time.Duration
}

// Clock tells the time on a clock that only goes forward.
type Clock interface {
	Now() time.Time
}

// Random draws from [0, n).
type Random interface {
	Int64N(n int64) int64
}

// Sender sends a message without blocking; it may lose it.
type Sender interface {
	Send(to hsstate.Peer, m hsmessage.Message)
}

// Answerer takes the one answer of each request. It must not block.
type Answerer interface {
	Answer(r hsmessage.Reply)
}

// Ports are the interfaces that an entry calls.
type Ports struct {
	Clock    Clock
	Random   Random
	Sender   Sender
	Answerer Answerer
}

// pending is a request that waits for its answer.
type pending struct {
	request hsmessage.Request
	until   time.Time
	resend  time.Time
	pause   time.Duration
}

// Entry is the entry role of one process.
type Entry struct {
	config Config
	ports  Ports

	pending  map[hsid.RequestID]*pending
	requests hsid.Sequence

	holder   *hsholder.Holder
	renewAt  time.Time
	draining bool
	strays   int
}

// New returns an entry that doesn't know the leader yet.
func New(c Config, p Ports) *Entry {
	c.Interval = cmp.Or(c.Interval, DefaultInterval)
	holder := hsholder.Config{
		Instance:    c.Instance,
		Incarnation: c.Incarnation,
		Controls:    c.Controls,
		Interval:    c.Interval,
	}
	return &Entry{
		config:  c,
		ports:   p,
		pending: map[hsid.RequestID]*pending{},
		holder:  hsholder.New(holder, p.Clock),
		renewAt: p.Clock.Now(),
	}
}

// Submit asks for a job. The identifier of the job comes from its key, or is unique without one.
func (e *Entry) Submit(spec hsstate.Spec, timeout time.Duration) hsid.RequestID {
	submit := &hsstate.SubmitJob{Spec: spec, Sum: hsadmission.BodySum(&spec)}
	if spec.Key != "" {
		submit.ID = hsadmission.JobOf(spec.Workspace, spec.Key)
	} else {
		submit.ID = hsadmission.JobWithoutKey(spec.Workspace, e.config.Incarnation, e.requests+1)
	}
	return e.Do(hsmessage.Request{Submit: submit}, timeout)
}

// Do takes a request and returns its identifier. Exactly one answer follows, at the latest when the
// time is over.
func (e *Entry) Do(m hsmessage.Request, timeout time.Duration) hsid.RequestID {
	now := e.ports.Clock.Now()
	e.requests++
	m.ID = hsid.RequestID(fmt.Sprintf("%s.%016x.%d", e.config.Instance, uint64(e.config.Incarnation), e.requests))
	if reason := e.refusal(&m); reason != "" {
		e.ports.Answerer.Answer(Refuse(&m, reason))
		return m.ID
	}
	p := &pending{request: m, until: now.Add(timeout), pause: firstResend}
	e.pending[m.ID] = p
	e.send(p, now)
	return m.ID
}

// Refuse returns the answer to a request that isn't passed on to control. A submission with a key is unknown
// rather than not run: an earlier one with the same key may have been accepted.
func Refuse(m *hsmessage.Request, reason string) hsmessage.Reply {
	r := hsmessage.Reply{ID: m.ID, Status: hsmessage.StatusRefused, Reason: reason, RetryAfter: refusedRetry}
	if m.Submit != nil && m.Submit.Spec.Key != "" {
		r.Status = hsmessage.StatusUnknown
		r.Reason += "; an earlier request with the same key may have been accepted"
	}
	return r
}

func (e *Entry) refusal(m *hsmessage.Request) string {
	switch {
	case len(e.pending) >= MaxPending:
		return fmt.Sprintf("%d requests wait for an answer, the bound", MaxPending)
	case m.Work != nil && !e.holder.Valid():
		return "the entry has no contact with the leader"
	case m.Submit == nil:
		return ""
	case e.draining:
		return "the entry is stopping"
	case !e.holder.Valid():
		return "the entry holds no rules lease"
	}
	return ""
}

// Abandon forgets a request whose caller is gone. Its answer is dropped.
func (e *Entry) Abandon(id hsid.RequestID) {
	delete(e.pending, id)
}

// Drain has the entry take no new jobs, and reports whether every request is answered. Queries that
// wait for something are asked again without a wait, so that their callers get what there is.
func (e *Entry) Drain() bool {
	if !e.draining {
		e.draining = true
		now := e.ports.Clock.Now()
		for _, p := range e.sorted() {
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

// Rules returns the number that the entry acts on, and whether its lease lasts.
func (e *Entry) Rules() (hsid.RuleNumber, bool) {
	return e.holder.Rules().Number, e.holder.Valid()
}

// Pending returns the number of requests that wait for an answer.
func (e *Entry) Pending() int { return len(e.pending) }

// Strays returns the number of answers that no request waited for.
func (e *Entry) Strays() int { return e.strays }

// Leader returns where the entry takes the leader to be; empty when it doesn't know.
func (e *Entry) Leader() hsstate.Peer { return e.holder.Leader() }

// Learn replaces the control replicas that are known.
func (e *Entry) Learn(controls []hsstate.Peer) { e.holder.Learn(controls) }

// Receive takes a message of a control replica.
func (e *Entry) Receive(from hsstate.Peer, m hsmessage.Message) {
	switch m := m.(type) {
	case hsmessage.Reply:
		e.receiveReply(from, m)
	case hsmessage.Lease:
		before := e.holder.Leader()
		if e.holder.Take(from, m) {
			e.renewAt = e.ports.Clock.Now()
		}
		if e.holder.Leader() != before {
			e.resendAll(e.ports.Clock.Now())
		}
	case hsmessage.Redirect:
		if e.holder.Turn(from, m.Leader) {
			e.renewAt = e.ports.Clock.Now().Add(redirectPause)
		}
	}
}

func (e *Entry) receiveReply(from hsstate.Peer, m hsmessage.Reply) {
	p := e.pending[m.ID]
	if p == nil {
		e.strays++
		return
	}
	if m.Status == hsmessage.StatusNotLeader {
		e.holder.Turn(from, m.Leader)
		now := e.ports.Clock.Now()
		p.resend = now.Add(redirectPause)
		return
	}
	delete(e.pending, m.ID)
	e.ports.Answerer.Answer(m)
}

// Lost takes the news that a control replica can't be reached: if it is the one that is asked, another is
// tried.
func (e *Entry) Lost(peer hsstate.Peer) {
	if !e.holder.Lost(peer) {
		return
	}
	e.renewAt = e.ports.Clock.Now().Add(redirectPause)
	e.resendAll(e.renewAt)
}

// resendAll has every request sent to another replica at a time.
func (e *Entry) resendAll(at time.Time) {
	for _, p := range e.pending {
		p.resend = at
		p.pause = firstResend
	}
}

// Wake acts on the passing of time.
func (e *Entry) Wake() {
	now := e.ports.Clock.Now()
	if late, ok := e.holder.LateAt(); ok && !now.Before(late) {
		e.renewAt = now
	}
	if !now.Before(e.renewAt) {
		e.holder.Check()
		e.renew(now)
	}
	for _, p := range e.sorted() {
		switch {
		case !now.Before(p.until):
			e.expire(p)
		case !now.Before(p.resend):
			e.send(p, now)
		}
	}
}

// NextWake returns when Wake is wanted next.
func (e *Entry) NextWake() time.Time {
	next := e.renewAt
	if late, ok := e.holder.LateAt(); ok && late.Before(next) {
		next = late
	}
	for _, p := range e.pending {
		if p.resend.Before(next) {
			next = p.resend
		}
		if p.until.Before(next) {
			next = p.until
		}
	}
	return next
}

func (e *Entry) sorted() []*pending {
	all := make([]*pending, 0, len(e.pending))
	for _, p := range e.pending {
		all = append(all, p)
	}
	slices.SortFunc(all, func(a, b *pending) int { return cmp.Compare(a.request.ID, b.request.ID) })
	return all
}

func (e *Entry) expire(p *pending) {
	delete(e.pending, p.request.ID)
	e.ports.Answerer.Answer(hsmessage.Reply{
		ID:     p.request.ID,
		Status: hsmessage.StatusUnknown,
		Reason: "control didn't answer in time; the request may have taken effect",
	})
}

// send sends a request to where the leader is taken to be; the pause until the next try doubles, with
// jitter.
func (e *Entry) send(p *pending, now time.Time) {
	jitter := time.Duration(e.ports.Random.Int64N(int64(p.pause) / 2))
	p.resend = now.Add(p.pause + jitter)
	p.pause = min(2*p.pause, maxResend)
	for _, peer := range e.holder.Targets() {
		e.ports.Sender.Send(peer, p.request)
	}
}

func (e *Entry) renew(now time.Time) {
	e.renewAt = now.Add(e.config.Interval)
	m := e.holder.Renew(hsmessage.RoleEntry)
	m.Leaving = e.draining
	targets := e.holder.Targets()
	if len(targets) > 1 {
		e.renewAt = now.Add(searchPause)
	}
	for _, peer := range targets {
		e.ports.Sender.Send(peer, m)
	}
}
