package play

import (
	"time"

	"hyssopseam/core/command/hsadmission"
	"hyssopseam/core/command/hsentry"
	"hyssopseam/core/command/hsrule"
	"hyssopseam/core/hsid"
	"hyssopseam/core/hsmessage"
	"hyssopseam/core/hsstate"
	"hyssopseam/io/hslink"
)

// requestTimeout is the deadline that the entry gives each request.
const requestTimeout = 30 * time.Second

// Entry is the node with the entry role; a world has one.
type Entry struct {
	w          *World
	peer       hsstate.Peer
	clock      clock
	entry      *hsentry.Entry
	timer      *wakeTimer
	pending    map[hsid.RequestID]func(r hsmessage.Reply)
	earlyReply *hsmessage.Reply
	// ruleNumber is the number of the rules in force after the last message.
	ruleNumber hsid.RuleNumber
	// RulesRegressed is set once the entry replaced rules by those of a lower number.
	RulesRegressed bool
}

// EntryZone is the availability zone of the entry.
const EntryZone hsid.ZoneID = "entry-zone"

func newEntry(w *World) *Entry {
	e := &Entry{w: w, peer: "entry", clock: w.newClock(), pending: map[hsid.RequestID]func(r hsmessage.Reply){}}
	e.entry = hsentry.New(hsentry.Config{
		Instance:    "entry",
		Incarnation: w.incarnation(),
		Controls:    w.controlPeers(),
		Interval:    w.config.Interval,
		Zone:        EntryZone,
	}, hsentry.Ports{Clock: e.clock, Random: e.clock, Sender: e, Answerer: e, Checker: hslink.Limits{}})
	e.timer = &wakeTimer{w: w, clock: e.clock, role: e.entry}
	e.timer.rearm()
	return e
}

// Send sends a message over the simulated network.
func (e *Entry) Send(to hsstate.Peer, m hsmessage.Message) { e.w.send(e.peer, to, m) }

func (e *Entry) receive(from hsstate.Peer, m hsmessage.Message) {
	e.entry.Receive(from, m)
	n, _ := e.entry.Rules()
	e.RulesRegressed = e.RulesRegressed || n < e.ruleNumber
	e.ruleNumber = n
	e.timer.rearm()
}

// Answer implements hsentry.Answerer. The role may answer before Submit or Do has returned the identifier of the
// request; such a reply is kept for awaitReply.
func (e *Entry) Answer(r hsmessage.Reply) {
	done, ok := e.pending[r.ID]
	if !ok {
		e.earlyReply = &r
		return
	}
	delete(e.pending, r.ID)
	done(r)
}

func (e *Entry) awaitReply(id hsid.RequestID, done func(r hsmessage.Reply)) {
	if r := e.earlyReply; r != nil && r.ID == id {
		e.earlyReply = nil
		done(*r)
		return
	}
	e.pending[id] = done
	e.timer.rearm()
}

// Submit submits a job and calls done with the reply.
func (e *Entry) Submit(s hsstate.Spec, done func(r hsmessage.Reply)) {
	e.awaitReply(e.entry.Submit(s, requestTimeout), done)
}

// Do sends a request and calls done with the reply.
func (e *Entry) Do(m hsmessage.Request, done func(r hsmessage.Reply)) {
	e.awaitReply(e.entry.Do(m, requestTimeout), done)
}

// Push pushes a rule file and calls done with the reply. It panics if the file has faults.
func (e *Entry) Push(content string, operator hsid.OperatorID, done func(r hsmessage.Reply)) {
	set, faults := hsrule.Parse(content)
	if len(faults) > 0 {
		panic(faults[0])
	}
	push := &hsstate.PushRules{Set: set, Content: content, Sum: hsadmission.Checksum([]byte(content)), Operator: operator}
	e.Do(hsmessage.Request{Push: push}, done)
}
