package play

import (
	"time"

	"hyssopseam/core/command/hscontrol"
	"hyssopseam/core/command/hsdispatch"
	"hyssopseam/core/command/hsquorum"
	"hyssopseam/core/command/hsspeed"
	"hyssopseam/core/hscost"
	"hyssopseam/core/hsid"
	"hyssopseam/core/hsmessage"
	"hyssopseam/core/hsstate"
	"hyssopseam/core/hswork"
	"hyssopseam/core/query/hsreport"
	"hyssopseam/io/hscodec"
)

// Control is a node with the control role and its disk.
type Control struct {
	w          *World
	peer       hsstate.Peer
	id         hsid.ReplicaID
	clock      clock
	control    *hscontrol.Control
	timer      *wakeTimer
	stored     hsquorum.Stored
	saving     *hsquorum.Save
	generation int
	// flushPending is set while a flush is scheduled behind the other events of the current time, so that messages
	// that arrive at the same time form one batch.
	flushPending bool
}

func newControl(w *World, i int) *Control {
	n := &Control{w: w, peer: controlPeer(i), id: hsid.ReplicaID(i + 1), clock: w.newClock()}
	var members []hsstate.Member
	for k := range w.config.Controls {
		members = append(members, hsstate.Member{ID: hsid.ReplicaID(k + 1), Instance: hsid.InstanceID(controlPeer(k)), Address: controlPeer(k), Voter: true})
	}
	first := hsstate.SetMembers{Cluster: "play", Members: members}
	n.stored = hsquorum.Stored{
		HardState: hsquorum.HardState{Term: 1},
		Entries:   []hsstate.Entry{{Index: 1, Term: 1, Command: hsstate.Command{Members: &first}}},
	}
	return n
}

// AddControl starts a control replica with an empty disk at an address that isn't in any replica's configuration.
func (w *World) AddControl() *Control {
	n := &Control{w: w, peer: controlPeer(len(w.Controls)), clock: w.newClock()}
	w.Controls = append(w.Controls, n)
	n.Wipe()
	n.Start()
	return n
}

// Reconfigure replaces the configuration of the control replicas. It takes effect when they start the next time.
func (w *World) Reconfigure(c hscontrol.Config) { w.config.Control = c }

// Role returns the running role; nil while the node is down.
func (n *Control) Role() *hscontrol.Control { return n.control }

// Peer returns the node's address.
func (n *Control) Peer() hsstate.Peer { return n.peer }

// Start starts the node from its disk, unless it is running.
func (n *Control) Start() {
	if n.control != nil {
		return
	}
	config := n.w.config.Control
	config.Quorum.ID = n.id
	config.Quorum.Instance = hsid.InstanceID(n.peer)
	config.Quorum.Address = n.peer
	config.Controls = n.w.controlPeers()
	config.Replicas = n.w.config.Controls
	c, err := hscontrol.New(config, hscontrol.Ports{
		Clock:    n.clock,
		Random:   n.clock,
		Sender:   n,
		Storage:  n,
		Codec:    hscodec.State{},
		Sizer:    hscodec.EntrySizer{},
		Reader:   hsreport.Reader{},
		Observer: noopObserver{},
		Work:     noopObserver{},
	}, n.stored)
	if err != nil {
		panic(err)
	}
	n.generation++
	n.control = c
	n.timer = &wakeTimer{w: n.w, clock: n.clock, role: c, afterWake: n.flush}
	n.timer.rearm()
}

// Crash stops the node at once. A save in progress reaches the disk if written is set, and is lost otherwise.
func (n *Control) Crash(written bool) {
	if n.control == nil {
		return
	}
	if n.saving != nil && written {
		n.stored = n.stored.WithSave(*n.saving)
	}
	n.saving = nil
	n.control = nil
	n.timer.stopped = true
	n.generation++
}

// Wipe stops the node, erases its disk and gives it a new replica identifier. It keeps its address.
func (n *Control) Wipe() {
	n.Crash(false)
	n.stored = hsquorum.Stored{}
	n.id = hsid.ReplicaID(n.w.random.Uint32() | 1<<8)
}

// Send sends a message over the simulated network.
func (n *Control) Send(to hsstate.Peer, m hsmessage.Message) { n.w.send(n.peer, to, m) }

// Save starts a save, which is durable after the sync time.
func (n *Control) Save(s hsquorum.Save) {
	n.saving = &s
	generation := n.generation
	n.w.Schedule(n.w.now+n.w.config.SyncTime, func() {
		if n.generation != generation {
			return
		}
		n.saving = nil
		n.stored = n.stored.WithSave(s)
		n.control.SaveCompleted(s.Number)
		n.flush()
	})
}

func (n *Control) receive(from hsstate.Peer, m hsmessage.Message) {
	if n.control == nil {
		return
	}
	n.control.Receive(from, m)
	if n.flushPending {
		return
	}
	n.flushPending = true
	n.w.Schedule(n.w.now, func() {
		n.flushPending = false
		if n.control != nil {
			n.flush()
		}
	})
}

func (n *Control) flush() {
	n.control.Flush()
	n.timer.rearm()
}

// Leader returns the first control role that regards itself as the leader, or nil.
func (w *World) Leader() *hscontrol.Control {
	for _, n := range w.Controls {
		if n.control != nil && n.control.Leading() {
			return n.control
		}
	}
	return nil
}

// noopObserver ignores all events.
type noopObserver struct{}

// LeadershipChanged does nothing.
func (noopObserver) LeadershipChanged(bool) {}

// JobAccepted does nothing.
func (noopObserver) JobAccepted(*hsstate.Job) {}

// JobRefused does nothing.
func (noopObserver) JobRefused(string) {}

// JobStarted does nothing.
func (noopObserver) JobStarted(*hsstate.Job, time.Duration) {}

// JobEnded does nothing.
func (noopObserver) JobEnded(*hsstate.Job) {}

// JobRequeued does nothing.
func (noopObserver) JobRequeued(*hsstate.Job) {}

// WorkAnswered does nothing.
func (noopObserver) WorkAnswered(hsid.RequestID, *hsmessage.WorkRequest, hsmessage.WorkReply, hswork.Version) {
}

// Placed does nothing.
func (noopObserver) Placed(*hswork.Start, time.Duration) {}

// RunEnded does nothing.
func (noopObserver) RunEnded(*hswork.End, hsid.InstanceID) {}

// Restarting does nothing.
func (noopObserver) Restarting(hsdispatch.Straggler) {}

// TrustChanged does nothing.
func (noopObserver) TrustChanged(hsdispatch.TrustChange) {}

// Completed does nothing.
func (noopObserver) Completed(hsdispatch.Completion) {}

// Held does nothing.
func (noopObserver) Held(hsdispatch.Hold) {}

// Stopping does nothing.
func (noopObserver) Stopping(hsdispatch.Stop) {}

// WorkThrown does nothing.
func (noopObserver) WorkThrown(string, hscost.CoreSeconds) {}

// WorkerChanged does nothing.
func (noopObserver) WorkerChanged(hsid.InstanceID, hsmessage.Endpoint, bool) {}

// SpeedChanged does nothing.
func (noopObserver) SpeedChanged(hsspeed.ClassChange) {}
