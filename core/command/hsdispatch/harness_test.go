package hsdispatch_test

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"hyssopseam/core/command/hsdispatch"
	"hyssopseam/core/command/hsflow"
	"hyssopseam/core/hsid"
	"hyssopseam/core/hsmessage"
	"hyssopseam/core/hsstate"
	"hyssopseam/core/hswork"
)

// bed holds a dispatcher with a log that commits when it is told to.
type bed struct {
	t          *testing.T
	now        time.Time
	state      *hswork.State
	index      hsid.LogIndex
	dispatcher *hsdispatch.Dispatcher
	proposed   []*hswork.Command
	plans      map[hsid.InstanceID]hsmessage.Plan
	tallies    map[hsid.InstanceID]*hsmessage.Tally
	// adviser is what the next leadership asks; nil for nobody.
	adviser hsdispatch.Adviser
}

func (b *bed) Now() time.Time { return b.now }

func (b *bed) Send(to hsstate.Peer, m hsmessage.Message) {
	if p, ok := m.(hsmessage.Plan); ok {
		b.plans[hsid.InstanceID(to)] = p
	}
}

func (b *bed) ProposeWork(c *hswork.Command) bool {
	b.proposed = append(b.proposed, c)
	return true
}

func (b *bed) Clock() time.Duration { return b.now.Sub(time.UnixMilli(0)) }

func (b *bed) Placed(*hswork.Start, time.Duration)                     {}
func (b *bed) RunEnded(*hswork.End, hsid.InstanceID)                   {}
func (b *bed) Preempted(hswork.RunID, hsid.InstanceID, hswork.ID)      {}
func (b *bed) Stalled(hswork.RunID, hsid.InstanceID)                   {}
func (b *bed) Moved(hswork.RunID, hsid.InstanceID)                     {}
func (b *bed) WorkerChanged(hsid.InstanceID, hsmessage.Endpoint, bool) {}

const (
	lease = 8 * time.Second
	// passEvery is at least the time between two passes while nothing happens.
	passEvery = 100 * time.Millisecond
)

// keepAlive sends a tally as it stands, without a flush.
func (b *bed) keepAlive(t *hsmessage.Tally) {
	t.Sequence++
	b.dispatcher.Receive(hsstate.Peer(t.Instance), *t)
}

func newBed(t *testing.T) *bed {
	b := &bed{
		t:       t,
		now:     time.UnixMilli(1_000_000),
		state:   hswork.NewState(),
		plans:   map[hsid.InstanceID]hsmessage.Plan{},
		tallies: map[hsid.InstanceID]*hsmessage.Tally{},
	}
	b.state.Catalog = hswork.Catalog{
		Version:    1,
		Pools:      []hswork.Pool{{Name: "pool"}},
		Workspaces: []hswork.Workspace{{Name: "w1", Guaranteed: 8}, {Name: "w2"}},
	}
	b.lead(1)
	return b
}

// lead begins a leadership of a later term.
func (b *bed) lead(term hsid.Term) {
	c := hsdispatch.Config{Lease: lease, StopTimeout: 400 * time.Millisecond}
	b.proposed = nil
	b.dispatcher = hsdispatch.New(c, hsdispatch.Ports{Clock: b, Sender: b, Log: b, Observer: b, Adviser: b.adviser}, b.state, term)
}

// worker announces a worker on a rack with 32 cores, 128 GiB and 8 accelerators.
func (b *bed) worker(id string, rack string) *hsmessage.Tally {
	t := &hsmessage.Tally{
		Instance:    hsid.InstanceID(id),
		Incarnation: 7,
		Endpoint: hsmessage.Endpoint{
			ID: hswork.EndpointID("e-" + id), Life: 1, Pool: "pool", Labels: []hswork.Label{"a", hswork.Label(rack)}, Rack: hswork.Label(rack),
			Capacity: hswork.Resources{Cores: 32000, Memory: 128 * hsid.GiB, Accelerators: 8},
		},
		Listed:  true,
		Healthy: true,
	}
	b.tallies[t.Instance] = t
	b.report(id)
	return t
}

// report sends the tally of a worker as it stands.
func (b *bed) report(id string) {
	t := b.tallies[hsid.InstanceID(id)]
	t.Sequence++
	b.dispatcher.Receive(hsstate.Peer(id), *t)
	b.dispatcher.Flush()
}

func (b *bed) reportAll() {
	for _, id := range b.workers() {
		b.report(id)
	}
}

func (b *bed) workers() []string {
	var ids []string
	for id := range b.tallies {
		ids = append(ids, string(id))
	}
	slices.Sort(ids)
	return ids
}

// commit applies everything that was proposed, and what is proposed because of it.
func (b *bed) commit() {
	for len(b.proposed) > 0 {
		c := b.proposed[0]
		b.proposed = b.proposed[1:]
		b.apply(c)
		b.dispatcher.Flush()
	}
}

func (b *bed) apply(c *hswork.Command) {
	b.index++
	hsflow.Apply(b.state, c, b.index, b.Clock())
	b.dispatcher.Applied(c)
}

// settle lets time pass in small steps, with all workers reporting and everything committed.
func (b *bed) settle(d time.Duration) {
	for end := b.now.Add(d); b.now.Before(end); {
		b.now = b.now.Add(100 * time.Millisecond)
		b.reportAll()
		b.dispatcher.Wake()
		b.dispatcher.Flush()
		b.commit()
	}
}

// work lets time pass while everything that runs makes progress, one percent a second.
func (b *bed) work(d time.Duration) {
	for range int(d / time.Second) {
		b.settle(time.Second)
		for _, t := range b.tallies {
			for i := range t.Running {
				t.Running[i].Percent++
			}
		}
	}
}

func id(n int) hswork.ID { return hswork.ID(fmt.Sprintf("%016x", n)) }

// submit accepts a job of one step.
func (b *bed) submit(n, priority int, workspace hsid.WorkspaceID, steps ...hswork.Step) hswork.ID {
	s := hswork.Submission{ID: id(n), Spec: "spec", Steps: steps}
	b.apply(&hswork.Command{Submit: &hswork.Submit{
		Submission: s, Queue: "queue", Pool: "pool", Workspace: workspace, Priority: priority, Attempts: 2, Stretch: 3,
	}})
	b.dispatcher.Flush()
	b.commit()
	return s.ID
}

// begin has a worker list everything that its plan names, and drop what the plan stops.
func (b *bed) begin(id string) {
	t := b.tallies[hsid.InstanceID(id)]
	p := b.plans[t.Instance]
	for _, r := range p.Runs {
		if !slices.ContainsFunc(t.Running, func(x hsmessage.RunningTask) bool { return x.Run == r.Run }) {
			t.Running = append(t.Running, hsmessage.RunningTask{Run: r.Run})
		}
	}
	for _, run := range p.Stops {
		b.end(id, run, hswork.EndStopped, "saved")
	}
	b.report(id)
}

func (b *bed) beginAll() {
	for _, id := range b.workers() {
		b.begin(id)
	}
	b.commit()
}

// end has a worker list the end of a run.
func (b *bed) end(id string, run hswork.RunID, how hswork.How, saved hswork.Checkpoint) {
	t := b.tallies[hsid.InstanceID(id)]
	before := len(t.Running)
	t.Running = slices.DeleteFunc(t.Running, func(x hsmessage.RunningTask) bool { return x.Run == run })
	if len(t.Running) == before {
		return
	}
	number := hswork.EndNumber(len(t.Ended) + 1)
	t.Ended = append(t.Ended, hsmessage.EndedTask{Number: number, Run: run, How: how, Checkpoint: saved})
}

// places returns where the tasks of a job are placed, as "worker/run".
func (b *bed) places(id hswork.ID) []string {
	var all []string
	b.state.Jobs[id].EachPlace(func(_ hswork.TaskID, _ *hswork.Task, p hswork.Place) {
		all = append(all, fmt.Sprintf("%s/%d", p.Worker, p.Number))
	})
	slices.Sort(all)
	return all
}

func task(work hswork.ID, index int) hswork.TaskID { return hswork.TaskID{Work: work, Index: index} }

func (b *bed) want(what string, got, want any) {
	b.t.Helper()
	if fmt.Sprint(got) != fmt.Sprint(want) {
		b.t.Errorf("%s: got %v, want %v", what, got, want)
	}
}
