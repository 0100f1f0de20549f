package hscontrol

import (
	"fmt"
	"testing"
	"time"

	"hyssopseam/core/command/hsplacement"
	"hyssopseam/core/command/hsquorum"
	"hyssopseam/core/hsid"
	"hyssopseam/core/hsleaderstate"
	"hyssopseam/core/hsmessage"
	"hyssopseam/core/hsshape"
	"hyssopseam/core/hsstate"
	"hyssopseam/core/hsview"
	"hyssopseam/io/hscodec"
)

// testLeader is a leading single replica whose saves complete at once and whose messages are only counted. It
// implements the ports that the benchmarks need; its clock moves only when a benchmark sets it.
type testLeader struct {
	now     time.Time
	control *Control
	saves   []hsid.Sequence
	sent    int
}

// Now returns the time that was set last.
func (l *testLeader) Now() time.Time { return l.now }

// Int64N returns zero.
func (l *testLeader) Int64N(int64) int64 { return 0 }

// Send counts the message.
func (l *testLeader) Send(hsstate.Peer, hsmessage.Message) { l.sent++ }

// Save records the number of the save.
func (l *testLeader) Save(s hsquorum.Save) { l.saves = append(l.saves, s.Number) }

// Read finds nothing.
func (l *testLeader) Read(*hsleaderstate.State, hsmessage.Query) (*hsview.View, bool) {
	return nil, false
}

// LeadershipChanged does nothing.
func (l *testLeader) LeadershipChanged(bool) {}

// JobAccepted does nothing.
func (l *testLeader) JobAccepted(*hsstate.Job) {}

// JobRefused does nothing.
func (l *testLeader) JobRefused(string) {}

// JobStarted does nothing.
func (l *testLeader) JobStarted(*hsstate.Job, time.Duration) {}

// JobEnded does nothing.
func (l *testLeader) JobEnded(*hsstate.Job) {}

// JobRequeued does nothing.
func (l *testLeader) JobRequeued(*hsstate.Job) {}

// flushAndSync flushes, and completes saves until there are no more.
func (l *testLeader) flushAndSync() {
	l.control.Flush()
	for len(l.saves) > 0 {
		n := l.saves[0]
		l.saves = l.saves[1:]
		l.control.SaveCompleted(n)
		l.control.Flush()
	}
}

// newTestLeader returns a leader with workers of 16 accelerators in racks of 70, rules with a guarantee for each of
// 25 workspaces, and running tasks on 13 accelerators of each worker; see startTasks.
func newTestLeader(b *testing.B, workers int) *testLeader {
	b.Helper()
	l := &testLeader{now: time.Unix(1000, 0)}
	members := []hsstate.Member{{ID: 1, Instance: "c", Address: "c", Voter: true}}
	stored := hsquorum.Stored{HardState: hsquorum.HardState{Term: 1}, Entries: []hsstate.Entry{{Index: 1, Term: 1, Command: hsstate.Command{Members: &hsstate.SetMembers{Cluster: "x", Members: members}}}}}
	config := Config{Weights: hsplacement.Weights{Completion: 1, Fragmentation: 1}}
	config.Quorum.ID = 1
	config.Quorum.Address = "c"
	config.Quorum.SnapshotEntries = 1 << 30
	var err error
	if l.control, err = New(config, Ports{Clock: l, Random: l, Sender: l, Storage: l, Codec: hscodec.State{}, Sizer: hscodec.EntrySizer{}, Reader: l, Observer: l}, stored); err != nil {
		b.Fatal(err)
	}
	l.now = l.now.Add(time.Second)
	l.control.Wake()
	l.flushAndSync()
	if !l.control.Leading() {
		b.Fatal("the replica didn't become the leader")
	}
	rules := hsstate.RuleSet{Number: 1}
	for i := range 25 {
		w := hsid.WorkspaceID(fmt.Sprintf("team-%02d", i))
		rules.Guarantees = append(rules.Guarantees, hsstate.Guarantee{Workspace: w, Shape: hsshape.Shape{PerWorker: 8, Workers: 2}, Within: 1400 * time.Millisecond})
		rules.Quotas = append(rules.Quotas, hsstate.Quota{Workspace: w, Accelerators: 2000})
	}
	l.propose(b, hsstate.Command{Rules: &hsstate.PushRules{Set: rules, Sum: "s"}})
	for i := range workers {
		l.control.Receive(hsstate.Peer(worker(i)), report(i, 1))
	}
	l.startTasks(b, workers)
	l.now = l.now.Add(3 * time.Second)
	l.control.Wake()
	l.flushAndSync()
	return l
}

func worker(i int) hsid.InstanceID { return hsid.InstanceID(fmt.Sprintf("w%03d", i)) }

func report(i int, sequence hsid.Sequence) hsmessage.AgentReport {
	m := hsmessage.AgentReport{TasksKnown: true}
	m.Instance = worker(i)
	m.Role = hsmessage.RoleAgent
	m.Incarnation = 1
	m.Sequence = sequence
	m.Rules = 1
	m.Worker = hsmessage.Worker{Rack: hsid.RackID(fmt.Sprint(i / 70)), Endpoint: 1, Groups: hsshape.WholeWorker(16), Cores: 30000, Memory: 128 * hsid.GiB}
	return m
}

// propose commits a command.
func (l *testLeader) propose(b *testing.B, c hsstate.Command) {
	b.Helper()
	if _, ok := l.control.propose(c); !ok {
		b.Fatal("the command wasn't proposed")
	}
	l.flushAndSync()
}

// startTasks starts gangs of up to 64 workers on four accelerators of each worker, and nine jobs of a single
// accelerator on each worker.
func (l *testLeader) startTasks(b *testing.B, workers int) {
	b.Helper()
	for from := 0; from < workers; from += 64 {
		l.startJob(b, fmt.Sprintf("gang-%d", from), from, min(64, workers-from), hsshape.Set{0, 1, 2, 3})
	}
	for i := range workers {
		for x := range 9 {
			l.startJob(b, fmt.Sprintf("single-%d-%d", i, x), i, 1, hsshape.Set{hsid.AcceleratorIndex(4 + x)})
		}
	}
}

func (l *testLeader) startJob(b *testing.B, name string, from, workers int, set hsshape.Set) {
	b.Helper()
	id := hsid.JobID(name)
	spec := hsstate.Spec{Workspace: hsid.WorkspaceID(fmt.Sprintf("team-%02d", len(l.control.state.Jobs)%25)), Kind: "train", Class: hsstate.Normal}
	spec.Shape = hsshape.Shape{PerWorker: set.Count(), Workers: hsid.WorkerCount(workers)}
	var members []hsstate.Placement
	for i := range workers {
		members = append(members, hsstate.Placement{Worker: worker(from + i), Incarnation: 1, Endpoint: 1, Accelerators: set})
	}
	g := hsid.Grant{Job: id, Attempt: 1, Term: l.control.leader.term}
	_, _ = l.control.propose(hsstate.Command{Submit: &hsstate.SubmitJob{ID: id, Spec: spec}})
	j := &hsstate.Job{ID: id, Spec: spec}
	l.control.leader.attempts[id] = &attempt{job: j, grant: g, members: members, proposed: true}
	l.control.leader.addPlacements(j, members)
	_, _ = l.control.propose(hsstate.Command{Start: &hsstate.StartGang{Grant: g, Members: members}})
	l.control.leader.passDue = false
	l.flushAndSync()
}

// submit queues a job without a scheduling pass.
func (l *testLeader) submit(b *testing.B, name string, shape hsshape.Shape) {
	b.Helper()
	spec := hsstate.Spec{Workspace: "team-01", Kind: "fit", Shape: shape, Class: hsstate.Normal, Key: hsid.IdempotencyKey(name)}
	_, _ = l.control.propose(hsstate.Command{Submit: &hsstate.SubmitJob{ID: hsid.JobID(name), Spec: spec}})
}

var sizes = []int{50, 200, 770}

// BenchmarkPlacement measures one scheduling pass that places one job, with all its bookkeeping.
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
				l := newTestLeader(b, n)
				l.submit(b, "x", tt.shape)
				l.control.leader.passDue = false
				l.flushAndSync()
				b.ResetTimer()
				for b.Loop() {
					l.control.schedule()
					b.StopTimer()
					for _, a := range l.control.leader.attempts {
						l.control.abort(a)
					}
					clear(l.control.leader.dirtyAgents)
					clear(l.control.leader.claims)
					b.StartTimer()
				}
			})
		}
	}
}

// BenchmarkCancellations measures a batch of 5,000 cancellations of queued jobs, with the scheduling pass after it.
func BenchmarkCancellations(b *testing.B) {
	for _, n := range sizes {
		b.Run(fmt.Sprintf("workers%d", n), func(b *testing.B) {
			l := newTestLeader(b, n)
			round := 0
			for b.Loop() {
				b.StopTimer()
				var jobs []hsid.JobID
				for i := range 5000 {
					round++
					name := fmt.Sprintf("x%d", round)
					spec := hsstate.Spec{Workspace: hsid.WorkspaceID(fmt.Sprintf("team-%02d", i%25)), Kind: "fit", Shape: hsshape.Shape{PerWorker: 16, Workers: 2}}
					_, _ = l.control.propose(hsstate.Command{Submit: &hsstate.SubmitJob{ID: hsid.JobID(name), Spec: spec}})
					jobs = append(jobs, hsid.JobID(name))
				}
				l.control.leader.passDue = false
				l.flushAndSync()
				b.StartTimer()
				_, _ = l.control.propose(hsstate.Command{Cancel: &hsstate.CancelJobs{Jobs: jobs}})
				l.flushAndSync()
			}
		})
	}
}

// BenchmarkReport measures how the leader handles one report of an agent and answers it.
func BenchmarkReport(b *testing.B) {
	for _, n := range sizes {
		b.Run(fmt.Sprintf("workers%d", n), func(b *testing.B) {
			l := newTestLeader(b, n)
			sequence := hsid.Sequence(1)
			for b.Loop() {
				sequence++
				m := report(0, sequence)
				m.Serial = 1 << 40
				m.Tasks = []hsmessage.Task{}
				for _, j := range l.control.leader.byWorker[m.Instance] {
					m.Tasks = append(m.Tasks, hsmessage.Task{Grant: l.control.state.Jobs[j].Grant, Phase: hsmessage.TaskRunning, Ran: true})
				}
				l.control.leader.passDue = false
				l.control.Receive("p", m)
				l.control.sendOrders()
			}
		})
	}
}

// BenchmarkState measures the time to encode the state for a snapshot, and reports its encoded size. With 770 workers
// the state has 7,700 tasks.
func BenchmarkState(b *testing.B) {
	for _, n := range sizes {
		b.Run(fmt.Sprintf("workers%d", n), func(b *testing.B) {
			l := newTestLeader(b, n)
			size := 0
			for b.Loop() {
				size = len(hscodec.State{}.EncodeState(l.control.state))
			}
			b.ReportMetric(float64(size), "bytes")
		})
	}
}
