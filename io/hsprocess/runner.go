package hsprocess

import (
	"context"

	"hyssopseam/core/command/hsrunner"
	"hyssopseam/core/hswork"
)

// AnnounceEndpoint takes what the endpoint beside the runner says of itself. It reports false for one that
// is past, and when the context ends first.
func (p *Process) AnnounceEndpoint(ctx context.Context, a hsrunner.Announcement) bool {
	taken := make(chan bool, 1)
	if !p.tryPut(endpointAnnounced{announcement: a, taken: taken}) {
		return false
	}
	return p.awaitTaken(ctx, taken)
}

type endpointAnnounced struct {
	announcement hsrunner.Announcement
	taken        chan<- bool
}

func (in endpointAnnounced) apply(p *Process) {
	in.taken <- p.runner != nil && p.runner.Announce(in.announcement)
}

// EndpointGoodbye takes the endpoint's word that it ends.
func (p *Process) EndpointGoodbye(ctx context.Context, id hswork.EndpointID) bool {
	taken := make(chan bool, 1)
	if !p.tryPut(endpointGone{id: id, taken: taken}) {
		return false
	}
	return p.awaitTaken(ctx, taken)
}

func (p *Process) awaitTaken(ctx context.Context, taken <-chan bool) bool {
	select {
	case ok := <-taken:
		return ok
	case <-ctx.Done():
		return false
	case <-p.stopped:
		return false
	}
}

type endpointGone struct {
	id    hswork.EndpointID
	taken chan<- bool
}

func (in endpointGone) apply(p *Process) {
	if p.runner != nil {
		p.runner.Goodbye(in.id)
	}
	in.taken <- p.runner != nil
}

// RunStarted takes the result of a start on the endpoint.
func (p *Process) RunStarted(run hswork.RunID, r hsrunner.CallResult) {
	p.put(runStarted{run: run, result: r})
}

type runStarted struct {
	run    hswork.RunID
	result hsrunner.CallResult
}

func (in runStarted) apply(p *Process) { p.runner.Started(in.run, in.result) }

// RunStopped takes the result of a stop on the endpoint.
func (p *Process) RunStopped(run hswork.RunID, r hsrunner.CallResult) {
	p.put(runStopped{run: run, result: r})
}

type runStopped struct {
	run    hswork.RunID
	result hsrunner.CallResult
}

func (in runStopped) apply(p *Process) { p.runner.Stopped(in.run, in.result) }

// RunPaced takes the result of a change of pace on the endpoint.
func (p *Process) RunPaced(run hswork.RunID, r hsrunner.CallResult) {
	p.put(runPaced{run: run, result: r})
}

type runPaced struct {
	run    hswork.RunID
	result hsrunner.CallResult
}

func (in runPaced) apply(p *Process) { p.runner.Paced(in.run, in.result) }

// EndpointHeld takes what the endpoint lists.
func (p *Process) EndpointHeld(r hsrunner.HoldResult) { p.put(endpointHeld{result: r}) }

type endpointHeld struct {
	result hsrunner.HoldResult
}

func (in endpointHeld) apply(p *Process) { p.runner.Held(in.result) }
