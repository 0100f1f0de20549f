package hsprocess

import (
	"context"
	"time"

	"hyssopseam/core/command/hsagent"
	"hyssopseam/core/command/hsdispatch"
	"hyssopseam/core/command/hsupkeep"
	"hyssopseam/core/hsid"
	"hyssopseam/core/hsmessage"
	"hyssopseam/core/hsstate"
	"hyssopseam/core/hsview"
	"hyssopseam/core/query/hsdump"
)

// Receive takes a message of another process. It waits for room.
func (p *Process) Receive(from hsstate.Peer, m hsmessage.Message) {
	p.put(received{from: from, message: m})
}

// Post takes a message that this process sent to itself. It never waits; without room the message is
// lost, as on a link.
func (p *Process) Post(from hsstate.Peer, m hsmessage.Message) bool {
	return p.tryPut(received{from: from, message: m})
}

type received struct {
	from    hsstate.Peer
	message hsmessage.Message
}

func (in received) apply(p *Process) {
	switch m := in.message.(type) {
	case hsmessage.Orders:
		if p.agent != nil {
			p.agent.Receive(in.from, m)
		}
	case hsmessage.Plan:
		if p.runner != nil {
			p.runner.Receive(in.from, m)
		}
	case hsmessage.Reply:
		if p.entry != nil {
			p.entry.Receive(in.from, m)
		}
	case hsmessage.Lease, hsmessage.Redirect:
		p.receiveLease(in.from, in.message)
	default:
		if p.control != nil {
			p.control.Receive(in.from, in.message)
		}
	}
}

// receiveLease gives a lease or a redirection to the role that it is for. News that nobody asked for goes
// to every role.
func (p *Process) receiveLease(from hsstate.Peer, m hsmessage.Message) {
	var role hsmessage.Role
	switch m := m.(type) {
	case hsmessage.Lease:
		role = m.Role
	case hsmessage.Redirect:
		role = m.Role
	}
	meant := func(r hsmessage.Role) bool { return role == r || role == "" }
	if p.entry != nil && meant(hsmessage.RoleEntry) {
		p.entry.Receive(from, m)
	}
	if p.agent != nil && meant(hsmessage.RoleAgent) {
		p.agent.Receive(from, m)
	}
	if p.runner != nil && meant(hsmessage.RoleRunner) {
		p.runner.Receive(from, m)
	}
}

// Lost takes the news that a control replica can't be reached.
func (p *Process) Lost(peer hsstate.Peer) { p.put(lost{peer: peer}) }

type lost struct {
	peer hsstate.Peer
}

func (in lost) apply(p *Process) {
	if p.entry != nil {
		p.entry.Lost(in.peer)
	}
	if p.agent != nil {
		p.agent.Lost(in.peer)
	}
	if p.runner != nil {
		p.runner.Lost(in.peer)
	}
}

// Advised takes the answer of the policy service about a step.
func (p *Process) Advised(a hsdispatch.Advice) { p.put(advised{advice: a}) }

type advised struct {
	advice hsdispatch.Advice
}

func (in advised) apply(p *Process) {
	if p.control != nil {
		p.control.Advised(in.advice)
	}
}

// MachinesListed takes the platform's list of machines.
func (p *Process) MachinesListed(machines []hsupkeep.Machine) {
	p.put(machinesListed{machines: machines})
}

type machinesListed struct {
	machines []hsupkeep.Machine
}

func (in machinesListed) apply(p *Process) {
	if p.control != nil {
		p.control.MachinesListed(in.machines)
	}
}

// UpkeepOrdered takes the result of an order about a machine.
func (p *Process) UpkeepOrdered(o hsupkeep.Order, v hsupkeep.Verdict) {
	p.put(upkeepOrdered{order: o, verdict: v})
}

type upkeepOrdered struct {
	order   hsupkeep.Order
	verdict hsupkeep.Verdict
}

func (in upkeepOrdered) apply(p *Process) {
	if p.control != nil {
		p.control.UpkeepOrdered(in.order, in.verdict)
	}
}

// Synced takes the end of a save. After an error the process fails.
func (p *Process) Synced(n hsid.Sequence, err error) {
	if err != nil {
		p.fail(err)
		return
	}
	p.put(synced{number: n})
}

type synced struct {
	number hsid.Sequence
}

func (in synced) apply(p *Process) { p.control.Synced(in.number) }

// asked is a request of a caller; with spec it is a submission.
type asked struct {
	request hsmessage.Request
	spec    *hsstate.Spec
	timeout time.Duration
	answer  chan<- hsmessage.Reply
}

func (in asked) apply(p *Process) {
	var id hsid.RequestID
	p.early = nil
	if in.spec != nil {
		id = p.entry.Submit(*in.spec, in.timeout)
	} else {
		id = p.entry.Do(in.request, in.timeout)
	}
	if p.early != nil {
		in.answer <- *p.early
		p.early = nil
		return
	}
	p.answers[id] = in.answer
}

// abandoned tells that a caller is gone.
type abandoned struct {
	answer chan<- hsmessage.Reply
}

func (in abandoned) apply(p *Process) {
	for id, answer := range p.answers {
		if answer == in.answer {
			delete(p.answers, id)
			p.entry.Abandon(id)
			return
		}
	}
}

// Announce takes an announcement of the endpoint, and reports false when there is no room.
func (p *Process) Announce(w hsmessage.Worker) bool {
	return p.tryPut(announced{worker: w})
}

type announced struct {
	worker hsmessage.Worker
}

func (in announced) apply(p *Process) {
	if p.agent != nil {
		p.agent.Announce(in.worker)
	}
}

// Listed takes what the platform knows.
func (p *Process) Listed(endpoint hsid.Incarnation, records []hsagent.Record, ok bool) {
	p.put(listed{endpoint: endpoint, records: records, ok: ok})
}

type listed struct {
	endpoint hsid.Incarnation
	records  []hsagent.Record
	ok       bool
}

func (in listed) apply(p *Process) { p.agent.Listed(in.endpoint, in.records, in.ok) }

// Accepted takes the platform's word that a start was taken.
func (p *Process) Accepted(g hsid.Grant) { p.put(accepted{grant: g}) }

type accepted struct {
	grant hsid.Grant
}

func (in accepted) apply(p *Process) { p.agent.Accepted(in.grant) }

// Ended takes the end of a task.
func (p *Process) Ended(g hsid.Grant, r hsagent.Result) { p.put(ended{grant: g, result: r}) }

type ended struct {
	grant  hsid.Grant
	result hsagent.Result
}

func (in ended) apply(p *Process) { p.agent.Ended(in.grant, in.result) }

// drainPoll is the time between two looks at a role that is being drained.
const drainPoll = 20 * time.Millisecond

// Drain brings the roles to a stop, the entry first and control last, and returns an error when the
// context ends before all is settled.
func (p *Process) Drain(ctx context.Context) error {
	steps := []func() bool{
		func() bool { return p.entry == nil || p.entry.Drain() },
		func() bool { return p.agent == nil || p.agent.Drain() },
		func() bool { return p.control == nil || p.control.Drain() },
	}
	for _, step := range steps {
		if err := p.await(ctx, step); err != nil {
			return err
		}
	}
	return nil
}

// HandOver has the control role give up leadership; the other roles go on.
func (p *Process) HandOver() { p.put(handingOver{}) }

// Learn replaces the control replicas that the roles know from the settings.
func (p *Process) Learn(controls []hsstate.Peer) { p.put(learned{controls: controls}) }

type learned struct {
	controls []hsstate.Peer
}

func (in learned) apply(p *Process) {
	if p.control != nil {
		p.control.Learn(in.controls)
	}
	if p.entry != nil {
		p.entry.Learn(in.controls)
	}
	if p.runner != nil {
		p.runner.Learn(in.controls)
	}
}

type handingOver struct{}

func (handingOver) apply(p *Process) {
	if p.control != nil {
		p.control.Drain()
	}
}

func (p *Process) await(ctx context.Context, done func() bool) error {
	ticker := time.NewTicker(drainPoll)
	defer ticker.Stop()
	for {
		result := make(chan bool, 1)
		p.put(draining{done: done, result: result})
		select {
		case ok := <-result:
			if ok {
				return nil
			}
		case <-ctx.Done():
			return ctx.Err()
		}
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

type draining struct {
	done   func() bool
	result chan<- bool
}

func (in draining) apply(p *Process) {
	p.drained = true
	in.result <- in.done()
}

// Dump returns the state of every role.
func (p *Process) Dump(ctx context.Context) (hsview.Dump, error) {
	result := make(chan hsview.Dump, 1)
	p.put(dumped{result: result})
	select {
	case d := <-result:
		return d, nil
	case <-ctx.Done():
		return hsview.Dump{}, ctx.Err()
	}
}

type dumped struct {
	result chan<- hsview.Dump
}

func (in dumped) apply(p *Process) {
	var d hsview.Dump
	if p.control != nil {
		d.Control = hsdump.Control(p.control.Replica(), p.control.State())
	}
	if p.entry != nil {
		d.Entry = hsdump.Entry(p.entry)
	}
	if p.agent != nil {
		d.Agent = hsdump.Agent(p.agent)
	}
	in.result <- d
}
