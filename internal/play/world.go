// Package play is a deterministic discrete-event simulation of a deployment. It runs the roles of the core against a
// simulated clock, network, disk and platform, in one goroutine; a seed decides the whole run. The stateful tests
// and the policy measurements use it.
//
// Events run in the order of their times. Messages are delayed, and may be lost, duplicated or delayed further;
// saves take time; tasks run and stop as their plan says. The runs that the platforms executed are recorded
// independently of the scheduler's state, so that tests can compare the two.
//
// # Usage
//
//	w := play.New(play.Config{Seed: 1, Controls: 3})
//	w.AddWorker(play.Worker{ID: "w1", Rack: "r1", Accelerators: 8})
//	w.Run(10 * time.Second)
package play

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"time"

	"hyssopseam/core/command/hscontrol"
	"hyssopseam/core/hsid"
	"hyssopseam/core/hsmessage"
	"hyssopseam/core/hsstate"
	"hyssopseam/core/hswork"
	"hyssopseam/io/hscodec"
	"hyssopseam/io/hslink"
)

// Config holds the size, the timing and the faults of a simulated deployment.
type Config struct {
	Seed     uint64
	Controls int
	Control  hscontrol.Config
	// Interval is the time between two reports of an agent or runner, and between two lease renewals of the entry.
	Interval time.Duration
	// Latency is the shortest delay of a message; each one takes up to twice as long. The default is 1 ms.
	Latency time.Duration
	// SyncTime is the duration of a save to disk; the default is 2 ms.
	SyncTime time.Duration
	// PlatformJitter is the upper bound of the random delay added to each call to or from a platform.
	PlatformJitter time.Duration
	// LossRate, DuplicateRate and DelayRate are the probabilities, from 0 to 1, that a message is lost, that it is
	// delivered twice, and that a delivery is delayed by up to another second.
	LossRate      float64
	DuplicateRate float64
	DelayRate     float64
	// ListedEnds is the largest number of ends that an endpoint lists at once; zero for all.
	ListedEnds int
	// Drift is the largest relative deviation of a node's clock rate from 1.
	Drift float64
	// EncodeMessages encodes and decodes every message, as on a link.
	EncodeMessages bool
	// DropOversize drops the encoded messages that exceed a limit of the links, as a link does. Otherwise one ends the run.
	DropOversize bool
}

// event is an action at a simulated time; the sequence orders events of the same time.
type event struct {
	at       time.Duration
	sequence int
	action   func()
}

type events []event

// Len returns the number of events.
func (e events) Len() int { return len(e) }

// Less orders events by time, and those of the same time as they were scheduled.
func (e events) Less(i, k int) bool {
	return e[i].at < e[k].at || e[i].at == e[k].at && e[i].sequence < e[k].sequence
}

// Swap swaps two events.
func (e events) Swap(i, k int) { e[i], e[k] = e[k], e[i] }

// Push adds an event.
func (e *events) Push(x any) { *e = append(*e, x.(event)) }

// Pop removes the last event.
func (e *events) Pop() any {
	old := *e
	x := old[len(old)-1]
	*e = old[:len(old)-1]
	return x
}

// World is a simulated deployment. It isn't safe for concurrent use.
type World struct {
	config   Config
	now      time.Duration
	random   *rand.Rand
	events   events
	sequence int
	Controls []*Control
	Agents   []*Agent
	Runners  []*Runner
	Entry    *Entry
	// Runs records every run on a platform, in the order of their starts.
	Runs []*Run
	// WorkRuns records every run of a step job's task on an endpoint. Work returns the behaviour of a task.
	// OnWorkStart, unless nil, is called for each run that starts.
	WorkRuns    []*WorkRun
	Work        func(t hswork.TaskID) WorkPlan
	OnWorkStart func(r *WorkRun)
	// disconnected holds the pairs of sender and receiver between which messages are lost.
	disconnected map[[2]hsstate.Peer]bool
	// Bytes counts the bytes sent by and to each node, if EncodeMessages is set.
	Bytes map[hsstate.Peer]int
	// Messages counts the messages sent, including those that are lost.
	Messages int
	// Oversize counts the messages that were dropped because they exceed a limit of the links, if DropOversize is set.
	Oversize int
}

// New returns a world with one entry and the configured number of control replicas, which form one cluster.
func New(c Config) *World {
	if c.Latency == 0 {
		c.Latency = time.Millisecond
	}
	if c.SyncTime == 0 {
		c.SyncTime = 2 * time.Millisecond
	}
	w := &World{
		config:       c,
		random:       rand.New(rand.NewPCG(c.Seed, 1)),
		disconnected: map[[2]hsstate.Peer]bool{},
		Bytes:        map[hsstate.Peer]int{},
	}
	for i := range c.Controls {
		w.Controls = append(w.Controls, newControl(w, i))
	}
	for _, n := range w.Controls {
		n.Start()
	}
	w.Entry = newEntry(w)
	return w
}

// Now returns the simulated time, which starts at 0.
func (w *World) Now() time.Duration { return w.now }

// Random returns the generator that all random decisions of the world are drawn from.
func (w *World) Random() *rand.Rand { return w.random }

// Schedule schedules an action for a simulated time; one in the past runs at the current time.
func (w *World) Schedule(at time.Duration, action func()) {
	w.sequence++
	heap.Push(&w.events, event{at: max(at, w.now), sequence: w.sequence, action: action})
}

// Run processes the events of the next d.
func (w *World) Run(d time.Duration) { w.RunUntil(w.now + d) }

// RunUntil processes all events up to and including a simulated time.
func (w *World) RunUntil(end time.Duration) {
	for len(w.events) > 0 && w.events[0].at <= end {
		w.step()
	}
	w.now = end
}

// Await processes events until done returns true. It reports false if that doesn't happen within the limit.
func (w *World) Await(limit time.Duration, done func() bool) bool {
	end := w.now + limit
	for !done() {
		if len(w.events) == 0 || w.events[0].at > end {
			return false
		}
		w.step()
	}
	return true
}

func (w *World) step() {
	e := heap.Pop(&w.events).(event)
	w.now = e.at
	e.action()
}

// Disconnect drops all messages between two nodes, or only those from a to b if oneWay is set, until Heal.
func (w *World) Disconnect(a, b hsstate.Peer, oneWay bool) {
	w.disconnected[[2]hsstate.Peer{a, b}] = true
	if !oneWay {
		w.disconnected[[2]hsstate.Peer{b, a}] = true
	}
}

// Isolate cuts a node off from all others, until Heal.
func (w *World) Isolate(p hsstate.Peer) {
	for _, o := range w.peers() {
		w.Disconnect(p, o, false)
	}
}

// Heal restores all connections that Disconnect and Isolate removed.
func (w *World) Heal() { clear(w.disconnected) }

// StopFaults ends the loss, duplication and extra delay of messages and the jitter of platforms.
func (w *World) StopFaults() {
	w.config.LossRate = 0
	w.config.DuplicateRate = 0
	w.config.DelayRate = 0
	w.config.PlatformJitter = 0
}

func (w *World) peers() []hsstate.Peer {
	all := []hsstate.Peer{w.Entry.peer}
	for _, n := range w.Controls {
		all = append(all, n.peer)
	}
	for _, n := range w.Agents {
		all = append(all, n.peer)
	}
	for _, n := range w.Runners {
		all = append(all, n.peer)
	}
	return all
}

// clock is a node's clock, which may drift, with the world's generator.
type clock struct {
	w    *World
	rate float64
}

func (w *World) newClock() clock {
	return clock{w: w, rate: 1 + w.config.Drift*(2*w.random.Float64()-1)}
}

// Now returns the node's time.
func (c clock) Now() time.Time {
	return time.Unix(1000, 0).Add(time.Duration(float64(c.w.now) * c.rate))
}

// worldTime converts a time of the node's clock to simulated time, rounded up by 1 ns so that a timer never fires
// early.
func (c clock) worldTime(t time.Time) time.Duration {
	return time.Duration(float64(t.Sub(time.Unix(1000, 0)))/c.rate) + 1
}

// Int64N draws from the world's generator.
func (c clock) Int64N(n int64) int64 { return c.w.random.Int64N(n) }

// send schedules the delivery of a message, or drops it. A disconnection is looked up when the message arrives.
func (w *World) send(from, to hsstate.Peer, m hsmessage.Message) {
	w.Messages++
	if w.config.EncodeMessages {
		var ok bool
		if m, ok = w.roundTrip(from, to, m); !ok {
			return
		}
	}
	times := 1
	switch x := w.random.Float64(); {
	case x < w.config.LossRate:
		return
	case x < w.config.LossRate+w.config.DuplicateRate:
		times = 2
	}
	for range times {
		delay := w.config.Latency + time.Duration(w.random.Int64N(int64(w.config.Latency)))
		if w.random.Float64() < w.config.DelayRate {
			delay += time.Duration(w.random.Int64N(int64(time.Second)))
		}
		w.Schedule(w.now+delay, func() {
			if !w.disconnected[[2]hsstate.Peer{from, to}] {
				w.deliver(from, to, m)
			}
		})
	}
}

// roundTrip encodes and decodes a message, and counts its bytes. It reports false for a message that a link wouldn't
// deliver, and panics instead unless Config.DropOversize is set.
func (w *World) roundTrip(from, to hsstate.Peer, m hsmessage.Message) (hsmessage.Message, bool) {
	data, err := hscodec.EncodeMessage(m)
	if err != nil {
		panic(err)
	}
	if hsid.Bytes(len(data)) > hslink.MaxFrame || hscodec.CheckMessage(data) != nil {
		if !w.config.DropOversize {
			panic(fmt.Sprintf("play: %T of %d bytes exceeds a limit of the links", m, len(data)))
		}
		w.Oversize++
		return nil, false
	}
	w.Bytes[from] += len(data)
	w.Bytes[to] += len(data)
	m, err = hscodec.DecodeMessage(data)
	if err != nil {
		panic(err)
	}
	return m, true
}

func (w *World) deliver(from, to hsstate.Peer, m hsmessage.Message) {
	for _, n := range w.Controls {
		if n.peer == to {
			n.receive(from, m)
		}
	}
	if w.Entry.peer == to {
		w.Entry.receive(from, m)
	}
	if a := w.agent(to); a != nil {
		a.receive(from, m)
	}
	for _, r := range w.Runners {
		if r.peer == to {
			r.receive(from, m)
		}
	}
}

func (w *World) agent(p hsstate.Peer) *Agent {
	for _, a := range w.Agents {
		if a.peer == p {
			return a
		}
	}
	return nil
}

// waker is a role with timers.
type waker interface {
	Wake()
	NextWake() time.Time
}

// wakeTimer calls a role's Wake at its NextWake. Each start of a node creates a new one.
type wakeTimer struct {
	w         *World
	clock     clock
	role      waker
	afterWake func()
	armedAt   time.Duration
	stopped   bool
}

// rearm sets the timer to the role's NextWake, unless it already fires by then.
func (t *wakeTimer) rearm() {
	at := max(t.clock.worldTime(t.role.NextWake()), t.w.now)
	if t.armedAt > t.w.now && t.armedAt <= at {
		return
	}
	t.armedAt = at
	t.w.Schedule(at, func() {
		if t.stopped || t.armedAt != at {
			return
		}
		t.armedAt = 0
		t.role.Wake()
		if t.afterWake != nil {
			t.afterWake()
		}
		t.rearm()
	})
}

func controlPeer(i int) hsstate.Peer { return hsstate.Peer(fmt.Sprintf("control-%d", i+1)) }

func (w *World) controlPeers() []hsstate.Peer {
	var all []hsstate.Peer
	for i := range w.config.Controls {
		all = append(all, controlPeer(i))
	}
	return all
}

func (w *World) incarnation() hsid.Incarnation { return hsid.Incarnation(w.random.Uint64() | 1) }
