package play

import (
	"time"

	"hyssopseam/core/command/hscontrol"
	"hyssopseam/core/command/hsquorum"
	"hyssopseam/core/hsid"
	"hyssopseam/core/hsmessage"
	"hyssopseam/core/hsstate"
	"hyssopseam/core/hswork"
	"hyssopseam/core/query/hsreport"
	"hyssopseam/io/hscodec"
)

// Control is one control replica with its disk.
type Control struct {
	w       *World
	peer    hsstate.Peer
	id      hsid.ReplicaID
	clock   clock
	control *hscontrol.Control
	alarm   *alarm
	stored  hsquorum.Stored
	pending *hsquorum.Save
	life    int
	// flushDue puts the flush off to the end of the moment, so that inputs of one moment make a batch.
	flushDue bool
}

func newControl(w *World, i int) *Control {
	n := &Control{w: w, peer: controlPeer(i), id: hsid.ReplicaID(i + 1), clock: w.newClock()}
	var members []hsstate.Member
	for k := range w.config.Controls {
		members = append(members, hsstate.Member{ID: hsid.ReplicaID(k + 1), Instance: hsid.InstanceID(controlPeer(k)), Address: controlPeer(k), Voter: true})
	}
	first := hsstate.SetMembers{Cluster: "play", Members: members}
	n.stored = hsquorum.Stored{
		Hard:    hsquorum.HardState{Term: 1},
		Entries: []hsstate.Entry{{Index: 1, Term: 1, Command: hsstate.Command{Members: &first}}},
	}
	return n
}

// AddControl starts a control replica with an empty disk at an address that no other knows.
func (w *World) AddControl() *Control {
	n := &Control{w: w, peer: controlPeer(len(w.Controls)), clock: w.newClock()}
	w.Controls = append(w.Controls, n)
	n.Wipe()
	n.Start()
	return n
}

// Role returns the running role; nil while the node is down.
func (n *Control) Role() *hscontrol.Control { return n.control }

// Peer returns the node's address.
func (n *Control) Peer() hsstate.Peer { return n.peer }

// Start starts the node from its disk.
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
		Reader:   hsreport.Reader{},
		Observer: silent{},
		Work:     silent{},
	}, n.stored)
	if err != nil {
		panic(err)
	}
	n.life++
	n.control = c
	n.alarm = &alarm{w: n.w, clock: n.clock, role: c, after: n.flush}
	n.alarm.rearm()
}

// Crash ends the node; the save under way may or may not be on the disk.
func (n *Control) Crash(written bool) {
	if n.control == nil {
		return
	}
	if n.pending != nil && written {
		n.stored = n.stored.Apply(*n.pending)
	}
	n.pending = nil
	n.control = nil
	n.alarm.ended = true
	n.life++
}

// Wipe ends the node and empties its disk. It comes back with a new identity at its old address.
func (n *Control) Wipe() {
	n.Crash(false)
	n.stored = hsquorum.Stored{}
	n.id = hsid.ReplicaID(n.w.random.Uint32() | 1<<8)
}

// Send puts a message on its way.
func (n *Control) Send(to hsstate.Peer, m hsmessage.Message) { n.w.send(n.peer, to, m) }

// Save starts a save.
func (n *Control) Save(s hsquorum.Save) {
	n.pending = &s
	life := n.life
	n.w.At(n.w.now+n.w.config.SyncTime, func() {
		if n.life != life {
			return
		}
		n.pending = nil
		n.stored = n.stored.Apply(s)
		n.control.Synced(s.Number)
		n.flush()
	})
}

func (n *Control) receive(from hsstate.Peer, m hsmessage.Message) {
	if n.control == nil {
		return
	}
	n.control.Receive(from, m)
	if n.flushDue {
		return
	}
	n.flushDue = true
	n.w.At(n.w.now, func() {
		n.flushDue = false
		if n.control != nil {
			n.flush()
		}
	})
}

func (n *Control) flush() {
	n.control.Flush()
	n.alarm.rearm()
}

// Leader returns the control role that may act as the leader, or nil.
func (w *World) Leader() *hscontrol.Control {
	for _, n := range w.Controls {
		if n.control != nil && n.control.Leading() {
			return n.control
		}
	}
	return nil
}

// silent is an observer that does nothing.
type silent struct{}

// Led does nothing.
func (silent) Led(bool) {}

// Accepted does nothing.
func (silent) Accepted(*hsstate.Job) {}

// Refused does nothing.
func (silent) Refused(string) {}

// Started does nothing.
func (silent) Started(*hsstate.Job, time.Duration) {}

// Ended does nothing.
func (silent) Ended(*hsstate.Job) {}

// Requeued does nothing.
func (silent) Requeued(*hsstate.Job) {}

// WorkAnswered does nothing.
func (silent) WorkAnswered(hsid.RequestID, *hsmessage.WorkRequest, hsmessage.WorkReply, hswork.Version) {
}

// Placed does nothing.
func (silent) Placed(*hswork.Start, time.Duration) {}

// RunEnded does nothing.
func (silent) RunEnded(*hswork.End, hsid.InstanceID) {}

// Preempted does nothing.
func (silent) Preempted(hswork.RunID, hsid.InstanceID, hswork.ID) {}

// Stalled does nothing.
func (silent) Stalled(hswork.RunID, hsid.InstanceID) {}

// Moved does nothing.
func (silent) Moved(hswork.RunID, hsid.InstanceID) {}

// WorkerChanged does nothing.
func (silent) WorkerChanged(hsid.InstanceID, hsmessage.Endpoint, bool) {}
