package main

import (
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"slices"
	"strings"
	"sync"
	"time"
)

// run is one run of a task on a worker.
type run struct {
	task   string
	number int
	worker string
	began  time.Time
	// ended is zero and how is empty while it goes on.
	ended time.Time
	how   string
	// noted is set once lastSeen has reached the end of the run. No lease lapses between the two in the case that reads it.
	noted bool
}

func (r *run) String() string { return fmt.Sprintf("%s/%d on %s", r.task, r.number, r.worker) }

// runLog holds the runs of all workers.
type runLog struct {
	record *record
	mutex  sync.Mutex
	runs   []*run
}

func (l *runLog) add(r *run) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	l.runs = append(l.runs, r)
	l.record.add("run begins: %s", r)
}

func (l *runLog) end(r *run, how string) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	r.ended, r.how = time.Now(), how
	l.record.add("run ends: %s, %s", r, how)
}

// note records that lastSeen has reached the end of a run.
func (l *runLog) note(r *run, number, lastSeen int) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	r.noted = true
	l.record.add("end %d, of %s, is taken note of by lastSeen %d", number, r, lastSeen)
}

// of returns copies of the runs whose tasks have a prefix.
func (l *runLog) of(prefix string) []run {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	var found []run
	for _, r := range l.runs {
		if strings.HasPrefix(r.task, prefix) {
			found = append(found, *r)
		}
	}
	return found
}

// workSpread is by how much the times of runs of the same work differ.
const workSpread = 10 * time.Millisecond

// worker is a simulated worker that follows the pages.
type worker struct {
	id, address, agent, service string
	labels                      []string
	runs                        *runLog
	record                      *record
	// work is how long a task works, by the identifier of its job; zero for one that lasts. Each run takes up to workSpread more.
	work func(job string) time.Duration

	mutex    sync.Mutex
	born     time.Time
	sequence int
	state    string
	running  map[string]*run
	listed   []listedEnd
	ends     int
	stopped  map[string]int
	fence    uint64
	deadline int64
	// odd holds the entries that another writer left in the list of ends.
	odd     []oddEntry
	changed chan struct{}
	closed  chan struct{}
}

type listedEnd struct {
	number int
	run    *run
}

// oddEntry is an entry of another writer, as JSON, with its number.
type oddEntry struct {
	number int
	text   string
}

type call struct {
	Task       string `json:"task"`
	Run        int    `json:"run"`
	Token      uint64 `json:"-"`
	DeadlineMS int64  `json:"deadlineMs"`
	LastSeen   int    `json:"lastSeen"`
	WaitMS     int64  `json:"waitMs"`
}

// decodeCall decodes the body of a call.
func decodeCall(r io.Reader) (call, error) {
	var c call
	body, err := io.ReadAll(r)
	if err != nil {
		return c, err
	}
	var fields map[string]json.RawMessage
	if err := json.Unmarshal(body, &fields); err != nil {
		return c, err
	}
	if token, ok := fields[wire.Token]; ok {
		if err := json.Unmarshal(token, &c.Token); err != nil {
			return c, err
		}
	}
	return c, json.Unmarshal(body, &c)
}

// startWorker starts a worker beside an agent. It sends no heartbeats yet.
func startWorker(d *deployment, l *runLog, index int, labels []string, work func(job string) time.Duration) (*worker, error) {
	w := &worker{
		id: fmt.Sprintf("i-%04x", 0x7f30+index), address: d.address(agentHost(index), workerPort), agent: d.address(agentHost(index), controlPort),
		service: serviceName, labels: labels, runs: l, record: l.record, work: work,
		born: time.Now(), state: "ready", running: map[string]*run{}, stopped: map[string]int{},
		changed: make(chan struct{}), closed: make(chan struct{}),
	}
	mux := http.NewServeMux()
	mux.HandleFunc("POST "+wire.RunStart, w.handle(w.start))
	mux.HandleFunc("POST "+wire.RunStop, w.handle(w.stop))
	mux.HandleFunc("POST "+wire.Hold, w.handle(w.hold))
	mux.HandleFunc("POST "+wire.Pace, w.handle(func(call, *http.Request) (int, map[string]any) { return http.StatusOK, map[string]any{} }))
	mux.HandleFunc("GET /health", func(out http.ResponseWriter, _ *http.Request) { out.WriteHeader(http.StatusOK) })
	failed := make(chan error, 1)
	go func() { failed <- http.ListenAndServe(w.address, mux) }()
	select {
	case err := <-failed:
		return nil, err
	case <-time.After(50 * time.Millisecond):
	}
	go w.watchLease()
	return w, nil
}

// clock is the worker's steady clock in milliseconds.
func (w *worker) clock() int64 { return time.Since(w.born).Milliseconds() + 1 }

// handle checks the incarnation that a call is meant for, and answers it.
func (w *worker) handle(serve func(c call, r *http.Request) (int, map[string]any)) http.HandlerFunc {
	return func(out http.ResponseWriter, r *http.Request) {
		c, err := decodeCall(r.Body)
		if err != nil {
			out.WriteHeader(http.StatusBadRequest)
			return
		}
		if expected := r.Header.Get("Expect-Instance"); expected != "" && expected != w.id {
			out.WriteHeader(http.StatusMisdirectedRequest)
			return
		}
		status, fields := serve(c, r)
		fields["clockMs"], fields["born"] = w.clock(), w.born.UnixMilli()
		body, err := json.Marshal(fields)
		if err != nil {
			panic(err)
		}
		out.Header().Set("Content-Type", "application/json")
		out.WriteHeader(status)
		_, _ = out.Write(body)
	}
}

// accept takes over the fencing token and the deadline of a call, shortened to the longest lease. It returns false for a
// lower token than was seen before.
func (w *worker) accept(c call) bool {
	if c.Token < w.fence {
		return false
	}
	w.fence = c.Token
	w.deadline = max(w.deadline, min(c.DeadlineMS, w.clock()+maxHold.Milliseconds()))
	return true
}

func refuse(reason string) (int, map[string]any) {
	return http.StatusConflict, map[string]any{"reason": reason}
}

func (w *worker) start(c call, _ *http.Request) (int, map[string]any) {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	switch present := w.running[c.Task]; {
	case !w.accept(c):
		return refuse("fence")
	case present != nil && present.number == c.Run:
		return http.StatusOK, map[string]any{}
	case present != nil || c.Run <= w.stopped[c.Task]:
		return refuse("old")
	case c.DeadlineMS <= w.clock():
		return refuse("late")
	}
	r := &run{task: c.Task, number: c.Run, worker: w.id, began: time.Now()}
	w.running[c.Task] = r
	w.runs.add(r)
	job, _, _ := strings.Cut(c.Task, ".")
	if work := w.work(job); work > 0 {
		time.AfterFunc(work+rand.N(workSpread), func() {
			w.mutex.Lock()
			defer w.mutex.Unlock()
			w.end(r, "done")
		})
	}
	return http.StatusOK, map[string]any{}
}

// end ends a run, unless it has ended, and lists its end. The caller holds the mutex.
func (w *worker) end(r *run, how string) {
	if w.running[r.task] != r {
		return
	}
	delete(w.running, r.task)
	w.stopped[r.task] = max(w.stopped[r.task], r.number)
	w.ends++
	w.listed = append(w.listed, listedEnd{w.ends, r})
	w.runs.end(r, how)
	close(w.changed)
	w.changed = make(chan struct{})
}

func (w *worker) stop(c call, _ *http.Request) (int, map[string]any) {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	if !w.accept(c) {
		return refuse("fence")
	}
	if r := w.running[c.Task]; r != nil && r.number <= c.Run {
		w.end(r, "stopped")
	}
	w.stopped[c.Task] = max(w.stopped[c.Task], c.Run)
	return http.StatusOK, map[string]any{}
}

func (w *worker) hold(c call, r *http.Request) (int, map[string]any) {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	if !w.accept(c) {
		return refuse("fence")
	}
	w.forget(c.LastSeen)
	if c.WaitMS > 0 && len(w.listed) == 0 {
		changed := w.changed
		w.mutex.Unlock()
		select {
		case <-changed:
		case <-r.Context().Done():
		case <-time.After(time.Duration(c.WaitMS) * time.Millisecond):
		}
		w.mutex.Lock()
	}
	running, ended := [][]any{}, []any{}
	for _, x := range w.running {
		running = append(running, []any{x.task, x.number, "", w.percent(x), 500})
	}
	for _, e := range w.listed[:min(len(w.listed), 500)] {
		ended = append(ended, []any{e.number, e.run.task, e.run.number, e.run.how, ""})
	}
	for _, o := range w.odd {
		ended = append(ended, json.RawMessage(o.text))
	}
	return http.StatusOK, map[string]any{"running": running, "ended": ended}
}

// forget drops the listed ends up to lastSeen, which the system has taken note of. The caller holds the mutex.
func (w *worker) forget(lastSeen int) {
	w.listed = slices.DeleteFunc(w.listed, func(e listedEnd) bool {
		if e.number <= lastSeen {
			w.runs.note(e.run, e.number, lastSeen)
		}
		return e.number <= lastSeen
	})
	w.odd = slices.DeleteFunc(w.odd, func(o oddEntry) bool { return o.number <= lastSeen })
}

// leaveOddEnd adds an entry of another writer to the list of ends.
func (w *worker) leaveOddEnd(o oddEntry) {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	w.odd = append(w.odd, o)
	w.record.add("entry of another writer in the ends of %s: %s", w.id, o.text)
}

func (w *worker) percent(r *run) int {
	job, _, _ := strings.Cut(r.task, ".")
	work := w.work(job)
	if work == 0 {
		return 100
	}
	return min(int(100*time.Since(r.began)/work), 99)
}

// watchLease ends all runs when the lease expires.
func (w *worker) watchLease() {
	for {
		select {
		case <-w.closed:
			return
		case <-time.After(5 * time.Millisecond):
		}
		w.mutex.Lock()
		if w.clock() >= w.deadline {
			for _, r := range w.running {
				w.end(r, "lapsed")
			}
		}
		w.mutex.Unlock()
	}
}

// heartbeat returns the body of the next heartbeat.
func (w *worker) heartbeat() map[string]any {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	w.sequence++
	return map[string]any{
		"service": w.service, "address": w.address, "zone": "adum", "version": "v1", "slots": 8, "state": w.state, wire.Cold: 0,
		"capacity": map[string]any{"cpu": 32000, "memMb": 131072, "gpu": 8}, "labels": w.labels, "clockMs": w.clock(), "sequence": w.sequence, "born": w.born.UnixMilli(),
	}
}

// send sends one heartbeat to the agent and returns the status, or 0 without an answer.
func (w *worker) send(body map[string]any) int {
	text, err := json.Marshal(body)
	if err != nil {
		panic(err)
	}
	client := http.Client{Timeout: time.Second}
	response, err := client.Post("http://"+w.agent+wire.Instances+w.id+"/heartbeat", "application/json", strings.NewReader(string(text)))
	if err != nil {
		return 0
	}
	_ = response.Body.Close()
	return response.StatusCode
}

// beat sends a heartbeat at once and then one each heartbeatInterval.
func (w *worker) beat() {
	began := time.Now()
	for n := 1; ; n++ {
		body := w.heartbeat()
		w.record.add("heartbeat of %s: state %s, sequence %d: %d", w.id, body["state"], body["sequence"], w.send(body))
		select {
		case <-w.closed:
			return
		case <-time.After(time.Until(began.Add(time.Duration(n) * heartbeatInterval))):
		}
	}
}

// sendOdd sends one heartbeat of another writer, which names this worker.
func (w *worker) sendOdd(change func(body map[string]any)) {
	body := w.heartbeat()
	w.mutex.Lock()
	w.sequence--
	w.mutex.Unlock()
	change(body)
	text, _ := json.Marshal(body)
	w.record.add("heartbeat of another writer for %s: %s: %d", w.id, text, w.send(body))
}
