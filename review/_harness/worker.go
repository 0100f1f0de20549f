package main

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

const (
	heartbeatInterval = 1500 * time.Millisecond
	heartbeatTimeout  = time.Second
	maxHold           = 10 * time.Second
	drainTimeout      = 2 * time.Second
	workerGPUs        = 8
	// farMultiplier is how many times as long a task takes off the rack of its data.
	farMultiplier = 3
	// lasts is the work of a task that runs until it is stopped; it is at work after startupTime.
	lasts       = time.Duration(1<<63 - 1)
	startupTime = 300 * time.Millisecond
)

// worker is one life of a worker: it runs tasks as the pages say. The spec of a task says how long it takes; see workOf.
type worker struct {
	id, address, agent string
	labels             []string
	record             *record
	runs               *runs
	born               time.Time
	server             *http.Server
	// client keeps its connection to the side machine open between calls.
	client *http.Client
	closed chan struct{}
	// refusing makes the worker answer starts with 503, as an unhealthy one does.
	refusing atomic.Bool
	// draining makes the worker announce that it leaves.
	draining atomic.Bool
	// leaving ends the heartbeats, as the worker is about to deregister. calls is held by the heartbeat under way.
	leaving atomic.Bool
	calls   sync.Mutex

	mutex    sync.Mutex
	dead     bool
	sequence int
	running  map[string]*taskRun
	ended    []end
	ends     int
	// highest is the highest run of each task that was stopped or has ended.
	highest  map[string]int
	fence    uint64
	deadline int64
	changed  chan struct{}
}

type taskRun struct {
	task       string
	number     int
	began      time.Time
	work       time.Duration
	checkpoint string
}

type end struct {
	number int
	task   string
	run    int
	how    string
}

// runs counts the runs of each task that are at work, on all workers.
type runs struct {
	mutex   sync.Mutex
	active  map[string]int
	started map[string]int
	// twice holds the tasks of which two runs were at work at the same time.
	twice []string
	// gpus holds what each task of a job needs, where that isn't 1.
	gpus map[string]int
}

func newRuns() *runs {
	return &runs{active: map[string]int{}, started: map[string]int{}, gpus: map[string]int{}}
}

// gpusOf returns what a task needs.
func (r *runs) gpusOf(task string) int {
	job, _, _ := strings.Cut(task, ".")
	return max(r.gpus[job], 1)
}

func (r *runs) change(task string, by int) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.active[task] += by
	if by > 0 {
		r.started[task]++
	}
	if by > 0 && r.active[task] > 1 {
		r.twice = append(r.twice, task)
	}
}

// activeOf and startsOf count the runs at work, and the starts, of the tasks of a job.
func (r *runs) activeOf(job string) int { return r.sum(r.active, job) }
func (r *runs) startsOf(job string) int { return r.sum(r.started, job) }

func (r *runs) sum(of map[string]int, job string) int {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	n := 0
	for task, c := range of {
		if strings.HasPrefix(task, job+".") {
			n += c
		}
	}
	return n
}

// startWorker starts a worker and its heartbeats.
func startWorker(id, address, agent string, labels []string, all *runs, r *record) (*worker, error) {
	return startWorkerBehind(id, address, address, agent, labels, all, r)
}

// startWorkerBehind starts a worker that listens on one address and is reached by another.
func startWorkerBehind(id, listen, address, agent string, labels []string, all *runs, r *record) (*worker, error) {
	w := &worker{
		id: id, address: address, agent: agent, labels: labels, record: r, runs: all, born: time.Now(), closed: make(chan struct{}),
		running: map[string]*taskRun{}, highest: map[string]int{}, changed: make(chan struct{}),
		client: &http.Client{Timeout: heartbeatTimeout, Transport: &http.Transport{MaxConnsPerHost: 1}},
	}
	l, err := net.Listen("tcp", listen)
	if err != nil {
		return nil, err
	}
	mux := http.NewServeMux()
	mux.HandleFunc(wire.StartRun, w.start)
	mux.HandleFunc(wire.StopRun, w.stop)
	mux.HandleFunc(wire.Hold, w.hold)
	mux.HandleFunc("GET /health", func(http.ResponseWriter, *http.Request) {})
	w.server = &http.Server{Handler: mux, ReadHeaderTimeout: time.Minute}
	go func() { _ = w.server.Serve(l) }()
	go w.beat()
	go w.watch()
	return w, nil
}

// crash ends the worker and all that it runs; it sends nothing any more.
func (w *worker) crash() {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	if w.dead {
		return
	}
	w.dead = true
	close(w.closed)
	for task, t := range w.running {
		w.record.add("%s: run %s/%d is lost, the worker is gone", w.id, task, t.number)
		w.runs.change(task, -1)
	}
	w.running = nil
	_ = w.server.Close()
}

func (w *worker) clock() int64 { return 1 + time.Since(w.born).Milliseconds() }

// beat sends heartbeats until the worker is gone.
func (w *worker) beat() {
	for {
		w.calls.Lock()
		if !w.leaving.Load() {
			w.sendHeartbeat()
		}
		w.calls.Unlock()
		select {
		case <-w.closed:
			return
		case <-time.After(heartbeatInterval):
		}
	}
}

// sendHeartbeat sends one heartbeat and reports whether it was acknowledged.
func (w *worker) sendHeartbeat() bool {
	w.mutex.Lock()
	w.sequence++
	fields := map[string]any{
		"service": "svc", "address": w.address, "zone": "z1", "version": "v1", "slots": 8, "state": "ready", wire.Cold: 0,
		"capacity": map[string]int{"cpu": 32000, "memMb": 131072, "gpu": workerGPUs}, "labels": w.labels,
		"clockMs": w.clock(), "sequence": w.sequence, "born": w.born.UnixMilli(),
	}
	w.mutex.Unlock()
	if w.draining.Load() {
		fields["state"] = "draining"
		fields[wire.DrainLeft] = drainTimeout.Milliseconds()
	}
	return w.tell("heartbeat", fields)
}

// stopHeartbeats ends the heartbeats, after the one under way.
func (w *worker) stopHeartbeats() {
	w.leaving.Store(true)
	w.calls.Lock()
	defer w.calls.Unlock()
}

// deregister says that the worker ends, and reports whether that was acknowledged.
func (w *worker) deregister() bool {
	return w.tell("deregister", map[string]any{"born": w.born.UnixMilli()})
}

// tell makes a call to the worker's own side machine and reports whether it was acknowledged.
func (w *worker) tell(what string, fields map[string]any) bool {
	body, err := json.Marshal(fields)
	if err != nil {
		return false
	}
	response, err := w.client.Post("http://"+w.agent+fmt.Sprintf(wire.TellSide, w.id, what), "application/json", bytes.NewReader(body))
	if err != nil {
		return false
	}
	defer func() { _ = response.Body.Close() }()
	_, _ = io.Copy(io.Discard, response.Body)
	return response.StatusCode/100 == 2
}

// watch ends runs whose work is done, and all runs when the lease expires.
func (w *worker) watch() {
	for {
		select {
		case <-w.closed:
			return
		case <-time.After(20 * time.Millisecond):
		}
		w.mutex.Lock()
		for task, t := range w.running {
			switch {
			case w.clock() >= w.deadline:
				w.finish(task, "lapsed")
			case time.Since(t.began) >= t.work:
				w.finish(task, "done")
			}
		}
		w.mutex.Unlock()
	}
}

func (w *worker) gpusInUse() int {
	n := 0
	for task := range w.running {
		n += w.runs.gpusOf(task)
	}
	return n
}

// finish lists the end of a run.
func (w *worker) finish(task, how string) {
	t := w.running[task]
	delete(w.running, task)
	w.highest[task] = max(w.highest[task], t.number)
	w.ends++
	w.ended = append(w.ended, end{w.ends, task, t.number, how})
	w.record.add("%s: run %s/%d ended: %s", w.id, task, t.number, how)
	w.runs.change(task, -1)
	close(w.changed)
	w.changed = make(chan struct{})
}

type callBody struct {
	Task         string `json:"task"`
	Run          int    `json:"run"`
	Spec         string `json:"spec"`
	FencingToken uint64 `json:"-"`
	DeadlineMS   int64  `json:"deadlineMs"`
	LastSeen     int    `json:"lastSeen"`
	WaitMS       int64  `json:"waitMs"`
}

// accept reads a call and applies its fencing token and deadline. When it doesn't hold for this worker, it answers the
// call and reports false.
func (w *worker) accept(out http.ResponseWriter, q *http.Request) (callBody, bool) {
	var c callBody
	var fields map[string]json.RawMessage
	content, err := io.ReadAll(q.Body)
	if err == nil {
		err = json.Unmarshal(content, &c)
	}
	if err == nil {
		err = json.Unmarshal(content, &fields)
	}
	if fence := fields[wire.Fence]; err == nil && fence != nil {
		err = json.Unmarshal(fence, &c.FencingToken)
	}
	if err != nil {
		w.answer(out, http.StatusBadRequest, nil)
		return c, false
	}
	if expected := q.Header.Get("Expect-Instance"); expected != "" && expected != w.id {
		w.answer(out, http.StatusMisdirectedRequest, nil)
		return c, false
	}
	if c.FencingToken < w.fence {
		w.answer(out, http.StatusConflict, map[string]any{"reason": "fence"})
		return c, false
	}
	w.fence = c.FencingToken
	w.deadline = max(w.deadline, min(c.DeadlineMS, w.clock()+maxHold.Milliseconds()))
	return c, true
}

func (w *worker) answer(out http.ResponseWriter, status int, fields map[string]any) {
	if fields == nil {
		fields = map[string]any{}
	}
	fields["clockMs"] = w.clock()
	fields["born"] = w.born.UnixMilli()
	out.Header().Set("Content-Type", "application/json")
	out.WriteHeader(status)
	_ = json.NewEncoder(out).Encode(fields)
}

func (w *worker) start(out http.ResponseWriter, q *http.Request) {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	if w.refusing.Load() {
		out.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	c, ok := w.accept(out, q)
	if !ok || w.dead {
		return
	}
	t := w.running[c.Task]
	switch {
	case t != nil && t.number == c.Run:
	case c.Run <= w.highest[c.Task] || t != nil:
		w.answer(out, http.StatusConflict, map[string]any{"reason": "old"})
		return
	case w.clock() >= c.DeadlineMS:
		w.answer(out, http.StatusConflict, map[string]any{"reason": "late"})
		return
	case w.gpusInUse()+w.runs.gpusOf(c.Task) > workerGPUs:
		w.answer(out, http.StatusConflict, map[string]any{"reason": "room"})
		return
	default:
		w.running[c.Task] = &taskRun{task: c.Task, number: c.Run, began: time.Now(), work: w.workOf(c.Spec)}
		w.record.add("%s: run %s/%d started", w.id, c.Task, c.Run)
		w.runs.change(c.Task, 1)
	}
	w.answer(out, http.StatusOK, nil)
}

// workOf returns how long a task takes here. Its spec is MILLISECONDS, MILLISECONDS@RACK for a task with data on a rack, or
// the word lasts.
func (w *worker) workOf(spec string) time.Duration {
	if spec == "lasts" {
		return lasts
	}
	text, rack, hasRack := strings.Cut(spec, "@")
	ms, _ := strconv.Atoi(text)
	work := time.Duration(ms) * time.Millisecond
	if hasRack && !slices.Contains(w.labels, rack) {
		work *= farMultiplier
	}
	return work
}

func (w *worker) stop(out http.ResponseWriter, q *http.Request) {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	c, ok := w.accept(out, q)
	if !ok || w.dead {
		return
	}
	if t := w.running[c.Task]; t != nil && t.number <= c.Run {
		w.finish(c.Task, "stopped")
	}
	w.highest[c.Task] = max(w.highest[c.Task], c.Run)
	w.answer(out, http.StatusOK, nil)
}

func (w *worker) hold(out http.ResponseWriter, q *http.Request) {
	w.mutex.Lock()
	c, ok := w.accept(out, q)
	if !ok || w.dead {
		w.mutex.Unlock()
		return
	}
	for len(w.ended) > 0 && w.ended[0].number <= c.LastSeen {
		w.record.add("%s: end of %s/%d is taken note of", w.id, w.ended[0].task, w.ended[0].run)
		w.ended = w.ended[1:]
	}
	changed, wait := w.changed, len(w.ended) == 0
	w.mutex.Unlock()
	if wait {
		select {
		case <-changed:
		case <-w.closed:
		case <-time.After(time.Duration(min(c.WaitMS, 2000)) * time.Millisecond):
		}
	}
	w.mutex.Lock()
	defer w.mutex.Unlock()
	running, ended := [][]any{}, [][]any{}
	for task, t := range w.running {
		percent := min(99, int(100*time.Since(t.began)/max(t.work, 1)))
		if t.work == lasts && time.Since(t.began) > startupTime {
			percent = 100
		}
		running = append(running, []any{task, t.number, "", percent, 1000})
	}
	for _, e := range w.ended {
		ended = append(ended, []any{e.number, e.task, e.run, e.how, ""})
	}
	w.answer(out, http.StatusOK, map[string]any{"running": running, "ended": ended})
}

func workerID(i int) string { return fmt.Sprintf("i-%d", 1+i) }
