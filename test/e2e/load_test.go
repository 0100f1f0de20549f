package e2e

import (
	"context"
	"encoding/json"
	"fmt"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"hyssopseam/core/hsid"
	"hyssopseam/core/hsmessage"
	"hyssopseam/core/hsview"
	"hyssopseam/internal/standin"
)

// submission is a job that a caller submitted, with the answer that it expects. The id is empty until it is accepted.
type submission struct {
	key        string
	body       string
	wantAnswer string
	id         string
	// notRun is set if the last response had the outcome notRun.
	notRun bool
}

// loadGenerator submits jobs from several callers until it is stopped. Each caller repeats a submission with the same
// idempotency key, up to 400 times, until it is accepted.
type loadGenerator struct {
	d           *deployment
	stop        atomic.Bool
	callers     sync.WaitGroup
	mutex       sync.Mutex
	submissions []*submission
}

func startLoad(d *deployment, callers int) *loadGenerator {
	l := &loadGenerator{d: d}
	for c := range callers {
		l.callers.Go(func() {
			for n := 0; !l.stop.Load(); n++ {
				l.submitOne(c, n)
			}
		})
	}
	return l
}

func (l *loadGenerator) submitOne(c, n int) {
	r := &submission{key: fmt.Sprintf("c%d-%d", c, n)}
	r.wantAnswer = "answer-" + r.key
	kind, shape := "order", "1x1worker"
	switch n % 3 {
	case 1:
		kind = "counterCheck"
	case 2:
		shape = "2x2workers"
	}
	r.body = job(kind, shape, "normal", "sleep=60ms answer="+r.wantAnswer)
	l.mutex.Lock()
	l.submissions = append(l.submissions, r)
	l.mutex.Unlock()
	host := []int{entry1, entry2}[(c+n)%2]
	for tries := 0; tries < 400; tries++ {
		ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
		a := l.d.doContext(ctx, host, "POST", "/v1/jobs", r.body, r.key)
		cancel()
		host = entry1 + entry2 - host
		var accepted struct {
			ID string `json:"id"`
		}
		r.notRun = a.outcome == "notRun"
		if (a.status == 200 || a.status == 202) && json.Unmarshal(a.body, &accepted) == nil {
			r.id = accepted.ID
			return
		}
		time.Sleep(20 * time.Millisecond)
	}
}

// stopAndCheck stops the callers and compares the answers that they got with the runs that the endpoints recorded.
func (l *loadGenerator) stopAndCheck(t *testing.T) {
	t.Helper()
	l.stop.Store(true)
	l.callers.Wait()
	runs := map[string][]standin.Run{}
	for _, r := range l.submissions {
		if r.id == "" && !r.notRun {
			t.Fatalf("request %s: got no definite answer", r.key)
		}
	}
	answered := 0
	jobs := map[string]hsview.Job{}
	for _, r := range l.submissions {
		if r.id != "" {
			jobs[r.id] = l.d.waitForJob(entry1, r.id)
		}
	}
	for _, x := range l.d.runs() {
		id := string(x.Grant.Job)
		runs[id] = append(runs[id], x)
	}
	for _, r := range l.submissions {
		j := jobs[r.id]
		switch {
		case r.id == "":
		case j.Outcome == "answered":
			answered++
			if string(j.Answer) != r.wantAnswer {
				t.Errorf("request %s: got answer %q, want %q", r.key, j.Answer, r.wantAnswer)
			}
		case j.Outcome == "notRun" || j.Outcome == "cancelled" && !j.Ran:
			if n := len(runs[r.id]); n > 0 {
				t.Errorf("request %s refused as not run: got %d runs, want none", r.key, n)
			}
		}
		checkRuns(t, r, j, runs[r.id])
	}
	t.Logf("%d requests, %d answered", len(l.submissions), answered)
	if answered == 0 {
		t.Errorf("got no answers at all")
	}
}

// checkRuns checks that an order for one worker ran at most once, and that all members of an answered job ran to
// their end.
func checkRuns(t *testing.T, r *submission, j hsview.Job, runs []standin.Run) {
	t.Helper()
	if j.Kind == "order" && j.Shape == "1x1worker" && len(runs) > 1 {
		t.Errorf("order %s: got %d runs, want at most 1", r.key, len(runs))
	}
	if j.Outcome != "answered" {
		return
	}
	done := map[int]int{}
	for _, x := range runs {
		if x.Outcome == hsmessage.TaskDone {
			done[x.Rank]++
		}
	}
	want := 1
	if j.Shape == "2x2workers" {
		want = 2
	}
	if len(done) != want {
		t.Errorf("request %s answered: got %d members done, want %d", r.key, len(done), want)
	}
}

// TestLoad checks that failures under load lose no accepted job, run no order twice and mix up no answers.
func TestLoad(t *testing.T) {
	tables := []struct {
		name   string
		inject func(d *deployment)
	}{
		{"an agent killed and started again", func(d *deployment) { d.restart("agent-1") }},
		{"an entry killed and started again", func(d *deployment) { d.restart("entry-1") }},
		{"the leader killed and started again", func(d *deployment) {
			d.restart(fmt.Sprintf("control-%d", d.waitForLeader(entry2)))
		}},
		{"the leader and an agent killed at once", func(d *deployment) {
			leader := fmt.Sprintf("control-%d", d.waitForLeader(entry2))
			d.kill(d.processes[leader])
			d.kill(d.processes["agent-2"])
			time.Sleep(500 * time.Millisecond)
			d.start(d.processes["agent-2"])
			d.start(d.processes[leader])
		}},
		{"an endpoint lost with its agent, and back", func(d *deployment) {
			e := d.endpoints["agent-3"]
			d.kill(d.processes["agent-3"])
			e.Close()
			d.formerRuns = append(d.formerRuns, e.Runs()...)
			delete(d.endpoints, "agent-3")
			time.Sleep(500 * time.Millisecond)
			d.startWorker(3, standin.Config{Rack: "rack-2"})
		}},
		{"connections to the leader silent for good", func(d *deployment) {
			d.proxies[fmt.Sprintf("control-%d", d.waitForLeader(entry2))].FreezeOpen()
		}},
		{"the leader cut off for three seconds", func(d *deployment) {
			d.isolate(d.waitForLeader(entry2))
			time.Sleep(3 * time.Second)
			d.heal()
		}},
		{"a rolling restart of every process", func(d *deployment) {
			for _, name := range []string{"control-1", "control-2", "control-3", "entry-1", "entry-2", "agent-1", "agent-2", "agent-3", "agent-4"} {
				d.stop(d.processes[name])
				d.start(d.processes[name])
				if name[0] == 'c' {
					d.waitFor("replicas caught up", func() bool { return d.voters(entry1) == 3 && d.allCaughtUp() })
				}
			}
		}},
	}
	for i, tt := range tables {
		t.Run(tt.name, func(t *testing.T) {
			t.Parallel()
			d := newDeployment(t, 130+i, 3)
			d.controlSettings = "runLease = \"5s\"\n"
			d.startCluster(2)
			for w := 1; w <= 4; w++ {
				d.startWorker(w, standin.Config{Rack: []hsid.RackID{"", "rack-1", "rack-1", "rack-2", "rack-2"}[w]})
			}
			d.pushRules(entry1, 1)
			d.waitFor("agents ready", func() bool { return d.ready(21) && d.ready(22) && d.ready(23) && d.ready(24) })
			l := startLoad(d, 4)
			time.Sleep(700 * time.Millisecond)
			tt.inject(d)
			time.Sleep(700 * time.Millisecond)
			l.stopAndCheck(t)
		})
	}
}

// restart kills a process and starts it again after 300 ms.
func (d *deployment) restart(name string) {
	d.t.Helper()
	d.kill(d.processes[name])
	time.Sleep(300 * time.Millisecond)
	d.start(d.processes[name])
}

func (d *deployment) allCaughtUp() bool {
	for _, m := range d.members(entry1).Members {
		if !m.Alive || !m.CaughtUp {
			return false
		}
	}
	return true
}

// TestLeaving checks that an endpoint that announced under load that it is leaving gets no starts from two seconds
// later on.
func TestLeaving(t *testing.T) {
	t.Parallel()
	d := newDeployment(t, 140, 1)
	d.startControl(1, true)
	d.startEntry(1)
	d.startEntry(2)
	d.startWorker(1, standin.Config{})
	d.startWorker(2, standin.Config{})
	d.pushRules(entry1, 1)
	l := startLoad(d, 4)
	d.waitFor("both endpoints used", func() bool {
		return len(d.endpoints["agent-1"].Runs()) > 0 && len(d.endpoints["agent-2"].Runs()) > 0
	})
	if err := d.endpoints["agent-1"].Leave(); err != nil {
		t.Fatal(err)
	}
	time.Sleep(2 * time.Second)
	before := len(d.endpoints["agent-1"].Runs())
	other := len(d.endpoints["agent-2"].Runs())
	d.waitFor("jobs run on the other endpoint", func() bool { return len(d.endpoints["agent-2"].Runs()) > other+5 })
	if got := len(d.endpoints["agent-1"].Runs()) - before; got != 0 {
		t.Errorf("got %d starts on an endpoint that left two seconds ago, want none", got)
	}
	l.cancelAndCheck(t)
}

// cancelAndCheck is stopAndCheck for a fleet that can't run the gangs of the load any more. It cancels all jobs
// first.
func (l *loadGenerator) cancelAndCheck(t *testing.T) {
	t.Helper()
	l.stop.Store(true)
	l.callers.Wait()
	for _, r := range l.submissions {
		if r.id != "" {
			l.d.do(entry1, "DELETE", "/v1/jobs/"+r.id, "", "")
		}
	}
	l.stopAndCheck(t)
}
