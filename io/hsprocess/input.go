package hsprocess

import (
	"context"
	"time"

	"hyssopseam/core/command/hsagent"
	"hyssopseam/core/command/hsdispatch"
	"hyssopseam/core/command/hsmaintenance"
	"hyssopseam/core/hsid"
	"hyssopseam/core/hsmessage"
	"hyssopseam/core/hsstate"
	"hyssopseam/core/hsview"
	"hyssopseam/core/query/hsdump"
)

// Receive queues a message from another process. It blocks while the inbox is full.
func (p *Process) Receive(from hsstate.Peer, m hsmessage.Message) {
	p.enqueue(messageReceived{from: from, message: m})
}

// SendToSelf queues a message that this process sent to itself. It never blocks: when the inbox is full it drops the
// message, as a link does, and returns false.
func (p *Process) SendToSelf(from hsstate.Peer, m hsmessage.Message) bool {
	return p.tryEnqueue(messageReceived{from: from, message: m})
}

type messageReceived struct {
	from    hsstate.Peer
	message hsmessage.Message
}

func (in messageReceived) apply(p *Process) {
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

// receiveLease passes a lease or redirect to the role that it is addressed to. One without a role wasn't requested
// by any of them and goes to all.
func (p *Process) receiveLease(from hsstate.Peer, m hsmessage.Message) {
	var role hsmessage.Role
	switch m := m.(type) {
	case hsmessage.Lease:
		role = m.Role
	case hsmessage.Redirect:
		role = m.Role
	}
	isFor := func(r hsmessage.Role) bool { return role == r || role == "" }
	if p.entry != nil && isFor(hsmessage.RoleEntry) {
		p.entry.Receive(from, m)
	}
	if p.agent != nil && isFor(hsmessage.RoleAgent) {
		p.agent.Receive(from, m)
	}
	if p.runner != nil && isFor(hsmessage.RoleRunner) {
		p.runner.Receive(from, m)
	}
}

// PeerUnreachable queues a notice that a control replica is unreachable. It blocks while the inbox is full.
func (p *Process) PeerUnreachable(peer hsstate.Peer) { p.enqueue(controlUnreachable{peer: peer}) }

type controlUnreachable struct {
	peer hsstate.Peer
}

func (in controlUnreachable) apply(p *Process) {
	if p.entry != nil {
		p.entry.PeerUnreachable(in.peer)
	}
	if p.agent != nil {
		p.agent.PeerUnreachable(in.peer)
	}
	if p.runner != nil {
		p.runner.PeerUnreachable(in.peer)
	}
}

// HandleAdvice queues the policy service's answer about a step. It blocks while the inbox is full.
func (p *Process) HandleAdvice(a hsdispatch.Advice) { p.enqueue(adviceReceived{advice: a}) }

type adviceReceived struct {
	advice hsdispatch.Advice
}

func (in adviceReceived) apply(p *Process) {
	if p.control != nil {
		p.control.HandleAdvice(in.advice)
	}
}

// HandleMachineList queues the platform's list of machines. It blocks while the inbox is full.
func (p *Process) HandleMachineList(l hsmaintenance.MachineList) {
	p.enqueue(machinesListed{list: l})
}

type machinesListed struct {
	list hsmaintenance.MachineList
}

func (in machinesListed) apply(p *Process) {
	if p.control != nil {
		p.control.HandleMachineList(in.list)
	}
}

// HandleUpkeepResult queues the result of a machine upkeep order. It blocks while the inbox is full.
func (p *Process) HandleUpkeepResult(o hsmaintenance.Order, v hsmaintenance.Verdict) {
	p.enqueue(upkeepOrderDone{order: o, verdict: v})
}

type upkeepOrderDone struct {
	order   hsmaintenance.Order
	verdict hsmaintenance.Verdict
}

func (in upkeepOrderDone) apply(p *Process) {
	if p.control != nil {
		p.control.HandleUpkeepResult(in.order, in.verdict)
	}
}

// SaveCompleted queues the completion of a save. An error makes the whole process fail.
func (p *Process) SaveCompleted(n hsid.Sequence, err error) {
	if err != nil {
		p.fail(err)
		return
	}
	p.enqueue(saveDone{number: n})
}

type saveDone struct {
	number hsid.Sequence
}

func (in saveDone) apply(p *Process) { p.control.SaveCompleted(in.number) }

// requestReceived is a request from a caller. It submits a job when spec is set.
type requestReceived struct {
	request hsmessage.Request
	spec    *hsstate.Spec
	timeout time.Duration
	reply   chan<- hsmessage.Reply
}

func (in requestReceived) apply(p *Process) {
	var id hsid.RequestID
	p.earlyReply = nil
	if in.spec != nil {
		id = p.entry.Submit(*in.spec, in.timeout)
	} else {
		id = p.entry.Do(in.request, in.timeout)
	}
	if p.earlyReply != nil {
		in.reply <- *p.earlyReply
		p.earlyReply = nil
		return
	}
	p.replyTo[id] = in.reply
}

// requestCancelled reports that a caller no longer waits for its reply.
type requestCancelled struct {
	reply chan<- hsmessage.Reply
}

func (in requestCancelled) apply(p *Process) {
	for id, reply := range p.replyTo {
		if reply == in.reply {
			delete(p.replyTo, id)
			p.entry.Cancel(id)
			return
		}
	}
}

// Announce queues an announcement from the endpoint. It returns false when the inbox is full.
func (p *Process) Announce(w hsmessage.Worker) bool {
	return p.tryEnqueue(workerAnnounced{worker: w})
}

type workerAnnounced struct {
	worker hsmessage.Worker
}

func (in workerAnnounced) apply(p *Process) {
	if p.agent != nil {
		p.agent.HandleAnnouncement(in.worker)
	}
}

// HandleTaskList queues the platform's list of tasks; ok is false when listing failed. It blocks while the inbox is
// full.
func (p *Process) HandleTaskList(endpoint hsid.Incarnation, records []hsagent.Record, ok bool) {
	p.enqueue(tasksListed{endpoint: endpoint, records: records, ok: ok})
}

type tasksListed struct {
	endpoint hsid.Incarnation
	records  []hsagent.Record
	ok       bool
}

func (in tasksListed) apply(p *Process) { p.agent.HandleTaskList(in.endpoint, in.records, in.ok) }

// HandleStartConfirmed queues the platform's confirmation that the endpoint accepted a start. It blocks while the
// inbox is full.
func (p *Process) HandleStartConfirmed(g hsid.Grant) { p.enqueue(taskAccepted{grant: g}) }

type taskAccepted struct {
	grant hsid.Grant
}

func (in taskAccepted) apply(p *Process) { p.agent.HandleStartConfirmed(in.grant) }

// HandleTaskEnd queues the result of a finished task. It blocks while the inbox is full.
func (p *Process) HandleTaskEnd(g hsid.Grant, r hsagent.Result) {
	p.enqueue(taskEnded{grant: g, result: r})
}

type taskEnded struct {
	grant  hsid.Grant
	result hsagent.Result
}

func (in taskEnded) apply(p *Process) { p.agent.HandleTaskEnd(in.grant, in.result) }

// drainPollInterval is the time between two checks of whether a role has drained.
const drainPollInterval = 20 * time.Millisecond

// Drain drains the roles in the order entry, agent, control. It returns the context's error when the context ends
// before the last role has drained.
func (p *Process) Drain(ctx context.Context) error {
	steps := []func() bool{
		func() bool { return p.entry == nil || p.entry.Drain() },
		func() bool { return p.agent == nil || p.agent.Drain() },
		func() bool { return p.control == nil || p.control.Drain() },
	}
	for _, step := range steps {
		if err := p.pollDrain(ctx, step); err != nil {
			return err
		}
	}
	return nil
}

// TransferLeadership makes the control role give up leadership; the other roles keep running.
func (p *Process) TransferLeadership() { p.enqueue(leadershipTransfer{}) }

// SetControls replaces the control replicas that the control, entry and runner roles were configured with.
func (p *Process) SetControls(controls []hsstate.Peer) {
	p.enqueue(controlsReplaced{controls: controls})
}

type controlsReplaced struct {
	controls []hsstate.Peer
}

func (in controlsReplaced) apply(p *Process) {
	if p.control != nil {
		p.control.SetControls(in.controls)
	}
	if p.entry != nil {
		p.entry.SetControls(in.controls)
	}
	if p.runner != nil {
		p.runner.SetControls(in.controls)
	}
}

type leadershipTransfer struct{}

func (leadershipTransfer) apply(p *Process) {
	if p.control != nil {
		p.control.Drain()
	}
}

// pollDrain runs a drain step on the control goroutine, again and again until it reports true or the context ends.
func (p *Process) pollDrain(ctx context.Context, done func() bool) error {
	ticker := time.NewTicker(drainPollInterval)
	defer ticker.Stop()
	for {
		result := make(chan bool, 1)
		p.enqueue(drainStep{done: done, result: result})
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

type drainStep struct {
	done   func() bool
	result chan<- bool
}

func (in drainStep) apply(p *Process) {
	p.draining = true
	in.result <- in.done()
}

// Dump returns the state of every role, read on the control goroutine.
func (p *Process) Dump(ctx context.Context) (hsview.Dump, error) {
	result := make(chan hsview.Dump, 1)
	p.enqueue(dumpRequested{result: result})
	select {
	case d := <-result:
		return d, nil
	case <-ctx.Done():
		return hsview.Dump{}, ctx.Err()
	}
}

type dumpRequested struct {
	result chan<- hsview.Dump
}

func (in dumpRequested) apply(p *Process) {
	var d hsview.Dump
	if p.control != nil {
		d.Control = hsdump.Control(p.control.Replica(), p.control.State())
		d.Control.WorkShares = p.control.WorkShares()
	}
	if p.entry != nil {
		d.Entry = hsdump.Entry(p.entry)
	}
	if p.agent != nil {
		d.Agent = hsdump.Agent(p.agent)
	}
	in.result <- d
}
