package hscontrol

import (
	"fmt"
	"testing"
	"time"

	"hyssopseam/core/command/hsplacement"
	"hyssopseam/core/command/hsquorum"
	"hyssopseam/core/hsid"
	"hyssopseam/core/hsmessage"
	"hyssopseam/core/hsshape"
	"hyssopseam/core/hssource"
	"hyssopseam/core/hsstate"
	"hyssopseam/core/hsview"
	"hyssopseam/io/hscodec"
)

// rig is one leading replica whose saves end at once and whose messages go nowhere.
type rig struct {
	now     time.Time
	control *Control
	saves   []hsid.Sequence
	sent    int
}

// Now returns the rig's time.
func (r *rig) Now() time.Time { return r.now }

// Int64N returns zero.
func (r *rig) Int64N(int64) int64 { return 0 }

// Send counts the message.
func (r *rig) Send(hsstate.Peer, hsmessage.Message) { r.sent++ }

// Save notes the save.
func (r *rig) Save(s hsquorum.Save) { r.saves = append(r.saves, s.Number) }

// Read reports nothing.
func (r *rig) Read(*hssource.Source, hsmessage.Query) (*hsview.View, bool) { return nil, false }

// Led does nothing.
func (r *rig) Led(bool) {}

// Accepted does nothing.
func (r *rig) Accepted(*hsstate.Job) {}

// Refused does nothing.
func (r *rig) Refused(string) {}

// Started does nothing.
func (r *rig) Started(*hsstate.Job, time.Duration) {}

// Ended does nothing.
func (r *rig) Ended(*hsstate.Job) {}

// Requeued does nothing.
func (r *rig) Requeued(*hsstate.Job) {}

// settle flushes and ends all saves.
func (r *rig) settle() {
	r.control.Flush()
	for len(r.saves) > 0 {
		n := r.saves[0]
		r.saves = r.saves[1:]
		r.control.Synced(n)
		r.control.Flush()
	}
}

// newRig returns a leader with workers in racks of 70, rules with a guarantee for each of 25 teams, and
// tasks on seven of eight accelerators: single tasks, and gangs of 64 workers.
func newRig(b *testing.B, workers int) *rig {
	b.Helper()
	r := &rig{now: time.Unix(1000, 0)}
	members := []hsstate.Member{{ID: 1, Instance: "c", Address: "c", Voter: true}}
	stored := hsquorum.Stored{Hard: hsquorum.HardState{Term: 1}, Entries: []hsstate.Entry{{Index: 1, Term: 1, Command: hsstate.Command{Members: &hsstate.SetMembers{Cluster: "x", Members: members}}}}}
	config := Config{Weights: hsplacement.Weights{Completion: 1, Fragmentation: 1}}
	config.Quorum.ID = 1
	config.Quorum.Address = "c"
	config.Quorum.SnapshotEvery = 1 << 30
	var err error
	if r.control, err = New(config, Ports{Clock: r, Random: r, Sender: r, Storage: r, Codec: hscodec.State{}, Reader: r, Observer: r}, stored); err != nil {
		b.Fatal(err)
	}
	r.now = r.now.Add(time.Second)
	r.control.Wake()
	r.settle()
	if !r.control.Leading() {
		b.Fatal("got no leader")
	}
	rules := hsstate.RuleSet{Number: 1}
	for i := range 25 {
		w := hsid.WorkspaceID(fmt.Sprintf("team-%02d", i))
		rules.Guarantees = append(rules.Guarantees, hsstate.Guarantee{Workspace: w, Shape: hsshape.Shape{PerWorker: 8, Workers: 2}, Within: 1400 * time.Millisecond})
		rules.Quotas = append(rules.Quotas, hsstate.Quota{Workspace: w, Accelerators: 2000})
	}
	r.propose(b, hsstate.Command{Rules: &hsstate.PushRules{Set: rules, Sum: "s"}})
	for i := range workers {
		r.control.Receive(hsstate.Peer(worker(i)), report(i, 1))
	}
	r.fill(b, workers)
	r.now = r.now.Add(3 * time.Second)
	r.control.Wake()
	r.settle()
	return r
}

func worker(i int) hsid.InstanceID { return hsid.InstanceID(fmt.Sprintf("w%03d", i)) }

func report(i int, sequence hsid.Sequence) hsmessage.Report {
	m := hsmessage.Report{Listed: true}
	m.Instance = worker(i)
	m.Role = hsmessage.RoleAgent
	m.Incarnation = 1
	m.Sequence = sequence
	m.Rules = 1
	m.Worker = hsmessage.Worker{Rack: hsid.RackID(fmt.Sprint(i / 70)), Endpoint: 1, Groups: hsshape.WholeWorker(16), Cores: 30000, Memory: 128 * hsid.GiB}
	return m
}

// propose commits a command.
func (r *rig) propose(b *testing.B, c hsstate.Command) {
	b.Helper()
	if _, ok := r.control.propose(c); !ok {
		b.Fatal("got no proposal")
	}
	r.settle()
}

// fill starts tasks: on each worker four of one gang, and single ones.
func (r *rig) fill(b *testing.B, workers int) {
	b.Helper()
	for from := 0; from < workers; from += 64 {
		r.run(b, fmt.Sprintf("gang-%d", from), from, min(64, workers-from), hsshape.Set{0, 1, 2, 3})
	}
	for i := range workers {
		for x := range 9 {
			r.run(b, fmt.Sprintf("single-%d-%d", i, x), i, 1, hsshape.Set{hsid.AcceleratorIndex(4 + x)})
		}
	}
}

func (r *rig) run(b *testing.B, name string, from, workers int, set hsshape.Set) {
	b.Helper()
	id := hsid.JobID(name)
	spec := hsstate.Spec{Workspace: hsid.WorkspaceID(fmt.Sprintf("team-%02d", len(r.control.state.Jobs)%25)), Kind: "train", Class: hsstate.Normal}
	spec.Shape = hsshape.Shape{PerWorker: set.Count(), Workers: hsid.WorkerCount(workers)}
	var members []hsstate.Placement
	for i := range workers {
		members = append(members, hsstate.Placement{Worker: worker(from + i), Incarnation: 1, Endpoint: 1, Accelerators: set})
	}
	g := hsid.Grant{Job: id, Attempt: 1, Term: r.control.lead.term}
	_, _ = r.control.propose(hsstate.Command{Submit: &hsstate.SubmitJob{ID: id, Spec: spec}})
	j := &hsstate.Job{ID: id, Spec: spec}
	r.control.lead.attempts[id] = &attempt{job: j, grant: g, members: members, proposed: true}
	r.control.lead.place(j, members)
	_, _ = r.control.propose(hsstate.Command{Start: &hsstate.StartGang{Grant: g, Members: members}})
	r.control.lead.passDue = false
	r.settle()
}

// submit queues a job without a scheduling pass.
func (r *rig) submit(b *testing.B, name string, shape hsshape.Shape) {
	b.Helper()
	spec := hsstate.Spec{Workspace: "team-01", Kind: "fit", Shape: shape, Class: hsstate.Normal, Key: hsid.IdempotencyKey(name)}
	_, _ = r.control.propose(hsstate.Command{Submit: &hsstate.SubmitJob{ID: hsid.JobID(name), Spec: spec}})
}

var sizes = []int{50, 200, 770}

// BenchmarkPlacement times one scheduling pass that places one job, with all its bookkeeping.
func BenchmarkPlacement(b *testing.B) {
	tables := []struct {
		name  string
		shape hsshape.Shape
	}{
		{"single", hsshape.Shape{PerWorker: 1, Workers: 1}},
		{"gang16", hsshape.Shape{PerWorker: 2, Workers: 16}},
		{"gang64", hsshape.Shape{PerWorker: 2, Workers: 64}},
		{"unplaceable", hsshape.Shape{PerWorker: 16, Workers: 2}},
	}
	for _, n := range sizes {
		for _, tt := range tables {
			b.Run(fmt.Sprintf("%s/workers%d", tt.name, n), func(b *testing.B) {
				r := newRig(b, n)
				r.submit(b, "x", tt.shape)
				r.control.lead.passDue = false
				r.settle()
				b.ResetTimer()
				for b.Loop() {
					r.control.schedule()
					b.StopTimer()
					for _, a := range r.control.lead.attempts {
						r.control.abort(a)
					}
					clear(r.control.lead.dirty)
					clear(r.control.lead.claims)
					b.StartTimer()
				}
			})
		}
	}
}

// BenchmarkCancellations times a wave of 5,000 cancellations of queued jobs, with the pass after it.
func BenchmarkCancellations(b *testing.B) {
	for _, n := range sizes {
		b.Run(fmt.Sprintf("workers%d", n), func(b *testing.B) {
			r := newRig(b, n)
			round := 0
			for b.Loop() {
				b.StopTimer()
				var jobs []hsid.JobID
				for i := range 5000 {
					round++
					name := fmt.Sprintf("x%d", round)
					spec := hsstate.Spec{Workspace: hsid.WorkspaceID(fmt.Sprintf("team-%02d", i%25)), Kind: "fit", Shape: hsshape.Shape{PerWorker: 16, Workers: 2}}
					_, _ = r.control.propose(hsstate.Command{Submit: &hsstate.SubmitJob{ID: hsid.JobID(name), Spec: spec}})
					jobs = append(jobs, hsid.JobID(name))
				}
				r.control.lead.passDue = false
				r.settle()
				b.StartTimer()
				_, _ = r.control.propose(hsstate.Command{Cancel: &hsstate.CancelJobs{Jobs: jobs}})
				r.settle()
			}
		})
	}
}

// BenchmarkReport times the leader's work for one report of an agent, with its answer.
func BenchmarkReport(b *testing.B) {
	for _, n := range sizes {
		b.Run(fmt.Sprintf("workers%d", n), func(b *testing.B) {
			r := newRig(b, n)
			sequence := hsid.Sequence(1)
			for b.Loop() {
				sequence++
				m := report(0, sequence)
				m.Serial = 1 << 40
				m.Tasks = []hsmessage.Task{}
				for _, j := range r.control.lead.byWorker[m.Instance] {
					m.Tasks = append(m.Tasks, hsmessage.Task{Grant: r.control.state.Jobs[j].Grant, Phase: hsmessage.TaskRunning, Ran: true})
				}
				r.control.lead.passDue = false
				r.control.Receive("p", m)
				r.control.sendOrders()
			}
		})
	}
}

// BenchmarkState reports the size of the encoded state with 7,900 tasks at 770 workers, and the time to
// encode it for a snapshot.
func BenchmarkState(b *testing.B) {
	for _, n := range sizes {
		b.Run(fmt.Sprintf("workers%d", n), func(b *testing.B) {
			r := newRig(b, n)
			size := 0
			for b.Loop() {
				size = len(hscodec.State{}.EncodeState(r.control.state))
			}
			b.ReportMetric(float64(size), "bytes")
		})
	}
}
