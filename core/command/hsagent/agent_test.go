package hsagent_test

import (
	"fmt"
	"testing"
	"time"

	"hyssopseam/core/command/hsagent"
	"hyssopseam/core/hsid"
	"hyssopseam/core/hsmessage"
	"hyssopseam/core/hsshape"
	"hyssopseam/core/hsstate"
)

// outside is the clock, network and platform of an agent.
type outside struct {
	now     time.Time
	reports []hsmessage.Report
	calls   []string
}

// Now returns the time that was set.
func (o *outside) Now() time.Time { return o.now }

// Send takes a report.
func (o *outside) Send(_ hsstate.Peer, m hsmessage.Message) {
	o.reports = append(o.reports, m.(hsmessage.Report))
}

// List notes the call.
func (o *outside) List(hsid.Incarnation, hsid.Incarnation) { o.calls = append(o.calls, "list") }

// Run notes the call.
func (o *outside) Run(hsid.Incarnation, hsid.Incarnation, hsagent.Start) {
	o.calls = append(o.calls, "run")
}

// Watch notes the call.
func (o *outside) Watch(hsid.Incarnation, hsid.Grant) { o.calls = append(o.calls, "watch") }

// Renew does nothing.
func (o *outside) Renew(hsid.Incarnation, time.Duration) {}

// Stop notes the call.
func (o *outside) Stop(hsid.Incarnation, hsid.Grant) { o.calls = append(o.calls, "stop") }

// Forget notes the call.
func (o *outside) Forget(hsid.Incarnation, hsid.Grant) { o.calls = append(o.calls, "forget") }

// TestOrders plays orders and other events, half a second apart unless waited, and compares the platform's
// calls and the phase that the agent reports last.
func TestOrders(t *testing.T) {
	g := hsid.Grant{Job: "j", Attempt: 1, Term: 1}
	tables := []struct {
		name  string
		acts  []string
		once  bool
		calls string
		phase hsmessage.TaskPhase
	}{
		{"hold and run", []string{"listed", "hold", "run"}, false, "[list run]", hsmessage.TaskRunning},
		{"run without a hold", []string{"listed", "run"}, false, "[list]", hsmessage.TaskRefused},
		{"run before the tasks are listed", []string{"run"}, false, "[list]", ""},
		{"run of an earlier life is adopted", []string{"run", "adopt"}, false, "[list watch]", hsmessage.TaskRunning},
		{"hold before the tasks are listed", []string{"hold"}, false, "[list]", hsmessage.TaskRefused},
		{"doubled run", []string{"listed", "hold", "run", "run"}, false, "[list run]", hsmessage.TaskRunning},
		{"stop before run", []string{"listed", "hold", "stop", "run"}, false, "[list]", hsmessage.TaskStopped},
		{"stop", []string{"listed", "hold", "run", "stop", "stop"}, false, "[list run stop]", hsmessage.TaskRunning},
		{"dropped hold", []string{"listed", "hold", "none"}, false, "[list]", ""},
		{"dropped run is stopped", []string{"listed", "hold", "run", "none"}, false, "[list run stop]", hsmessage.TaskRunning},
		{"late orders change nothing", []string{"listed", "hold", "run", "late"}, false, "[list run]", hsmessage.TaskRunning},
		{"orders for another life change nothing", []string{"listed", "other"}, false, "[list]", ""},
		{"leaving endpoint", []string{"listed", "leave", "hold"}, false, "[list]", hsmessage.TaskRefused},
		{"endpoint replaced", []string{"listed", "hold", "run", "replace"}, false, "[list run list]", hsmessage.TaskLost},
		{"hold without contact", []string{"listed", "hold", "silence"}, false, "[list]", ""},
		{"run without contact", []string{"listed", "hold", "run", "silence"}, false, "[list run stop]", hsmessage.TaskRunning},
		{"run once without contact", []string{"listed", "hold", "run", "silence"}, true, "[list run]", hsmessage.TaskRunning},
	}
	for _, tt := range tables {
		o := &outside{now: time.Unix(10, 0)}
		a := hsagent.New(hsagent.Config{Instance: "w", Incarnation: 1, Controls: []hsstate.Peer{"c"}}, o, o, o)
		worker := hsmessage.Worker{Endpoint: 1, Groups: hsshape.WholeWorker(8)}
		a.Announce(worker)
		serial := hsid.Sequence(10)
		order := func(incarnation hsid.Incarnation, serial hsid.Sequence, phases ...hsmessage.OrderPhase) {
			last := o.reports[len(o.reports)-1]
			m := hsmessage.Orders{Incarnation: incarnation, Serial: serial, RunFor: 2 * time.Second}
			m.Lease = hsmessage.Lease{Term: 1, Sequence: last.Sequence, For: time.Second, Number: 1, Rules: &hsstate.RuleSet{Number: 1}}
			for _, p := range phases {
				m.Orders = append(m.Orders, hsmessage.Order{Grant: g, Phase: p, Accelerators: hsshape.Set{0}, Once: tt.once, Size: 1, Spec: &hsstate.Spec{}})
			}
			a.Receive("c", m)
		}
		order(1, 1)
		for _, act := range tt.acts {
			serial++
			switch act {
			case "listed":
				a.Listed(1, nil, true)
			case "adopt":
				a.Listed(1, []hsagent.Record{{Grant: g, Accelerators: hsshape.Set{0}, Running: true}}, true)
			case "none":
				order(1, serial)
			case "late":
				order(1, 2)
			case "other":
				order(2, serial, hsmessage.OrderHold)
			case "leave":
				worker.Leaving = true
				a.Announce(worker)
			case "replace":
				worker.Endpoint = 2
				a.Announce(worker)
			case "silence":
				o.now = o.now.Add(4 * time.Second)
				a.Wake()
				if next := a.NextWake(); !next.After(o.now) {
					t.Errorf("%s: got the next wake at %s, want one after %s", tt.name, next, o.now)
				}
			default:
				order(1, serial, hsmessage.OrderPhase(act))
			}
			a.Wake()
		}
		phase := hsmessage.TaskPhase("")
		if tasks := a.Tasks(); len(tasks) > 0 {
			phase = tasks[0].Phase
		}
		if got := fmt.Sprint(o.calls); got != tt.calls || phase != tt.phase {
			t.Errorf("%s: got %s and %q, want %s and %q", tt.name, got, phase, tt.calls, tt.phase)
		}
	}
}
