package hsentry_test

import (
	"slices"
	"testing"
	"time"

	"hyssopseam/core/command/hsentry"
	"hyssopseam/core/hsid"
	"hyssopseam/core/hsmessage"
	"hyssopseam/core/hsstate"
)

// fakePorts implements the ports of an entry. It records messages and answers.
type fakePorts struct {
	now     time.Time
	sent    []hsmessage.Message
	answers []hsmessage.Reply
}

// Now returns the time that the test has set.
func (p *fakePorts) Now() time.Time { return p.now }

// Int64N returns zero.
func (p *fakePorts) Int64N(int64) int64 { return 0 }

// Send records a message.
func (p *fakePorts) Send(_ hsstate.Peer, m hsmessage.Message) { p.sent = append(p.sent, m) }

// Check accepts every message.
func (p *fakePorts) Check(hsmessage.Message) error { return nil }

// Answer records an answer.
func (p *fakePorts) Answer(r hsmessage.Reply) { p.answers = append(p.answers, r) }

// TestSubmit checks the one answer that a caller gets to a submission, with and without a rules lease.
func TestSubmit(t *testing.T) {
	tables := []struct {
		name  string
		lease bool
		key   hsid.IdempotencyKey
		reply hsmessage.Status
		after time.Duration
		want  hsmessage.Status
	}{
		{"no lease", false, "", "", 0, hsmessage.StatusRefused},
		{"no lease, with a key", false, "k", "", 0, hsmessage.StatusUnknown},
		{"answered", true, "k", hsmessage.StatusDone, 0, hsmessage.StatusDone},
		{"refused by the leader", true, "k", hsmessage.StatusRefused, 0, hsmessage.StatusRefused},
		{"no answer in time", true, "", "", time.Minute, hsmessage.StatusUnknown},
	}
	for _, tt := range tables {
		p := &fakePorts{now: time.Unix(10, 0)}
		e := hsentry.New(hsentry.Config{Instance: "e", Controls: []hsstate.Peer{"c"}}, hsentry.Ports{Clock: p, Random: p, Sender: p, Answerer: p, Checker: p})
		e.Wake()
		if tt.lease {
			renewal := p.sent[0].(hsmessage.Renewal)
			e.Receive("c", hsmessage.Lease{Term: 1, Sequence: renewal.Sequence, Duration: time.Second, Number: 1, Rules: &hsstate.RuleSet{Number: 1}})
		}
		id := e.Submit(hsstate.Spec{Workspace: "w", Key: tt.key}, 10*time.Second)
		if tt.reply != "" {
			e.Receive("c", hsmessage.Reply{ID: id, Status: tt.reply})
			e.Receive("c", hsmessage.Reply{ID: id, Status: tt.reply})
		}
		p.now = p.now.Add(tt.after)
		e.Wake()
		if len(p.answers) != 1 || p.answers[0].Status != tt.want || p.answers[0].ID != id {
			t.Errorf("%s: got answers %+v, want one %s", tt.name, p.answers, tt.want)
		}
		if tt.reply != "" && e.StrayReplies() != 1 {
			t.Errorf("%s: got %d stray answers, want 1, the repeated reply", tt.name, e.StrayReplies())
		}
	}
}

// TestRefusalAfterResend checks that a refusal isn't passed on while another copy of the request may have been accepted: its
// caller would take the request for one that never runs.
func TestRefusalAfterResend(t *testing.T) {
	submit := hsmessage.Request{Work: &hsmessage.WorkRequest{Action: hsmessage.WorkSubmit}}
	state := hsmessage.Request{Work: &hsmessage.WorkRequest{Action: hsmessage.WorkState}}
	verdict := func(v hsmessage.WorkVerdict) hsmessage.Reply {
		return hsmessage.Reply{Status: hsmessage.StatusDone, Work: &hsmessage.WorkReply{Verdict: v}}
	}
	notLeader := hsmessage.Reply{Status: hsmessage.StatusNotLeader, Leader: "c"}
	refused := hsmessage.Reply{Status: hsmessage.StatusRefused}
	tables := []struct {
		name    string
		request hsmessage.Request
		// resent is how often the request is sent again before the replies.
		resent  int
		replies []hsmessage.Reply
		want    hsmessage.Status
	}{
		{"a single copy", submit, 0, []hsmessage.Reply{verdict(hsmessage.WorkNoKey)}, hsmessage.StatusDone},
		{"two copies, unknown key", submit, 1, []hsmessage.Reply{verdict(hsmessage.WorkNoKey)}, hsmessage.StatusUnknown},
		{"two copies, no queue", submit, 1, []hsmessage.Reply{verdict(hsmessage.WorkNoQueue)}, hsmessage.StatusUnknown},
		{"two copies, overloaded", submit, 1, []hsmessage.Reply{verdict(hsmessage.WorkOverloaded)}, hsmessage.StatusUnknown},
		{"two copies, not ready", submit, 1, []hsmessage.Reply{verdict(hsmessage.WorkNotReady)}, hsmessage.StatusUnknown},
		{"two copies, one of them not accepted", submit, 1, []hsmessage.Reply{notLeader, verdict(hsmessage.WorkNoKey)}, hsmessage.StatusDone},
		{"two copies, invalid in any case", submit, 1, []hsmessage.Reply{verdict(hsmessage.WorkBad)}, hsmessage.StatusDone},
		{"two copies, accepted", submit, 1, []hsmessage.Reply{verdict(hsmessage.WorkDone)}, hsmessage.StatusDone},
		{"two copies of a query", state, 1, []hsmessage.Reply{verdict(hsmessage.WorkNoKey)}, hsmessage.StatusDone},
		{"two copies of a change of members", hsmessage.Request{Members: &hsmessage.MembersChange{}}, 1, []hsmessage.Reply{{Status: hsmessage.StatusMissing}}, hsmessage.StatusUnknown},
		{"two copies of a job of the product", hsmessage.Request{Submit: &hsstate.SubmitJob{}}, 1, []hsmessage.Reply{refused}, hsmessage.StatusUnknown},
	}
	for _, tt := range tables {
		p := &fakePorts{now: time.Unix(10, 0)}
		e := hsentry.New(hsentry.Config{Instance: "e", Controls: []hsstate.Peer{"c"}}, hsentry.Ports{Clock: p, Random: p, Sender: p, Answerer: p, Checker: p})
		e.Wake()
		e.Receive("c", hsmessage.Lease{Term: 1, Sequence: 1, Duration: 10 * time.Second, Number: 1, Rules: &hsstate.RuleSet{Number: 1}})
		id := e.Do(tt.request, 30*time.Second)
		for range tt.resent {
			p.now = p.now.Add(210 * time.Millisecond)
			e.Wake()
		}
		for _, r := range tt.replies {
			r.ID = id
			e.Receive("c", r)
		}
		if len(p.answers) != 1 || p.answers[0].Status != tt.want {
			t.Errorf("%s: got answers %+v, want one %s", tt.name, p.answers, tt.want)
		}
	}
}

// TestResentIdentifier checks that a copy of a submission says how long ago the first one was sent, and that its reply is
// that of the request.
func TestResentIdentifier(t *testing.T) {
	p := &fakePorts{now: time.Unix(10, 0)}
	e := hsentry.New(hsentry.Config{Instance: "e", Controls: []hsstate.Peer{"c"}}, hsentry.Ports{Clock: p, Random: p, Sender: p, Answerer: p, Checker: p})
	e.Wake()
	e.Receive("c", hsmessage.Lease{Term: 1, Sequence: 1, Duration: 10 * time.Second, Number: 1, Rules: &hsstate.RuleSet{Number: 1}})
	id := e.Do(hsmessage.Request{Work: &hsmessage.WorkRequest{Action: hsmessage.WorkSubmit}}, 30*time.Second)
	p.now = p.now.Add(210 * time.Millisecond)
	e.Wake()
	var sent []hsid.RequestID
	for _, m := range p.sent {
		if r, ok := m.(hsmessage.Request); ok {
			sent = append(sent, r.ID)
		}
	}
	if want := []hsid.RequestID{id, id.Resent(210 * time.Millisecond)}; !slices.Equal(sent, want) {
		t.Fatalf("got identifiers %v, want %v", sent, want)
	}
	e.Receive("c", hsmessage.Reply{ID: sent[1], Status: hsmessage.StatusDone})
	if len(p.answers) != 1 || p.answers[0].ID != id {
		t.Errorf("got answers %+v, want one to %s", p.answers, id)
	}
}

// TestUnsentRequest checks what happens to a request about step jobs by when it arrives around the loss of the leader.
// Pattern: all control processes lose power while callers go on; a request that was sent into the void can't be tried
// again safely, and one that was held until its deadline left its caller without an answer.
func TestUnsentRequest(t *testing.T) {
	tables := []struct {
		name string
		// late is how long before the request the last renewal was sent; it isn't answered before the request.
		late time.Duration
		// answered is when the renewal is answered after the request; zero for never.
		answered time.Duration
		sent     bool
		want     hsmessage.Status
		within   time.Duration
	}{
		{"the leader answered just now", 100 * time.Millisecond, 0, true, hsmessage.StatusUnknown, 3 * time.Second},
		{"the leader's answer is late and doesn't come", 350 * time.Millisecond, 0, false, hsmessage.StatusRefused, 400 * time.Millisecond},
		{"the leader's answer is late and comes", 350 * time.Millisecond, 200 * time.Millisecond, true, hsmessage.StatusUnknown, 3 * time.Second},
	}
	for _, tt := range tables {
		p := &fakePorts{now: time.Unix(10, 0)}
		e := hsentry.New(hsentry.Config{Instance: "e", Controls: []hsstate.Peer{"c"}}, hsentry.Ports{Clock: p, Random: p, Sender: p, Answerer: p, Checker: p})
		grant := func(sequence hsid.Sequence) {
			e.Receive("c", hsmessage.Lease{Term: 1, Sequence: sequence, Duration: 2 * time.Second, Number: 1, Rules: &hsstate.RuleSet{Number: 1}})
		}
		e.Wake()
		grant(1)
		p.now = p.now.Add(500 * time.Millisecond)
		e.Wake()
		p.now = p.now.Add(tt.late)
		p.sent = nil
		began := p.now
		id := e.Do(hsmessage.Request{Work: &hsmessage.WorkRequest{Action: hsmessage.WorkSubmit}}, 3*time.Second)
		for len(p.answers) == 0 && p.now.Sub(began) < time.Minute {
			p.now = p.now.Add(10 * time.Millisecond)
			if tt.answered > 0 && p.now.Sub(began) == tt.answered {
				grant(2)
			}
			e.Wake()
		}
		sent := false
		for _, m := range p.sent {
			if r, ok := m.(hsmessage.Request); ok && r.ID == id {
				sent = true
			}
		}
		if got := p.answers[0].Status; got != tt.want || sent != tt.sent || p.now.Sub(began) != tt.within {
			t.Errorf("%s: got %s after %s and sent %v, want %s after %s and sent %v", tt.name, got, p.now.Sub(began), sent, tt.want, tt.within, tt.sent)
		}
	}
}
