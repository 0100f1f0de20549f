package hsupkeep_test

import (
	"fmt"
	"testing"
	"time"

	"hyssopseam/core/command/hsflow"
	"hyssopseam/core/command/hsupkeep"
	"hyssopseam/core/hsid"
	"hyssopseam/core/hswork"
)

// platform is a fake of the platform's machines, and of the log and the fleet.
type platform struct {
	t       *testing.T
	now     time.Time
	state   *hswork.State
	keeper  *hsupkeep.Keeper
	down    map[hswork.MachineID]time.Time
	had     map[hswork.MachineID]int
	removed map[hswork.MachineID]bool
	holders map[hswork.MachineID][]hsid.Term
	most    int
	// lose has that many orders carried out without an answer.
	lose int
	// keeps are the endpoints from which not everything can be moved.
	keeps  map[hswork.EndpointID]bool
	forced bool
}

const upkeepTakes = 2 * time.Second

func newPlatform(t *testing.T) *platform {
	p := &platform{
		t: t, now: time.UnixMilli(1_000_000), state: hswork.NewState(),
		down: map[hswork.MachineID]time.Time{}, had: map[hswork.MachineID]int{}, removed: map[hswork.MachineID]bool{},
		holders: map[hswork.MachineID][]hsid.Term{}, keeps: map[hswork.EndpointID]bool{},
	}
	p.lead(1)
	return p
}

func (p *platform) lead(term hsid.Term) {
	p.keeper = hsupkeep.New(hsupkeep.Config{Holder: "c"}, hsupkeep.Ports{Clock: p, Log: p, Machines: p, Fleet: p}, p.state, term)
}

func (p *platform) Now() time.Time       { return p.now }
func (p *platform) Clock() time.Duration { return p.now.Sub(time.UnixMilli(0)) }

func (p *platform) ProposeWork(c *hswork.Command) bool {
	hsflow.Apply(p.state, c, 1, p.Clock())
	if c.Upkeep != nil {
		defer p.keeper.Applied(c.Upkeep)
	}
	return true
}

func (p *platform) Vacate(id hswork.EndpointID, force bool) bool {
	p.forced = p.forced || force
	return !p.keeps[id]
}

func (p *platform) List() {
	var all []hsupkeep.Machine
	for i := range 4 {
		id := hswork.MachineID(fmt.Sprintf("m%d", i))
		m := hsupkeep.Machine{ID: id, State: hsupkeep.Up, Endpoint: hswork.EndpointID("e-" + id)}
		if !p.down[id].IsZero() {
			m.State = "upkeep"
		}
		if !p.removed[id] {
			all = append(all, m)
		}
	}
	p.keeper.Listed(all)
}

func (p *platform) Upkeep(o hsupkeep.Order) {
	p.holders[o.Machine] = append(p.holders[o.Machine], o.Fence)
	if p.had[o.Machine] == 0 {
		p.had[o.Machine]++
		p.down[o.Machine] = p.now
		p.most = max(p.most, len(p.down))
	}
	if p.lose > 0 {
		p.lose--
		p.keeper.Ordered(o, hsupkeep.OrderNoAnswer)
		return
	}
	p.keeper.Ordered(o, hsupkeep.OrderDone)
}

// run lets time pass.
func (p *platform) run(d time.Duration) {
	for end := p.now.Add(d); p.now.Before(end); {
		p.now = p.now.Add(100 * time.Millisecond)
		for id, at := range p.down {
			if p.now.Sub(at) >= upkeepTakes {
				delete(p.down, id)
			}
		}
		p.keeper.Wake()
	}
}

func (p *platform) wave(most int, duration time.Duration, machines ...hswork.MachineID) {
	w := hswork.Wave{ID: 1, Cap: most, Duration: duration}
	for _, m := range machines {
		w.Machines = append(w.Machines, hswork.WaveMachine{ID: m})
	}
	p.ProposeWork(&hswork.Command{Wave: &w})
}

func TestWaves(t *testing.T) {
	tables := []struct {
		name string
		most int
		play func(p *platform)
		done bool
		had  int
	}{
		{"one at a time", 1, func(p *platform) { p.run(30 * time.Second) }, true, 4},
		{"two at a time", 2, func(p *platform) { p.run(20 * time.Second) }, true, 4},
		{"orders without an answer", 1, func(p *platform) { p.lose = 3; p.run(40 * time.Second) }, true, 4},
		{"a machine that is gone", 1, func(p *platform) { p.removed["m1"] = true; p.run(30 * time.Second) }, true, 3},
		{"not before tasks are moved", 1, func(p *platform) { p.keeps["e-m0"] = true; p.run(30 * time.Second) }, false, 0},
		{"a leader that takes over", 1, func(p *platform) {
			p.run(6 * time.Second)
			p.lose = 1
			p.run(2 * time.Second)
			p.lead(2)
			p.run(40 * time.Second)
		}, true, 4},
		{"nothing before the lease of an earlier leader is over", 1, func(p *platform) { p.run(2900 * time.Millisecond) }, false, 0},
	}
	for _, tt := range tables {
		p := newPlatform(t)
		p.wave(tt.most, time.Minute, "m0", "m1", "m2", "m3")
		tt.play(p)
		if got := p.state.Wave(1).Done; got != tt.done {
			t.Errorf("%s: got done %v, want %v", tt.name, got, tt.done)
		}
		if got := len(p.had); got != tt.had {
			t.Errorf("%s: got %d machines with upkeep, want %d", tt.name, got, tt.had)
		}
		if p.most > tt.most {
			t.Errorf("%s: got %d machines down at once, want at most %d", tt.name, p.most, tt.most)
		}
	}
}

// TestPressed checks that work is given up for a wave only when its time runs out.
func TestPressed(t *testing.T) {
	p := newPlatform(t)
	p.keeps["e-m0"] = true
	p.wave(1, 20*time.Second, "m0")
	p.run(10 * time.Second)
	if p.forced {
		t.Errorf("got force after half of the time, want none")
	}
	p.run(8 * time.Second)
	if !p.forced {
		t.Errorf("got no force near the end, want it")
	}
}
