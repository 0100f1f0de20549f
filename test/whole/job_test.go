// Package whole contains property-based tests of the whole system in simulation: control, agents, entry and platforms
// go through random failures, and the guarantees to callers are checked against the runs that the platforms recorded.
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

// kinds lists the kinds of jobs and how their tasks behave.
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

// submission is a submitted job with its reply, which is nil until it arrives.
type submission struct {
	spec  hsstate.Spec
	reply *hsmessage.Reply
}

// harness is a simulated deployment with what its callers submitted and were told.
type harness struct {
	t              *rapid.T
	w              *play.World
	submissions    []*submission
	lastRuleNumber int
	serial         int
	// pushed holds the content of each accepted rule file by its number.
	pushed map[hsid.RuleNumber]string
}

func newHarness(t *rapid.T, workers int) *harness {
	control := hscontrol.Config{
		Weights:            hsplacement.Weights{Completion: 1, Fragmentation: 1},
		RunLease:           10 * time.Second,
		AgeBounds:          hsqueue.AgeBounds{time.Second, 10 * time.Second, 20 * time.Second},
		PreemptionCoolDown: 20 * time.Second,
	}
	control.Quorum.SnapshotEntries = 50
	control.Quorum.RetainEntries = 8
	w := play.New(play.Config{
		Seed:           rapid.Uint64().Draw(t, "seed"),
		Controls:       3,
		Control:        control,
		Interval:       500 * time.Millisecond,
		LossRate:       rapid.SampledFrom([]float64{0, 0.02, 0.1}).Draw(t, "lose"),
		DuplicateRate:  0.05,
		PlatformJitter: time.Duration(rapid.SampledFrom([]int{0, 20, 600}).Draw(t, "jitter")) * time.Millisecond,
		DelayRate:      rapid.SampledFrom([]float64{0, 0.05}).Draw(t, "late"),
		Drift:          0.015,
		EncodeMessages: true,
	})
	h := &harness{t: t, w: w, pushed: map[hsid.RuleNumber]string{}}
	for i := range workers {
		a := w.AddWorker(play.Worker{
			ID:           hsid.InstanceID(fmt.Sprintf("w%d", i+1)),
			Rack:         hsid.RackID(fmt.Sprintf("r%d", i/2+1)),
			Accelerators: 8,
		})
		a.Plans = planOf
	}
	w.Run(5 * time.Second)
	h.push()
	w.Run(3 * time.Second)
	return h
}

func (h *harness) push() {
	h.lastRuleNumber++
	content := fmt.Sprintf("number %d\n%s", h.lastRuleNumber, ruleText)
	h.w.Entry.Push(content, "ama", func(r hsmessage.Reply) {
		if r.Status == hsmessage.StatusDone {
			h.pushed[r.Rules.Number] = content
		}
	})
}

// pushConflicting makes two operators push different files under the same number. At most one may be accepted.
func (h *harness) pushConflicting() {
	h.lastRuleNumber++
	for _, operator := range []hsid.OperatorID{"kofi", "esi"} {
		content := fmt.Sprintf("number %d\n%sonce job=only%s # test\n", h.lastRuleNumber, ruleText, operator)
		h.w.Entry.Push(content, operator, func(r hsmessage.Reply) {
			if r.Status != hsmessage.StatusDone {
				return
			}
			if other, ok := h.pushed[r.Rules.Number]; ok && other != content {
				h.t.Fatalf("number %d: got two files accepted, want one", r.Rules.Number)
			}
			h.pushed[r.Rules.Number] = content
		})
	}
}

func (h *harness) submit(spec hsstate.Spec) {
	s := &submission{spec: spec}
	h.submissions = append(h.submissions, s)
	h.w.Entry.Submit(spec, func(r hsmessage.Reply) {
		if s.reply != nil {
			h.t.Fatalf("got a second answer to one request")
		}
		s.reply = &r
	})
}

func (h *harness) drawSpec() hsstate.Spec {
	h.serial++
	k := kinds[rapid.IntRange(0, len(kinds)-1).Draw(h.t, "kind")]
	return hsstate.Spec{
		Workspace: hsid.WorkspaceID(rapid.SampledFrom([]string{"a", "b", "c"}).Draw(h.t, "workspace")),
		Kind:      k.kind,
		Shape:     shapes[rapid.IntRange(0, len(shapes)-1).Draw(h.t, "shape")],
		Class:     hsstate.Class(rapid.IntRange(0, 2).Draw(h.t, "class")),
		Key:       hsid.IdempotencyKey(fmt.Sprintf("k%d", h.serial)),
		Expect:    k.plan.Run * time.Duration(rapid.SampledFrom([]int{1, 10, 100}).Draw(h.t, "expect")) / 10,
	}
}

// step takes one random action and checks the invariants.
func (h *harness) step() {
	t, w := h.t, h.w
	control := w.Controls[rapid.IntRange(0, len(w.Controls)-1).Draw(t, "control")]
	agent := w.Agents[rapid.IntRange(0, len(w.Agents)-1).Draw(t, "agent")]
	switch action := rapid.IntRange(0, 99).Draw(t, "step"); {
	case action < 35:
		w.Run(time.Duration(rapid.IntRange(1, 3000).Draw(t, "milliseconds")) * time.Millisecond)
	case action < 60:
		h.submit(h.drawSpec())
	case action < 65:
		if len(h.submissions) > 0 {
			h.submit(h.submissions[rapid.IntRange(0, len(h.submissions)-1).Draw(t, "again")].spec)
		}
	case action < 70:
		h.cancel()
	case action < 73:
		control.Crash(rapid.Bool().Draw(t, "written"))
	case action < 77:
		control.Start()
	case action < 79:
		w.Isolate(control.Peer())
	case action < 81:
		w.Isolate(agent.Peer())
	case action < 84:
		w.Heal()
	case action < 87:
		agent.Crash()
	case action < 91:
		agent.Recover()
	case action < 93:
		agent.RestartEndpoint()
	case action < 95:
		agent.Fail()
	case action < 96:
		agent.Leaving = !agent.Leaving
	case action < 98:
		h.push()
	default:
		h.pushConflicting()
	}
	h.checkInvariants()
}

func (h *harness) cancel() {
	if len(h.submissions) == 0 {
		return
	}
	s := h.submissions[rapid.IntRange(0, len(h.submissions)-1).Draw(h.t, "cancel")]
	if s.reply == nil || s.reply.Job == nil {
		return
	}
	m := hsmessage.Request{Cancel: &hsstate.CancelJobs{Jobs: []hsid.JobID{s.reply.Job.ID}}}
	h.w.Entry.Do(m, func(hsmessage.Reply) {})
}

// checkInvariants checks what must hold at all times: one attempt of a job at a time, no accelerator used by two
// runs, and no node that goes back to older rules.
func (h *harness) checkInvariants() {
	h.t.Helper()
	h.checkAttempts()
	live := map[hsid.InstanceID][]*play.Run{}
	for _, r := range h.w.Runs {
		if r.Outcome != "" {
			continue
		}
		for _, o := range live[r.Worker] {
			if o.Accelerators.Overlaps(r.Accelerators) {
				h.t.Fatalf("worker %s: got %s and %s on one accelerator", r.Worker, o.Grant, r.Grant)
			}
		}
		live[r.Worker] = append(live[r.Worker], r)
	}
	if h.w.Entry.RulesRegressed {
		h.t.Fatalf("entry: got an older rule number after a newer one")
	}
	for _, a := range h.w.Agents {
		if a.RulesRegressed {
			h.t.Fatalf("agent %s: got an older rule number after a newer one", a.Peer())
		}
	}
}

// checkAttempts checks that at most one attempt of each job runs, apart from older ones that are being stopped.
func (h *harness) checkAttempts() {
	h.t.Helper()
	live := map[hsid.JobID]*play.Run{}
	for _, r := range h.w.Runs {
		if r.Outcome != "" || r.StopStartedAt > 0 {
			continue
		}
		if o := live[r.Grant.Job]; o != nil && o.Grant != r.Grant {
			h.t.Fatalf("job %s: got attempts %s (since %s) and %s (since %s) running", r.Grant.Job, o.Grant, o.Began, r.Grant, r.Began)
		}
		live[r.Grant.Job] = r
	}
}

// settle ends all faults and waits until every job has ended.
func (h *harness) settle() {
	h.t.Helper()
	w := h.w
	w.Heal()
	w.StopFaults()
	for _, c := range w.Controls {
		c.Start()
	}
	for _, a := range w.Agents {
		a.Leaving = false
		a.Recover()
	}
	if !w.Await(2*time.Hour, h.allEnded) {
		h.t.Fatalf("got unfinished jobs: %s", h.describeUnfinished())
	}
}

func (h *harness) allEnded() bool {
	l := h.w.Leader()
	if l == nil {
		return false
	}
	for _, s := range h.submissions {
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

// describeUnfinished returns the leader's explanations of the jobs that haven't ended, and the workers, for the
// failure message.
func (h *harness) describeUnfinished() string {
	text := ""
	ask := func(q hsmessage.Query) {
		h.w.Entry.Do(hsmessage.Request{Query: &q}, func(r hsmessage.Reply) {
			if r.View == nil {
				return
			}
			if e := r.View.Explain; e != nil {
				text += fmt.Sprintf("\n%s %s %s: %s %v %v", e.Job.ID, e.Job.Kind, e.Job.Shape, e.Summary, e.Obstacles, e.Candidates)
			}
			text += fmt.Sprintf("\n%+v", r.View.Workers)
		})
		h.w.Run(time.Second)
	}
	if l := h.w.Leader(); l != nil {
		for _, j := range l.State().Jobs {
			if j.Phase != hsstate.Finished {
				ask(hsmessage.Query{Kind: hsmessage.QueryExplain, Job: j.ID})
			}
		}
	}
	ask(hsmessage.Query{Kind: hsmessage.QueryWorkers})
	return text
}

// runsOfJob returns the recorded runs of a job.
func (h *harness) runsOfJob(id hsid.JobID) []*play.Run {
	var runs []*play.Run
	for _, r := range h.w.Runs {
		if r.Grant.Job == id {
			runs = append(runs, r)
		}
	}
	return runs
}

// checkAnswers compares the replies to callers with the recorded runs. It is called after settle.
func (h *harness) checkAnswers() {
	h.t.Helper()
	jobs := h.w.Leader().State().Jobs
	for _, s := range h.submissions {
		if s.reply.Job == nil {
			continue
		}
		id := s.reply.Job.ID
		j := jobs[id]
		switch {
		case j == nil && s.reply.Status == hsmessage.StatusRefused:
			if n := len(h.runsOfJob(id)); n > 0 {
				h.t.Fatalf("job %s: got %d runs of a refused job, want none", id, n)
			}
		case j == nil:
			h.t.Fatalf("job %s: got no job in the state after the reply %s", id, s.reply.Status)
		default:
			h.checkJob(j)
		}
	}
}

// checkJob checks that a job's outcome agrees with its recorded runs.
func (h *harness) checkJob(j *hsstate.Job) {
	h.t.Helper()
	runs := h.runsOfJob(j.ID)
	grants := map[hsid.Grant]int{}
	done := map[int]int{}
	for _, r := range runs {
		grants[r.Grant]++
		if r.Grant == j.Grant && r.Outcome == hsmessage.TaskDone {
			done[r.Rank]++
		}
	}
	if j.Once && (len(grants) > 1 || len(runs) > int(j.Spec.Shape.Workers)) {
		h.t.Fatalf("job %s, which may run only once: got %d runs under %d grants", j.ID, len(runs), len(grants))
	}
	switch {
	case j.Outcome == hsstate.Answered && len(done) != int(j.Spec.Shape.Workers):
		h.t.Fatalf("job %s answered: got %d members done, want %d", j.ID, len(done), j.Spec.Shape.Workers)
	case j.Outcome == hsstate.Answered && string(j.Answer) != j.Grant.String():
		h.t.Fatalf("job %s: got answer %q, want %q", j.ID, j.Answer, j.Grant)
	case !j.Ran && j.Outcome != hsstate.Answered && len(runs) > 0:
		h.t.Fatalf("job %s %s as not run: got %d runs, want none", j.ID, j.Outcome, len(runs))
	case j.Outcome == hsstate.NotRun && j.Ran:
		h.t.Fatalf("job %s: got notRun for a job that ran", j.ID)
	}
}

// checkGuarantees fills the workers with batch jobs of a workspace without guarantees, and then claims each guarantee
// that the leader reports as backed. The job must start within the guaranteed time.
func (h *harness) checkGuarantees() {
	h.t.Helper()
	h.w.Run(30 * time.Second)
	for range 24 {
		h.serial++
		spec := hsstate.Spec{Workspace: "d", Kind: "batch", Shape: shapes[h.serial%3], Class: hsstate.Batch, Key: hsid.IdempotencyKey(fmt.Sprintf("fill%d", h.serial))}
		if h.serial%4 == 0 {
			spec.Kind = "stubborn"
		}
		h.submit(spec)
	}
	h.w.Run(5 * time.Second)
	backed := h.backed()
	for i := range backed {
		g := &backed[i]
		var id hsid.JobID
		h.serial++
		began := h.w.Now()
		spec := hsstate.Spec{Workspace: g.Workspace, Kind: "check", Shape: g.Shape, Class: hsstate.Urgent, Key: hsid.IdempotencyKey(fmt.Sprintf("claim%d", h.serial))}
		h.w.Entry.Submit(spec, func(r hsmessage.Reply) { id = r.Job.ID })
		started := h.w.Await(time.Minute, func() bool { return len(h.runsOfJob(id)) == int(g.Shape.Workers) })
		if took := h.w.Now() - began; !started || took > g.Within {
			h.t.Fatalf("guarantee %s %s: got %s until its start, want %s", g.Workspace, g.Shape, took, g.Within)
		}
	}
}

// backed returns the guarantees that the leader reports as backed.
func (h *harness) backed() []hsstate.Guarantee {
	var backed []hsstate.Guarantee
	h.w.Entry.Do(hsmessage.Request{Query: &hsmessage.Query{Kind: hsmessage.QueryStatus}}, func(r hsmessage.Reply) {
		for i, g := range r.View.Status.Guarantees {
			if g.Backed {
				backed = append(backed, h.w.Leader().State().Rules.InForce.Guarantees[i])
			}
		}
	})
	h.w.Run(time.Second)
	return backed
}

// TestStateful submits jobs under random failures, and then checks the answers, the number of runs and the
// guarantees.
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
				h := newHarness(t, tt.workers)
				for range rapid.IntRange(10, 120).Draw(t, "steps") {
					h.step()
				}
				h.settle()
				h.checkAnswers()
				h.checkGuarantees()
				h.checkInvariants()
			})
		})
	}
}
