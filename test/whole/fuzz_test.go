// Package whole plays control, agents, entry and platforms together through failures, and checks what was
// promised against the platforms' book.
package whole

import (
	"fmt"
	"os"
	"testing"
	"time"

	"pgregory.net/rapid"

	"hyssopseam/core/command/hscontrol"
	"hyssopseam/core/command/hsplacement"
	"hyssopseam/core/command/hsqueue"
	"hyssopseam/core/hsid"
	"hyssopseam/core/hsmessage"
	"hyssopseam/core/hsshape"
	"hyssopseam/core/hsstate"
	"hyssopseam/internal/fixedseed"
	"hyssopseam/internal/play"
)

func TestMain(m *testing.M) { os.Exit(fixedseed.Run(m)) }

const ruleText = `guarantee workspace=a shape=4x1worker within=2s # test
guarantee workspace=b shape=2x2workers within=3s # test
quota workspace=c accelerators=12 # test
once job=order # test
refuse job=batch # test
`

// kinds are the kinds of jobs with how their tasks behave.
var kinds = []struct {
	kind hsid.JobKind
	plan play.Plan
}{
	{"order", play.Plan{Run: 2 * time.Second, Stop: 200 * time.Millisecond}},
	{"check", play.Plan{Run: 200 * time.Millisecond, Stop: 50 * time.Millisecond}},
	{"block", play.Plan{Run: 8 * time.Second, Stop: 400 * time.Millisecond}},
	{"batch", play.Plan{Run: 30 * time.Second, Stop: time.Second}},
	{"stubborn", play.Plan{Run: 20 * time.Second, Stop: 15 * time.Second}},
	{"broken", play.Plan{Run: time.Second, Stop: time.Second, Fails: true}},
}

func planOf(kind hsid.JobKind, _ []byte) play.Plan {
	for _, k := range kinds {
		if k.kind == kind {
			return k.plan
		}
	}
	return play.Plan{Run: time.Second}
}

var shapes = []hsshape.Shape{{PerWorker: 1, Workers: 1}, {PerWorker: 2, Workers: 1}, {PerWorker: 4, Workers: 1}, {PerWorker: 8, Workers: 1}, {PerWorker: 2, Workers: 2}, {PerWorker: 8, Workers: 2}}

// sent is a submission with its answer.
type sent struct {
	spec  hsstate.Spec
	reply *hsmessage.Reply
}

// bench is one world with the callers' own books.
type bench struct {
	t      *rapid.T
	w      *play.World
	sent   []*sent
	number int
	serial int
	// pushed holds the content that was accepted under each number.
	pushed map[hsid.RuleNumber]string
}

func newBench(t *rapid.T, workers int) *bench {
	control := hscontrol.Config{
		Weights:   hsplacement.Weights{Completion: 1, Fragmentation: 1},
		RunLease:  10 * time.Second,
		AgeBounds: hsqueue.AgeBounds{time.Second, 10 * time.Second, 20 * time.Second},
		CoolDown:  20 * time.Second,
	}
	control.Quorum.SnapshotEvery = 50
	control.Quorum.Retain = 8
	w := play.New(play.Config{
		Seed:           rapid.Uint64().Draw(t, "seed"),
		Controls:       3,
		Control:        control,
		Interval:       500 * time.Millisecond,
		Lose:           rapid.SampledFrom([]float64{0, 0.02, 0.1}).Draw(t, "lose"),
		Double:         0.05,
		PlatformJitter: time.Duration(rapid.SampledFrom([]int{0, 20, 600}).Draw(t, "jitter")) * time.Millisecond,
		Late:           rapid.SampledFrom([]float64{0, 0.05}).Draw(t, "late"),
		Drift:          0.015,
		Copy:           true,
	})
	b := &bench{t: t, w: w, pushed: map[hsid.RuleNumber]string{}}
	for i := range workers {
		a := w.AddWorker(play.Worker{
			ID:           hsid.InstanceID(fmt.Sprintf("w%d", i+1)),
			Rack:         hsid.RackID(fmt.Sprintf("r%d", i/2+1)),
			Accelerators: 8,
		})
		a.Plans = planOf
	}
	w.Run(5 * time.Second)
	b.push()
	w.Run(3 * time.Second)
	return b
}

func (b *bench) push() {
	b.number++
	content := fmt.Sprintf("number %d\n%s", b.number, ruleText)
	b.w.Entry.Push(content, "ama", func(r hsmessage.Reply) {
		if r.Status == hsmessage.StatusDone {
			b.pushed[r.Rules.Number] = content
		}
	})
}

// race has two operators push different files under the same number.
func (b *bench) race() {
	b.number++
	for _, operator := range []hsid.OperatorID{"kofi", "esi"} {
		content := fmt.Sprintf("number %d\n%sonce job=only%s # test\n", b.number, ruleText, operator)
		b.w.Entry.Push(content, operator, func(r hsmessage.Reply) {
			if r.Status != hsmessage.StatusDone {
				return
			}
			if other, ok := b.pushed[r.Rules.Number]; ok && other != content {
				b.t.Fatalf("number %d: got two files accepted, want one", r.Rules.Number)
			}
			b.pushed[r.Rules.Number] = content
		})
	}
}

func (b *bench) submit(spec hsstate.Spec) {
	s := &sent{spec: spec}
	b.sent = append(b.sent, s)
	b.w.Entry.Submit(spec, func(r hsmessage.Reply) {
		if s.reply != nil {
			b.t.Fatalf("got a second answer to one request")
		}
		s.reply = &r
	})
}

func (b *bench) draw() hsstate.Spec {
	b.serial++
	k := kinds[rapid.IntRange(0, len(kinds)-1).Draw(b.t, "kind")]
	return hsstate.Spec{
		Workspace: hsid.WorkspaceID(rapid.SampledFrom([]string{"a", "b", "c"}).Draw(b.t, "workspace")),
		Kind:      k.kind,
		Shape:     shapes[rapid.IntRange(0, len(shapes)-1).Draw(b.t, "shape")],
		Class:     hsstate.Class(rapid.IntRange(0, 2).Draw(b.t, "class")),
		Key:       hsid.IdempotencyKey(fmt.Sprintf("k%d", b.serial)),
		Expect:    k.plan.Run * time.Duration(rapid.SampledFrom([]int{1, 10, 100}).Draw(b.t, "expect")) / 10,
	}
}

// step does one random thing.
func (b *bench) step() {
	t, w := b.t, b.w
	control := w.Controls[rapid.IntRange(0, len(w.Controls)-1).Draw(t, "control")]
	agent := w.Agents[rapid.IntRange(0, len(w.Agents)-1).Draw(t, "agent")]
	switch n := rapid.IntRange(0, 99).Draw(t, "step"); {
	case n < 35:
		w.Run(time.Duration(rapid.IntRange(1, 3000).Draw(t, "milliseconds")) * time.Millisecond)
	case n < 60:
		b.submit(b.draw())
	case n < 65:
		if len(b.sent) > 0 {
			b.submit(b.sent[rapid.IntRange(0, len(b.sent)-1).Draw(t, "again")].spec)
		}
	case n < 70:
		b.cancel()
	case n < 73:
		control.Crash(rapid.Bool().Draw(t, "written"))
	case n < 77:
		control.Start()
	case n < 79:
		w.Isolate(control.Peer())
	case n < 81:
		w.Isolate(agent.Peer())
	case n < 84:
		w.Heal()
	case n < 87:
		agent.Crash()
	case n < 91:
		agent.Recover()
	case n < 93:
		agent.RestartEndpoint()
	case n < 95:
		agent.Fail()
	case n < 96:
		agent.Leaving = !agent.Leaving
	case n < 98:
		b.push()
	default:
		b.race()
	}
	b.check()
}

func (b *bench) cancel() {
	if len(b.sent) == 0 {
		return
	}
	s := b.sent[rapid.IntRange(0, len(b.sent)-1).Draw(b.t, "cancel")]
	if s.reply == nil || s.reply.Job == nil {
		return
	}
	m := hsmessage.Request{Cancel: &hsstate.CancelJobs{Jobs: []hsid.JobID{s.reply.Job.ID}}}
	b.w.Entry.Do(m, func(hsmessage.Reply) {})
}

// check looks at what must hold at every moment.
func (b *bench) check() {
	b.t.Helper()
	b.checkAttempts()
	live := map[hsid.InstanceID][]*play.Run{}
	for _, r := range b.w.Book {
		if r.Outcome != "" {
			continue
		}
		for _, o := range live[r.Worker] {
			if o.Accelerators.Overlaps(r.Accelerators) {
				b.t.Fatalf("worker %s: got %s and %s on one accelerator", r.Worker, o.Grant, r.Grant)
			}
		}
		live[r.Worker] = append(live[r.Worker], r)
	}
	if b.w.Entry.WentBack {
		b.t.Fatalf("entry: got an older rule number after a newer one")
	}
	for _, a := range b.w.Agents {
		if a.WentBack {
			b.t.Fatalf("agent %s: got an older rule number after a newer one", a.Peer())
		}
	}
}

// checkAttempts checks that of one job only one attempt runs; an older one may still be stopping.
func (b *bench) checkAttempts() {
	b.t.Helper()
	live := map[hsid.JobID]*play.Run{}
	for _, r := range b.w.Book {
		if r.Outcome != "" || r.StopAsked > 0 {
			continue
		}
		if o := live[r.Grant.Job]; o != nil && o.Grant != r.Grant {
			b.t.Fatalf("job %s: got attempts %s (since %s) and %s (since %s) running", r.Grant.Job, o.Grant, o.Began, r.Grant, r.Began)
		}
		live[r.Grant.Job] = r
	}
}

// settle ends all failures and waits until every job has ended.
func (b *bench) settle() {
	b.t.Helper()
	w := b.w
	w.Heal()
	w.Faultless()
	for _, c := range w.Controls {
		c.Start()
	}
	for _, a := range w.Agents {
		a.Leaving = false
		a.Recover()
	}
	if !w.Await(2*time.Hour, b.settled) {
		b.t.Fatalf("got jobs that didn't end: %s", b.open())
	}
}

func (b *bench) settled() bool {
	l := b.w.Leader()
	if l == nil {
		return false
	}
	for _, s := range b.sent {
		if s.reply == nil {
			return false
		}
	}
	for _, j := range l.State().Jobs {
		if j.Phase != hsstate.Finished {
			return false
		}
	}
	return true
}

// open says what the leader reports about the jobs that haven't ended, and about the workers.
func (b *bench) open() string {
	text := ""
	ask := func(q hsmessage.Query) {
		b.w.Entry.Do(hsmessage.Request{Query: &q}, func(r hsmessage.Reply) {
			if r.View == nil {
				return
			}
			if e := r.View.Explain; e != nil {
				text += fmt.Sprintf("\n%s %s %s: %s %v %v", e.Job.ID, e.Job.Kind, e.Job.Shape, e.Summary, e.Obstacles, e.Candidates)
			}
			text += fmt.Sprintf("\n%+v", r.View.Workers)
		})
		b.w.Run(time.Second)
	}
	if l := b.w.Leader(); l != nil {
		for _, j := range l.State().Jobs {
			if j.Phase != hsstate.Finished {
				ask(hsmessage.Query{Kind: hsmessage.QueryExplain, Job: j.ID})
			}
		}
	}
	ask(hsmessage.Query{Kind: hsmessage.QueryWorkers})
	return text
}

// runsOf returns the lines of the book about a job.
func (b *bench) runsOf(id hsid.JobID) []*play.Run {
	var runs []*play.Run
	for _, r := range b.w.Book {
		if r.Grant.Job == id {
			runs = append(runs, r)
		}
	}
	return runs
}

// judge compares what callers were told with the book.
func (b *bench) judge() {
	b.t.Helper()
	jobs := b.w.Leader().State().Jobs
	for _, s := range b.sent {
		if s.reply.Job == nil {
			continue
		}
		id := s.reply.Job.ID
		j := jobs[id]
		switch {
		case j == nil && s.reply.Status == hsmessage.StatusRefused:
			if n := len(b.runsOf(id)); n > 0 {
				b.t.Fatalf("job %s: got %d runs of a refused job, want none", id, n)
			}
		case j == nil:
			b.t.Fatalf("job %s: got it lost after %s", id, s.reply.Status)
		default:
			b.judgeJob(j)
		}
	}
}

func (b *bench) judgeJob(j *hsstate.Job) {
	b.t.Helper()
	runs := b.runsOf(j.ID)
	grants := map[hsid.Grant]int{}
	done := map[int]int{}
	for _, r := range runs {
		grants[r.Grant]++
		if r.Grant == j.Grant && r.Outcome == hsmessage.TaskDone {
			done[r.Rank]++
		}
	}
	if j.Once && (len(grants) > 1 || len(runs) > int(j.Spec.Shape.Workers)) {
		b.t.Fatalf("job %s never runs twice: got %d runs under %d grants", j.ID, len(runs), len(grants))
	}
	switch {
	case j.Outcome == hsstate.Answered && len(done) != int(j.Spec.Shape.Workers):
		b.t.Fatalf("job %s answered: got %d members done, want %d", j.ID, len(done), j.Spec.Shape.Workers)
	case j.Outcome == hsstate.Answered && string(j.Answer) != j.Grant.String():
		b.t.Fatalf("job %s: got answer %q, want %q", j.ID, j.Answer, j.Grant)
	case !j.Ran && j.Outcome != hsstate.Answered && len(runs) > 0:
		b.t.Fatalf("job %s %s as not run: got %d runs, want none", j.ID, j.Outcome, len(runs))
	case j.Outcome == hsstate.NotRun && j.Ran:
		b.t.Fatalf("job %s: got notRun for a job that ran", j.ID)
	}
}

// reclaim fills the workers with work of others and then asks for each guarantee that is reported backed.
func (b *bench) reclaim() {
	b.t.Helper()
	b.w.Run(30 * time.Second)
	for range 24 {
		b.serial++
		spec := hsstate.Spec{Workspace: "d", Kind: "batch", Shape: shapes[b.serial%3], Class: hsstate.Batch, Key: hsid.IdempotencyKey(fmt.Sprintf("fill%d", b.serial))}
		if b.serial%4 == 0 {
			spec.Kind = "stubborn"
		}
		b.submit(spec)
	}
	b.w.Run(5 * time.Second)
	backed := b.backed()
	for i := range backed {
		g := &backed[i]
		var id hsid.JobID
		b.serial++
		began := b.w.Now()
		spec := hsstate.Spec{Workspace: g.Workspace, Kind: "check", Shape: g.Shape, Class: hsstate.Urgent, Key: hsid.IdempotencyKey(fmt.Sprintf("claim%d", b.serial))}
		b.w.Entry.Submit(spec, func(r hsmessage.Reply) { id = r.Job.ID })
		started := b.w.Await(time.Minute, func() bool { return len(b.runsOf(id)) == int(g.Shape.Workers) })
		if took := b.w.Now() - began; !started || took > g.Within {
			b.t.Fatalf("guarantee %s %s: got %s until its start, want %s", g.Workspace, g.Shape, took, g.Within)
		}
	}
}

// backed returns the guarantees that the leader reports as backed.
func (b *bench) backed() []hsstate.Guarantee {
	var backed []hsstate.Guarantee
	b.w.Entry.Do(hsmessage.Request{Query: &hsmessage.Query{Kind: hsmessage.QueryStatus}}, func(r hsmessage.Reply) {
		for i, g := range r.View.Status.Guarantees {
			if g.Backed {
				backed = append(backed, b.w.Leader().State().Rules.InForce.Guarantees[i])
			}
		}
	})
	b.w.Run(time.Second)
	return backed
}

// TestStateful plays random failures and then checks every promise about jobs.
func TestStateful(t *testing.T) {
	tables := []struct {
		name    string
		workers int
	}{
		{"two workers of one rack", 2},
		{"four workers in two racks", 4},
	}
	for _, tt := range tables {
		t.Run(tt.name, func(t *testing.T) {
			rapid.Check(t, func(t *rapid.T) {
				b := newBench(t, tt.workers)
				for range rapid.IntRange(10, 120).Draw(t, "steps") {
					b.step()
				}
				b.settle()
				b.judge()
				b.reclaim()
				b.check()
			})
		})
	}
}
