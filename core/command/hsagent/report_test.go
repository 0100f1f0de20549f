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

// TestReportSize checks that the answers in a report stay within a fraction of what a message holds, and that all are reported
// in turn. Guards against a report above the limit of a message, which is dropped each time it is sent, so that the
// worker counts as silent.
func TestReportSize(t *testing.T) {
	const maxAnswers = 4 * hsid.MiB
	tables := []struct {
		name   string
		tasks  int
		answer hsid.Bytes
		// reports is the number of reports that it takes.
		reports int
	}{
		{"few answers", 8, 1000, 1},
		{"many answers", 64, 256 * hsid.KiB, 8},
		{"large answers", 3, 3 * hsid.MiB, 3},
	}
	for _, tt := range tables {
		fake := &fakePorts{now: time.Unix(10, 0)}
		a := hsagent.New(hsagent.Config{Instance: "w", Incarnation: 1, Controls: []hsstate.Peer{"c"}}, fake, fake, fake)
		a.HandleAnnouncement(hsmessage.Worker{Endpoint: 1, Groups: hsshape.WholeWorker(64)})
		var records []hsagent.Record
		orders := hsmessage.Orders{Incarnation: 1, RunLease: time.Minute}
		for i := range tt.tasks {
			g := hsid.Grant{Job: hsid.JobID(fmt.Sprint(i)), Attempt: 1, Term: 1}
			result := hsagent.Result{Phase: hsmessage.TaskDone, Answer: make([]byte, tt.answer)}
			records = append(records, hsagent.Record{Grant: g, Accelerators: hsshape.Set{hsid.AcceleratorIndex(i)}, Result: result})
			orders.Orders = append(orders.Orders, hsmessage.Order{Grant: g, Phase: hsmessage.OrderRun, Accelerators: hsshape.Set{hsid.AcceleratorIndex(i)}, Size: 1})
		}
		a.HandleTaskList(1, records, true)
		reports := 0
		for ; len(orders.Orders) > 0 && reports <= tt.tasks; reports++ {
			fake.now = fake.now.Add(time.Second)
			a.Wake()
			last := fake.reports[len(fake.reports)-1]
			var size hsid.Bytes
			ended := map[hsid.Grant]bool{}
			for _, x := range last.Tasks {
				size += hsid.Bytes(len(x.Answer))
				ended[x.Grant] = x.Phase.Ended()
				if x.Phase.Ended() != (len(x.Answer) > 0) {
					t.Errorf("%s: got phase %s with an answer of %d bytes", tt.name, x.Phase, len(x.Answer))
				}
			}
			if size > maxAnswers || len(last.Tasks) != len(orders.Orders) {
				t.Fatalf("%s: got a report of %d tasks with answers of %d bytes, want %d tasks and at most %d bytes", tt.name, len(last.Tasks), size, len(orders.Orders), maxAnswers)
			}
			var rest []hsmessage.Order
			for _, o := range orders.Orders {
				if !ended[o.Grant] {
					rest = append(rest, o)
				}
			}
			orders.Orders = rest
			orders.Serial++
			orders.Lease = hsmessage.Lease{Term: 1, Sequence: last.Sequence, Duration: time.Minute, Number: 1, Rules: &hsstate.RuleSet{Number: 1}}
			a.Receive("c", orders)
		}
		if reports != tt.reports {
			t.Errorf("%s: got all answers after %d reports, want %d", tt.name, reports, tt.reports)
		}
	}
}
