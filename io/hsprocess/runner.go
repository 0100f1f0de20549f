package hsprocess

import (
	"context"

	"hyssopseam/core/command/hsrunner"
	"hyssopseam/core/hswork"
)

// AnnounceEndpoint passes an announcement from the runner's endpoint to the runner role. It returns false without the
// runner role, for an announcement of an earlier incarnation of the endpoint, when the inbox is full, and when the
// context ends first.
func (p *Process) AnnounceEndpoint(ctx context.Context, a hsrunner.Announcement) bool {
	accepted := make(chan bool, 1)
	if !p.tryEnqueue(endpointAnnounced{announcement: a, accepted: accepted}) {
		return false
	}
	return p.awaitAccepted(ctx, accepted)
}

type endpointAnnounced struct {
	announcement hsrunner.Announcement
	accepted     chan<- bool
}

func (in endpointAnnounced) apply(p *Process) {
	in.accepted <- p.runner != nil && p.runner.HandleAnnouncement(in.announcement)
}

// EndpointLeaving passes an endpoint's notice that it is shutting down to the runner role. It returns false without the runner role,
// when the inbox is full, and when the context ends first.
func (p *Process) EndpointLeaving(ctx context.Context, n hsrunner.ShutdownNotice) bool {
	accepted := make(chan bool, 1)
	if !p.tryEnqueue(endpointLeaving{notice: n, accepted: accepted}) {
		return false
	}
	return p.awaitAccepted(ctx, accepted)
}

func (p *Process) awaitAccepted(ctx context.Context, accepted <-chan bool) bool {
	select {
	case ok := <-accepted:
		return ok
	case <-ctx.Done():
		return false
	case <-p.stopped:
		return false
	}
}

type endpointLeaving struct {
	notice   hsrunner.ShutdownNotice
	accepted chan<- bool
}

func (in endpointLeaving) apply(p *Process) {
	if p.runner != nil {
		p.runner.HandleShutdownNotice(in.notice)
	}
	in.accepted <- p.runner != nil
}

// HandleStartResult queues the endpoint's answer to a start call.
func (p *Process) HandleStartResult(run hswork.RunID, r hsrunner.CallResult) {
	p.enqueue(startAnswered{run: run, result: r})
}

type startAnswered struct {
	run    hswork.RunID
	result hsrunner.CallResult
}

func (in startAnswered) apply(p *Process) { p.runner.HandleStartResult(in.run, in.result) }

// HandleStopResult queues the endpoint's answer to a stop call.
func (p *Process) HandleStopResult(run hswork.RunID, r hsrunner.CallResult) {
	p.enqueue(stopAnswered{run: run, result: r})
}

type stopAnswered struct {
	run    hswork.RunID
	result hsrunner.CallResult
}

func (in stopAnswered) apply(p *Process) { p.runner.HandleStopResult(in.run, in.result) }

// HandlePaceResult queues the endpoint's answer to a call that changes a run's pace.
func (p *Process) HandlePaceResult(run hswork.RunID, r hsrunner.CallResult) {
	p.enqueue(paceAnswered{run: run, result: r})
}

type paceAnswered struct {
	run    hswork.RunID
	result hsrunner.CallResult
}

func (in paceAnswered) apply(p *Process) { p.runner.HandlePaceResult(in.run, in.result) }

// HandleHoldResult queues the endpoint's answer to a hold call, which lists its runs.
func (p *Process) HandleHoldResult(r hsrunner.HoldResult) { p.enqueue(runsListed{result: r}) }

type runsListed struct {
	result hsrunner.HoldResult
}

func (in runsListed) apply(p *Process) { p.runner.HandleHoldResult(in.result) }
