package play

import (
	"hyssopseam/core/command/hsrunner"
	"hyssopseam/core/hsid"
	"hyssopseam/core/hsmessage"
	"hyssopseam/core/hsstate"
	"hyssopseam/core/hswork"
)

// Runner is a node with the runner role and the endpoint beside it, which keeps running when the runner crashes.
type Runner struct {
	w          *World
	peer       hsstate.Peer
	clock      clock
	runner     *hsrunner.Runner
	timer      *wakeTimer
	generation int
	Endpoint   *Endpoint
}

// AddRunner adds a worker that runs the tasks of step jobs, and starts its runner and its endpoint.
func (w *World) AddRunner(id hsid.InstanceID, e hsmessage.Endpoint) *Runner {
	r := &Runner{w: w, peer: hsstate.Peer(id), clock: w.newClock()}
	r.Endpoint = newEndpoint(w, r, e)
	w.Runners = append(w.Runners, r)
	r.Start()
	r.Endpoint.announceLoop()
	return r
}

// Role returns the running role; nil while the runner is down.
func (r *Runner) Role() *hsrunner.Runner { return r.runner }

// Peer returns the node's address.
func (r *Runner) Peer() hsstate.Peer { return r.peer }

// Start starts the runner with a new incarnation and no state, unless it is running.
func (r *Runner) Start() {
	if r.runner != nil {
		return
	}
	r.generation++
	r.runner = hsrunner.New(hsrunner.Config{
		Instance:    hsid.InstanceID(r.peer),
		Incarnation: r.w.incarnation(),
		Controls:    r.w.controlPeers(),
		Interval:    r.w.config.Interval,
	}, hsrunner.Ports{Clock: r.clock, Sender: r, Endpoint: r.Endpoint, Observer: r})
	r.timer = &wakeTimer{w: r.w, clock: r.clock, role: r.runner}
	r.timer.rearm()
}

// Crash stops the runner. The endpoint keeps running its tasks until its lease expires.
func (r *Runner) Crash() {
	if r.runner == nil {
		return
	}
	r.runner = nil
	r.timer.stopped = true
	r.generation++
}

// Send sends a message over the simulated network.
func (r *Runner) Send(to hsstate.Peer, m hsmessage.Message) { r.w.send(r.peer, to, m) }

func (r *Runner) receive(from hsstate.Peer, m hsmessage.Message) {
	r.do(func(x *hsrunner.Runner) { x.Receive(from, m) })
}

// do calls act with the running role, if there is one, and rearms the timer.
func (r *Runner) do(act func(x *hsrunner.Runner)) {
	if r.runner == nil {
		return
	}
	act(r.runner)
	r.timer.rearm()
}

// EndpointChanged does nothing.
func (r *Runner) EndpointChanged(hsrunner.Announcement) {}

// AnnouncementIgnored does nothing.
func (r *Runner) AnnouncementIgnored(hsrunner.Announcement) {}

// EndpointTerminated does nothing.
func (r *Runner) EndpointTerminated(hswork.EndpointID, string) {}

// ShutdownNoticed implements hsrunner.Observer.
func (r *Runner) ShutdownNoticed(hsrunner.ShutdownNotice, bool) {}

// RunStarted does nothing.
func (r *Runner) RunStarted(hswork.RunID, hsrunner.CallResult) {}

// RunStopped does nothing.
func (r *Runner) RunStopped(hswork.RunID, hsrunner.CallResult) {}

// RunEndListed does nothing.
func (r *Runner) RunEndListed(hsmessage.EndedTask) {}
