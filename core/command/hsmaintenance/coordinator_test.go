package hsmaintenance_test

import (
	"fmt"
	"testing"
	"time"

	"hyssopseam/core/command/hslifecycle"
	"hyssopseam/core/command/hsmaintenance"
	"hyssopseam/core/hsid"
	"hyssopseam/core/hswork"
)

// fakePlatform implements the ports of a coordinator: the platform with four machines, the log, the fleet and the
// clock.
type fakePlatform struct {
	t           *testing.T
	now         time.Time
	state       *hswork.State
	coordinator *hsmaintenance.Coordinator
	down        map[hswork.MachineID]time.Time
	upkeepCount map[hswork.MachineID]int
	removed     map[hswork.MachineID]bool
	orderTerms  map[hswork.MachineID][]hsid.Term
	maxDown     int
	// loseAnswers is the number of further orders that are carried out without an answer.
	loseAnswers int
	// undrainable holds the endpoints that Drain doesn't get empty.
	undrainable map[hswork.EndpointID]bool
	forced      bool
	// delayCommits keeps proposals about machines in uncommitted until commit is called.
	delayCommits bool
	uncommitted  []*hswork.Command
	// listDelay is how long a list takes to arrive. It shows the machines as they were when it was requested.
	listDelay time.Duration
	late      []lateList
}

// lateList is a list that arrives at a later time.
type lateList struct {
	at   time.Time
	list hsmaintenance.MachineList
}

const upkeepDuration = 2 * time.Second

func newFakePlatform(t *testing.T) *fakePlatform {
	p := &fakePlatform{
		t: t, now: time.UnixMilli(1_000_000), state: hswork.NewState(),
		down: map[hswork.MachineID]time.Time{}, upkeepCount: map[hswork.MachineID]int{}, removed: map[hswork.MachineID]bool{},
		orderTerms: map[hswork.MachineID][]hsid.Term{}, undrainable: map[hswork.EndpointID]bool{},
	}
	p.lead(1)
	return p
}

// lead replaces the coordinator by that of a new leader.
func (p *fakePlatform) lead(term hsid.Term) {
	p.coordinator = hsmaintenance.New(hsmaintenance.Config{Holder: "c"}, hsmaintenance.Ports{Clock: p, Log: p, Machines: p, Fleet: p}, p.state, term)
}

func (p *fakePlatform) Now() time.Time       { return p.now }
func (p *fakePlatform) Clock() time.Duration { return p.now.Sub(time.UnixMilli(0)) }

func (p *fakePlatform) ProposeWork(c *hswork.Command) bool {
	if p.delayCommits && c.Upkeep != nil {
		p.uncommitted = append(p.uncommitted, c)
		return true
	}
	p.apply(c)
	return true
}

func (p *fakePlatform) apply(c *hswork.Command) {
	hslifecycle.Apply(p.state, c, 1, p.Clock())
	if c.Upkeep != nil {
		defer p.coordinator.Applied(c.Upkeep)
	}
}

// commit applies the delayed proposals.
func (p *fakePlatform) commit() {
	pending := p.uncommitted
	p.uncommitted = nil
	for _, c := range pending {
		p.apply(c)
	}
}

func (p *fakePlatform) Drain(id hswork.EndpointID, force bool) bool {
	p.forced = p.forced || force
	return !p.undrainable[id]
}

func (p *fakePlatform) List(requestedAt time.Time) {
	var all []hsmaintenance.Machine
	for i := range 4 {
		id := hswork.MachineID(fmt.Sprintf("m%d", i))
		m := hsmaintenance.Machine{ID: id, State: hsmaintenance.Up, Endpoint: hswork.EndpointID("e-" + id)}
		if !p.down[id].IsZero() {
			m.State = "upkeep"
		}
		if !p.removed[id] {
			all = append(all, m)
		}
	}
	p.late = append(p.late, lateList{p.now.Add(p.listDelay), hsmaintenance.MachineList{RequestedAt: requestedAt, Machines: all}})
	p.deliverLists()
}

// deliverLists delivers the lists that have arrived by now.
func (p *fakePlatform) deliverLists() {
	for len(p.late) > 0 && !p.now.Before(p.late[0].at) {
		l := p.late[0].list
		p.late = p.late[1:]
		p.coordinator.HandleMachineList(l)
	}
}

func (p *fakePlatform) Upkeep(o hsmaintenance.Order) {
	p.orderTerms[o.Machine] = append(p.orderTerms[o.Machine], o.FencingToken)
	if p.upkeepCount[o.Machine] == 0 {
		p.upkeepCount[o.Machine]++
		p.down[o.Machine] = p.now
		p.maxDown = max(p.maxDown, len(p.down))
	}
	if p.loseAnswers > 0 {
		p.loseAnswers--
		p.coordinator.HandleOrderResult(o, hsmaintenance.OrderNoAnswer)
		return
	}
	p.coordinator.HandleOrderResult(o, hsmaintenance.OrderDone)
}

// advance moves the clock forward in steps of 100 ms, ends upkeep that is due, and wakes the coordinator at each
// step.
func (p *fakePlatform) advance(d time.Duration) {
	for end := p.now.Add(d); p.now.Before(end); {
		p.now = p.now.Add(100 * time.Millisecond)
		for id, at := range p.down {
			if p.now.Sub(at) >= upkeepDuration {
				delete(p.down, id)
			}
		}
		p.deliverLists()
		p.coordinator.Wake()
	}
}

func (p *fakePlatform) startWave(maxDown int, duration time.Duration, machines ...hswork.MachineID) {
	p.startNextWave(1, maxDown, duration, machines...)
}

func (p *fakePlatform) startNextWave(id hswork.WaveID, maxDown int, duration time.Duration, machines ...hswork.MachineID) {
	w := hswork.Wave{ID: id, Cap: maxDown, Duration: duration}
	for _, m := range machines {
		w.Machines = append(w.Machines, hswork.WaveMachine{ID: m})
	}
	p.ProposeWork(&hswork.Command{Wave: &w})
}

// TestWaves checks that a wave gets as far as expected, with no more machines down at once than its cap.
func TestWaves(t *testing.T) {
	tables := []struct {
		name     string
		limit    int
		run      func(p *fakePlatform)
		done     bool
		machines int
	}{
		{"one at a time", 1, func(p *fakePlatform) { p.advance(30 * time.Second) }, true, 4},
		{"two at a time", 2, func(p *fakePlatform) { p.advance(20 * time.Second) }, true, 4},
		{"orders without an answer", 1, func(p *fakePlatform) { p.loseAnswers = 3; p.advance(40 * time.Second) }, true, 4},
		{"a machine that no longer exists", 1, func(p *fakePlatform) { p.removed["m1"] = true; p.advance(30 * time.Second) }, true, 3},
		{"no upkeep before the endpoint is empty", 1, func(p *fakePlatform) { p.undrainable["e-m0"] = true; p.advance(30 * time.Second) }, false, 0},
		{"a new leader takes over", 1, func(p *fakePlatform) {
			p.advance(6 * time.Second)
			p.loseAnswers = 1
			p.advance(2 * time.Second)
			p.lead(2)
			p.advance(40 * time.Second)
		}, true, 4},
		{"no upkeep before the lease of an earlier leader has expired", 1, func(p *fakePlatform) { p.advance(2900 * time.Millisecond) }, false, 0},
	}
	for _, tt := range tables {
		p := newFakePlatform(t)
		p.startWave(tt.limit, time.Minute, "m0", "m1", "m2", "m3")
		tt.run(p)
		if got := p.state.Wave(1).Done; got != tt.done {
			t.Errorf("%s: got done %v, want %v", tt.name, got, tt.done)
		}
		if got := len(p.upkeepCount); got != tt.machines {
			t.Errorf("%s: got %d machines with upkeep, want %d", tt.name, got, tt.machines)
		}
		if p.maxDown > tt.limit {
			t.Errorf("%s: got %d machines down at once, want at most %d", tt.name, p.maxDown, tt.limit)
		}
	}
}

// TestSlowLists checks that the cap of a wave holds while lists of machines take longer than the time between two requests:
// a list doesn't show what happened after it was requested.
func TestSlowLists(t *testing.T) {
	for _, delay := range []time.Duration{900 * time.Millisecond, 1100 * time.Millisecond, 1900 * time.Millisecond, 2700 * time.Millisecond} {
		p := newFakePlatform(t)
		p.listDelay = delay
		p.startWave(1, 2*time.Minute, "m0", "m1", "m2", "m3")
		p.advance(90 * time.Second)
		if p.maxDown != 1 || len(p.upkeepCount) != 4 || !p.state.Wave(1).Done {
			t.Errorf("lists that take %s: got at most %d machines down at once, %d with upkeep and done %v, want 1, 4 and true", delay, p.maxDown, len(p.upkeepCount), p.state.Wave(1).Done)
		}
	}
}

// TestAddedMachine checks that a wave has the upkeep of a machine that joined after the last list of an earlier wave, which
// would otherwise be taken for one that no longer exists.
func TestAddedMachine(t *testing.T) {
	for _, delay := range []time.Duration{0, 1500 * time.Millisecond} {
		p := newFakePlatform(t)
		p.listDelay = delay
		p.removed["m3"] = true
		p.startWave(1, time.Minute, "m0")
		p.advance(30 * time.Second)
		p.removed["m3"] = false
		p.startNextWave(2, 1, time.Minute, "m3")
		p.advance(30 * time.Second)
		if got := p.upkeepCount["m3"]; got != 1 || !p.state.Wave(2).Done {
			t.Errorf("lists that take %s: got %d upkeeps of the machine and done %v, want 1 and true", delay, got, p.state.Wave(2).Done)
		}
	}
}

// TestResultsOfEarlierLeadership checks that a coordinator ignores what an earlier one of the same process asked for: a list
// without a machine that has joined since, and the refusal of an order whose fence is lower than that of another leader.
func TestResultsOfEarlierLeadership(t *testing.T) {
	p := newFakePlatform(t)
	p.removed["m3"] = true
	p.listDelay = 3500 * time.Millisecond
	p.startWave(1, time.Minute, "m0")
	p.advance(4 * time.Second)
	p.listDelay = 0
	p.removed["m3"] = false
	p.lead(3)
	p.startNextWave(2, 1, time.Minute, "m3")
	p.coordinator.HandleOrderResult(hsmaintenance.Order{Machine: "m0", Wave: 1, FencingToken: 1}, hsmaintenance.OrderFenced)
	p.advance(40 * time.Second)
	if got := p.upkeepCount["m3"]; got != 1 || !p.state.Wave(1).Done || !p.state.Wave(2).Done {
		t.Errorf("got %d upkeeps of the added machine, waves done %v and %v, want 1, true and true", got, p.state.Wave(1).Done, p.state.Wave(2).Done)
	}
}

// TestForceNearDeadline checks that endpoints are drained by force, which loses progress, only when the wave's time
// runs out.
func TestForceNearDeadline(t *testing.T) {
	p := newFakePlatform(t)
	p.undrainable["e-m0"] = true
	p.startWave(1, 20*time.Second, "m0")
	p.advance(10 * time.Second)
	if p.forced {
		t.Errorf("got tasks moved by force after half of the wave's time, want none")
	}
	p.advance(8 * time.Second)
	if !p.forced {
		t.Errorf("got no task moved by force near the end of the wave's time, want it")
	}
}

// TestSlowCommits checks that the cap of a wave holds while it takes longer to commit an order than to take the next step.
func TestSlowCommits(t *testing.T) {
	for _, limit := range []int{1, 2} {
		p := newFakePlatform(t)
		p.startWave(limit, time.Minute, "m0", "m1", "m2", "m3")
		p.delayCommits = true
		for range 60 {
			p.advance(700 * time.Millisecond)
			p.commit()
		}
		if got := p.maxDown; got != limit {
			t.Errorf("cap %d: got %d machines down at once, want %d", limit, got, limit)
		}
		if got := len(p.upkeepCount); got != 4 {
			t.Errorf("cap %d: got %d machines with upkeep, want 4", limit, got)
		}
	}
}
