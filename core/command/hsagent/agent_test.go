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

// fakePorts implements the clock, sender and platform of an agent. It records reports and calls.
type fakePorts struct {
	now     time.Time
	reports []hsmessage.AgentReport
	calls   []string
}

// Now returns the time that the test has set.
func (p *fakePorts) Now() time.Time { return p.now }

// Send records a report.
func (p *fakePorts) Send(_ hsstate.Peer, m hsmessage.Message) {
	p.reports = append(p.reports, m.(hsmessage.AgentReport))
}

// List records the call.
func (p *fakePorts) List(hsid.Incarnation, hsid.Incarnation) { p.calls = append(p.calls, "list") }

// Run records the call.
func (p *fakePorts) Run(hsid.Incarnation, hsid.Incarnation, hsagent.Start) {
	p.calls = append(p.calls, "run")
}

// Watch records the call.
func (p *fakePorts) Watch(hsid.Incarnation, hsid.Grant) { p.calls = append(p.calls, "watch") }

// Renew does nothing.
func (p *fakePorts) Renew(hsid.Incarnation, time.Duration) {}

// Stop records the call.
func (p *fakePorts) Stop(hsid.Incarnation, hsid.Grant) { p.calls = append(p.calls, "stop") }

// Forget records the call.
func (p *fakePorts) Forget(hsid.Incarnation, hsid.Grant) { p.calls = append(p.calls, "forget") }

// TestOrders applies orders and other events to an agent, and compares the calls to the platform and the phase that
// the agent reports in the end.
func TestOrders(t *testing.T) {
	g := hsid.Grant{Job: "j", Attempt: 1, Term: 1}
	tables := []struct {
		name   string
		events []string
		once   bool
		calls  string
		phase  hsmessage.TaskPhase
	}{
		{"hold and run", []string{"listed", "hold", "run"}, false, "[list run]", hsmessage.TaskRunning},
		{"run without a hold", []string{"listed", "run"}, false, "[list]", hsmessage.TaskRefused},
		{"run before the platform has listed its tasks", []string{"run"}, false, "[list]", ""},
		{"run of an earlier incarnation is adopted", []string{"run", "adopt"}, false, "[list watch]", hsmessage.TaskRunning},
		{"hold before the platform has listed its tasks", []string{"hold"}, false, "[list]", hsmessage.TaskRefused},
		{"duplicate run", []string{"listed", "hold", "run", "run"}, false, "[list run]", hsmessage.TaskRunning},
		{"stop before run", []string{"listed", "hold", "stop", "run"}, false, "[list]", hsmessage.TaskStopped},
		{"stop", []string{"listed", "hold", "run", "stop", "stop"}, false, "[list run stop]", hsmessage.TaskRunning},
		{"dropped hold", []string{"listed", "hold", "none"}, false, "[list]", ""},
		{"dropped run is stopped", []string{"listed", "hold", "run", "none"}, false, "[list run stop]", hsmessage.TaskRunning},
		{"late orders are ignored", []string{"listed", "hold", "run", "late"}, false, "[list run]", hsmessage.TaskRunning},
		{"orders for another incarnation are ignored", []string{"listed", "other"}, false, "[list]", ""},
		{"leaving endpoint", []string{"listed", "leave", "hold"}, false, "[list]", hsmessage.TaskRefused},
		{"endpoint replaced", []string{"listed", "hold", "run", "replace"}, false, "[list run list]", hsmessage.TaskLost},
		{"late announcement of the replaced endpoint", []string{"listed", "replace", "listed again", "hold", "run", "late announcement"}, false, "[list list run]", hsmessage.TaskRunning},
		{"hold without contact", []string{"listed", "hold", "silence"}, false, "[list]", ""},
		{"run without contact", []string{"listed", "hold", "run", "silence"}, false, "[list run stop]", hsmessage.TaskRunning},
		{"run of a once-only job without contact", []string{"listed", "hold", "run", "silence"}, true, "[list run]", hsmessage.TaskRunning},
	}
	for _, tt := range tables {
		fake := &fakePorts{now: time.Unix(10, 0)}
		a := hsagent.New(hsagent.Config{Instance: "w", Incarnation: 1, Controls: []hsstate.Peer{"c"}}, fake, fake, fake)
		worker := hsmessage.Worker{Endpoint: 1, Groups: hsshape.WholeWorker(8)}
		a.HandleAnnouncement(worker)
		serial := hsid.Sequence(10)
		sendOrders := func(incarnation hsid.Incarnation, serial hsid.Sequence, phases ...hsmessage.OrderPhase) {
			last := fake.reports[len(fake.reports)-1]
			orders := hsmessage.Orders{Incarnation: incarnation, Serial: serial, RunLease: 2 * time.Second}
			orders.Lease = hsmessage.Lease{Term: 1, Sequence: last.Sequence, Duration: time.Second, Number: 1, Rules: &hsstate.RuleSet{Number: 1}}
			for _, phase := range phases {
				orders.Orders = append(orders.Orders, hsmessage.Order{Grant: g, Phase: phase, Accelerators: hsshape.Set{0}, Once: tt.once, Size: 1, Spec: &hsstate.Spec{}})
			}
			a.Receive("c", orders)
		}
		sendOrders(1, 1)
		for _, event := range tt.events {
			serial++
			switch event {
			case "listed":
				a.HandleTaskList(1, nil, true)
			case "adopt":
				a.HandleTaskList(1, []hsagent.Record{{Grant: g, Accelerators: hsshape.Set{0}, Running: true}}, true)
			case "none":
				sendOrders(1, serial)
			case "late":
				sendOrders(1, 2)
			case "other":
				sendOrders(2, serial, hsmessage.OrderHold)
			case "leave":
				worker.Leaving = true
				a.HandleAnnouncement(worker)
			case "replace":
				worker.Endpoint = 2
				a.HandleAnnouncement(worker)
			case "listed again":
				a.HandleTaskList(2, nil, true)
			case "late announcement":
				late := worker
				late.Endpoint = 1
				a.HandleAnnouncement(late)
			case "silence":
				fake.now = fake.now.Add(4 * time.Second)
				a.Wake()
				if next := a.NextWake(); !next.After(fake.now) {
					t.Errorf("%s: got the next wake at %s, want one after %s", tt.name, next, fake.now)
				}
			default:
				sendOrders(1, serial, hsmessage.OrderPhase(event))
			}
			a.Wake()
		}
		phase := hsmessage.TaskPhase("")
		if tasks := a.Tasks(); len(tasks) > 0 {
			phase = tasks[0].Phase
		}
		if got := fmt.Sprint(fake.calls); got != tt.calls || phase != tt.phase {
			t.Errorf("%s: got %s and %q, want %s and %q", tt.name, got, phase, tt.calls, tt.phase)
		}
	}
}
