package play

import (
	"time"

	"hyssopseam/core/command/hsadmission"
	"hyssopseam/core/command/hsentry"
	"hyssopseam/core/command/hsrule"
	"hyssopseam/core/hsid"
	"hyssopseam/core/hsmessage"
	"hyssopseam/core/hsstate"
)

// requestTime is how long the entry tries a request.
const requestTime = 30 * time.Second

// Entry is the one entry of a world.
type Entry struct {
	w     *World
	peer  hsstate.Peer
	clock clock
	entry *hsentry.Entry
	alarm *alarm
	waits map[hsid.RequestID]func(r hsmessage.Reply)
	early *hsmessage.Reply
	// number is the newest rule number, for checks.
	number hsid.RuleNumber
	// WentBack is set when the entry went back to an older rule number.
	WentBack bool
}

func newEntry(w *World) *Entry {
	e := &Entry{w: w, peer: "entry", clock: w.newClock(), waits: map[hsid.RequestID]func(r hsmessage.Reply){}}
	e.entry = hsentry.New(hsentry.Config{
		Instance:    "entry",
		Incarnation: w.incarnation(),
		Controls:    w.controlPeers(),
		Interval:    w.config.Interval,
	}, hsentry.Ports{Clock: e.clock, Random: e.clock, Sender: e, Answerer: e})
	e.alarm = &alarm{w: w, clock: e.clock, role: e.entry}
	e.alarm.rearm()
	return e
}

// Send puts a message on its way.
func (e *Entry) Send(to hsstate.Peer, m hsmessage.Message) { e.w.send(e.peer, to, m) }

func (e *Entry) receive(from hsstate.Peer, m hsmessage.Message) {
	e.entry.Receive(from, m)
	n, _ := e.entry.Rules()
	e.WentBack = e.WentBack || n < e.number
	e.number = n
	e.alarm.rearm()
}

// Answer implements hsentry.Answerer.
func (e *Entry) Answer(r hsmessage.Reply) {
	done, ok := e.waits[r.ID]
	if !ok {
		e.early = &r
		return
	}
	delete(e.waits, r.ID)
	done(r)
}

func (e *Entry) wait(id hsid.RequestID, done func(r hsmessage.Reply)) {
	if r := e.early; r != nil && r.ID == id {
		e.early = nil
		done(*r)
		return
	}
	e.waits[id] = done
	e.alarm.rearm()
}

// Submit submits a job; done gets the one answer.
func (e *Entry) Submit(s hsstate.Spec, done func(r hsmessage.Reply)) {
	e.wait(e.entry.Submit(s, requestTime), done)
}

// Do sends a request; done gets the one answer.
func (e *Entry) Do(m hsmessage.Request, done func(r hsmessage.Reply)) {
	e.wait(e.entry.Do(m, requestTime), done)
}

// Push pushes a rule file; done gets the one answer.
func (e *Entry) Push(content string, operator hsid.OperatorID, done func(r hsmessage.Reply)) {
	set, faults := hsrule.Parse(content)
	if len(faults) > 0 {
		panic(faults[0])
	}
	push := &hsstate.PushRules{Set: set, Content: content, Sum: hsadmission.Sum([]byte(content)), Operator: operator}
	e.Do(hsmessage.Request{Push: push}, done)
}
