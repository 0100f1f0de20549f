package main

import (
	"context"
	"flag"
	"fmt"

	"github.com/peterbourgon/ff/v3/ffcli"

	"hyssopseam/core/hsid"
	"hyssopseam/core/hsmessage"
	"hyssopseam/core/hsshape"
	"hyssopseam/core/hsstate"
	"hyssopseam/io/hscodec"
)

func sizesCommand() *ffcli.Command {
	return &ffcli.Command{
		Name: "sizes", ShortUsage: "hyssopseam-measure sizes", ShortHelp: "print the encoded sizes of messages and of the state",
		FlagSet: flag.NewFlagSet("sizes", flag.ContinueOnError),
		Exec: func(context.Context, []string) error {
			for _, n := range []int{0, 1, 10} {
				report, orders := agentMessages(n)
				fmt.Printf("%d tasks: report %d bytes, orders %d bytes\n", n, encodedSize(report), encodedSize(orders))
			}
			for _, n := range []int{0, 100, 1000, 10000} {
				fmt.Printf("%d finished jobs: state %d bytes\n", n, len(hscodec.State{}.EncodeState(finishedJobs(n))))
			}
			return nil
		},
	}
}

func encodedSize(m hsmessage.Message) int {
	data, err := hscodec.EncodeMessage(m)
	if err != nil {
		return -1
	}
	return len(data)
}

// agentMessages returns a report with a number of running tasks, and the orders that answer it.
func agentMessages(tasks int) (hsmessage.AgentReport, hsmessage.Orders) {
	r := hsmessage.AgentReport{
		Renewal:    hsmessage.Renewal{Instance: "worker-123", Incarnation: 1 << 60, Role: hsmessage.RoleAgent, Sequence: 1 << 20, Rules: 1000},
		Worker:     hsmessage.Worker{Instance: "worker-123", Zone: "zone-1", Rack: "rack-12", Endpoint: 1 << 30, Groups: hsshape.WholeWorker(8), Cores: 30000, Memory: 128 * hsid.GiB, Slots: 8},
		TasksKnown: true,
		Term:       12,
		Serial:     1 << 20,
	}
	o := hsmessage.Orders{
		Lease:       hsmessage.Lease{Role: hsmessage.RoleAgent, Term: 12, Sequence: 1 << 20, Duration: 1 << 31, Number: 1000},
		Incarnation: 1 << 60,
		Serial:      1 << 20,
		RunLease:    1 << 36,
	}
	for i := range tasks {
		g := hsid.Grant{Job: hsid.JobID(fmt.Sprintf("team-12-%024d", i)), Attempt: 1, Term: 12}
		set := hsshape.Set{hsid.AcceleratorIndex(i)}
		r.Tasks = append(r.Tasks, hsmessage.Task{Grant: g, Accelerators: set, Phase: hsmessage.TaskRunning, Ran: true})
		o.Orders = append(o.Orders, hsmessage.Order{Grant: g, Phase: hsmessage.OrderRun, Accelerators: set, Size: 64})
	}
	return r, o
}

// finishedJobs returns a state that holds a number of finished jobs with short answers.
func finishedJobs(n int) *hsstate.State {
	s := hsstate.New()
	for i := range n {
		id := hsid.JobID(fmt.Sprintf("team-12-%024d", i))
		s.Jobs[id] = &hsstate.Job{
			ID:        id,
			Spec:      hsstate.Spec{Workspace: "team-12", Kind: "train", Shape: hsshape.Shape{PerWorker: 8, Workers: 1}, Key: "key"},
			Sum:       fmt.Sprintf("%064d", i),
			Phase:     hsstate.Finished,
			Outcome:   hsstate.Answered,
			Members:   []hsstate.Placement{{Worker: "worker-123", Incarnation: 1 << 60, Endpoint: 1 << 30, Accelerators: hsshape.WholeWorker(8)[0]}},
			Answer:    make([]byte, 100),
			AnswerSum: fmt.Sprintf("%064d", i),
		}
		s.Finished = append(s.Finished, id)
	}
	return s
}
