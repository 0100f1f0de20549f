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

// request is one line of a caller's own book.
type request struct {
	key  string
	body string
	want string
	id   string
	// refused is set when the last answer was that it isn't run.
	refused bool
}

// load submits jobs from several callers until stopped. Every caller keeps trying with the same key until it
// is told something definite.
type load struct {
	b       *bed
	stop    atomic.Bool
	callers sync.WaitGroup
	mutex   sync.Mutex
	book    []*request
}

func startLoad(b *bed, callers int) *load {
	l := &load{b: b}
	for c := range callers {
		l.callers.Go(func() {
			for n := 0; !l.stop.Load(); n++ {
				l.call(c, n)
			}
		})
	}
	return l
}

func (l *load) call(c, n int) {
	r := &request{key: fmt.Sprintf("c%d-%d", c, n)}
	r.want = "answer-" + r.key
	kind, shape := "order", "1x1worker"
	switch n % 3 {
	case 1:
		kind = "counterCheck"
	case 2:
		shape = "2x2workers"
	}
	r.body = job(kind, shape, "normal", "sleep=60ms answer="+r.want)
	l.mutex.Lock()
	l.book = append(l.book, r)
	l.mutex.Unlock()
	host := []int{entry1, entry2}[(c+n)%2]
	for tries := 0; tries < 400; tries++ {
		ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
		a := l.b.askFor(ctx, host, "POST", "/v1/jobs", r.body, r.key)
		cancel()
		host = entry1 + entry2 - host
		var accepted struct {
			ID string `json:"id"`
		}
		r.refused = a.outcome == "notRun"
		if (a.status == 200 || a.status == 202) && json.Unmarshal(a.body, &accepted) == nil {
			r.id = accepted.ID
			return
		}
		time.Sleep(20 * time.Millisecond)
	}
}

// settle stops the callers and compares their books with those of the endpoints.
func (l *load) settle(t *testing.T) {
	t.Helper()
	l.stop.Store(true)
	l.callers.Wait()
	runs := map[string][]standin.Run{}
	for _, r := range l.book {
		if r.id == "" && !r.refused {
			t.Fatalf("request %s: got no definite answer", r.key)
		}
	}
	answered := 0
	ended := map[string]hsview.Job{}
	for _, r := range l.book {
		if r.id != "" {
			ended[r.id] = l.b.finished(entry1, r.id)
		}
	}
	for _, x := range l.b.runs() {
		id := string(x.Grant.Job)
		runs[id] = append(runs[id], x)
	}
	for _, r := range l.book {
		j := ended[r.id]
		switch {
		case r.id == "":
		case j.Outcome == "answered":
			answered++
			if string(j.Answer) != r.want {
				t.Errorf("request %s: got answer %q, want %q", r.key, j.Answer, r.want)
			}
		case j.Outcome == "notRun" || j.Outcome == "cancelled" && !j.Ran:
			if n := len(runs[r.id]); n > 0 {
				t.Errorf("request %s refused as not run: got %d runs, want none", r.key, n)
			}
		}
		checkRuns(t, r, j, runs[r.id])
	}
	t.Logf("%d requests, %d answered", len(l.book), answered)
	if answered == 0 {
		t.Errorf("got no answers at all")
	}
}

// checkRuns checks that an order ran at most once, and that an answered job ran whole under one grant.
func checkRuns(t *testing.T, r *request, j hsview.Job, runs []standin.Run) {
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

// TestLoad plays failures under load and compares the callers' books with the endpoints'.
func TestLoad(t *testing.T) {
	tables := []struct {
		name string
		play func(b *bed)
	}{
		{"an agent killed and started again", func(b *bed) { b.restart("agent-1") }},
		{"an entry killed and started again", func(b *bed) { b.restart("entry-1") }},
		{"the leader killed and started again", func(b *bed) {
			b.restart(fmt.Sprintf("control-%d", b.leader(entry2)))
		}},
		{"the leader and an agent killed at once", func(b *bed) {
			leader := fmt.Sprintf("control-%d", b.leader(entry2))
			b.kill(b.processes[leader])
			b.kill(b.processes["agent-2"])
			time.Sleep(500 * time.Millisecond)
			b.start(b.processes["agent-2"])
			b.start(b.processes[leader])
		}},
		{"an endpoint lost with its agent, and back", func(b *bed) {
			e := b.endpoints["agent-3"]
			b.kill(b.processes["agent-3"])
			e.Close()
			b.runsGone = append(b.runsGone, e.Runs()...)
			delete(b.endpoints, "agent-3")
			time.Sleep(500 * time.Millisecond)
			b.worker(3, standin.Config{Rack: "rack-2"})
		}},
		{"connections to the leader silent for good", func(b *bed) {
			b.proxies[fmt.Sprintf("control-%d", b.leader(entry2))].Silence()
		}},
		{"the leader cut off for three seconds", func(b *bed) {
			b.isolate(b.leader(entry2))
			time.Sleep(3 * time.Second)
			b.heal()
		}},
		{"a rolling restart of every process", func(b *bed) {
			for _, name := range []string{"control-1", "control-2", "control-3", "entry-1", "entry-2", "agent-1", "agent-2", "agent-3", "agent-4"} {
				b.stop(b.processes[name])
				b.start(b.processes[name])
				if name[0] == 'c' {
					b.await("replicas whole", func() bool { return b.voters(entry1) == 3 && b.allAlive() })
				}
			}
		}},
	}
	for i, tt := range tables {
		t.Run(tt.name, func(t *testing.T) {
			t.Parallel()
			b := newBed(t, 130+i, 3)
			b.extra = "runLease = \"5s\"\n"
			b.cluster(2)
			for w := 1; w <= 4; w++ {
				b.worker(w, standin.Config{Rack: []hsid.RackID{"", "rack-1", "rack-1", "rack-2", "rack-2"}[w]})
			}
			b.push(entry1, 1)
			b.await("agents ready", func() bool { return b.ready(21) && b.ready(22) && b.ready(23) && b.ready(24) })
			l := startLoad(b, 4)
			time.Sleep(700 * time.Millisecond)
			tt.play(b)
			time.Sleep(700 * time.Millisecond)
			l.settle(t)
		})
	}
}

// restart kills a process, leaves it down for a moment, and starts it again.
func (b *bed) restart(name string) {
	b.t.Helper()
	b.kill(b.processes[name])
	time.Sleep(300 * time.Millisecond)
	b.start(b.processes[name])
}

func (b *bed) allAlive() bool {
	for _, m := range b.members(entry1).Members {
		if !m.Alive || !m.CaughtUp {
			return false
		}
	}
	return true
}

// TestLeaving has an endpoint say under load that it leaves, and counts the starts that reach it after two
// seconds.
func TestLeaving(t *testing.T) {
	t.Parallel()
	b := newBed(t, 140, 1)
	b.control(1, true)
	b.entry(1)
	b.entry(2)
	b.worker(1, standin.Config{})
	b.worker(2, standin.Config{})
	b.push(entry1, 1)
	l := startLoad(b, 4)
	b.await("both endpoints used", func() bool {
		return len(b.endpoints["agent-1"].Runs()) > 0 && len(b.endpoints["agent-2"].Runs()) > 0
	})
	if err := b.endpoints["agent-1"].Leave(); err != nil {
		t.Fatal(err)
	}
	time.Sleep(2 * time.Second)
	before := len(b.endpoints["agent-1"].Runs())
	other := len(b.endpoints["agent-2"].Runs())
	b.await("work goes on elsewhere", func() bool { return len(b.endpoints["agent-2"].Runs()) > other+5 })
	if got := len(b.endpoints["agent-1"].Runs()) - before; got != 0 {
		t.Errorf("got %d starts on an endpoint that left two seconds ago, want none", got)
	}
	l.settleSmall(t)
}

// settleSmall is settle for a fleet that can't run the load's gangs any more: those are cancelled.
func (l *load) settleSmall(t *testing.T) {
	t.Helper()
	l.stop.Store(true)
	l.callers.Wait()
	for _, r := range l.book {
		if r.id != "" {
			l.b.ask(entry1, "DELETE", "/v1/jobs/"+r.id, "", "")
		}
	}
	l.settle(t)
}
