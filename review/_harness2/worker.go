package main

import (
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"time"
)

// maxListedEnds is the number of ends that one answer lists.
const maxListedEnds = 500

// worker plays one life of a worker of the platform.
type worker struct {
	d        *deployment
	id       string
	agent    *process
	listener net.Listener
	server   *http.Server
	born     time.Time
	cpu      int64
	memory   int64
	gpu      int64
	// duration returns how long a run of a task works.
	duration func(task string) time.Duration
	// needs returns what a task takes of the worker's room.
	needs func(task string) (cpu, memory, gpu int64)

	mutex    sync.Mutex
	sequence int
	dead     bool
	// leavesAt is when a draining worker may leave at the earliest; zero while it doesn't drain.
	leavesAt time.Time
	wake     chan struct{}
	running  map[string]*taskRun
	ended    []listedEnd
	lastEnd  int
	// foreign holds the rows that another writer left in the list of ends, by their numbers.
	foreign  map[int][]any
	highest  map[string]int
	token    int64
	deadline int64
	// lapsed is when the lease lapsed last, on the worker's clock.
	lapsed  int64
	changed chan struct{}
}

// listedEnd is an end that the worker lists until it is taken note of.
type listedEnd struct {
	number int
	run    *taskRun
	at     int64
}

// workerCall holds the fields of the calls to a worker.
type workerCall struct {
	task, spec      string
	run, lastSeen   int
	token, deadline int64
	wait            time.Duration
}

// newWorker returns a worker beside an agent, which listens but doesn't serve yet.
func newWorker(d *deployment, agent int, cpu, memory, gpu int64) (*worker, error) {
	w := &worker{
		d: d, id: fmt.Sprintf("i-%08x", agent+1), agent: d.agents[agent], born: time.Now(), cpu: cpu, memory: memory, gpu: gpu,
		duration: func(string) time.Duration { return time.Second },
		needs:    func(string) (int64, int64, int64) { return 0, 0, 0 },
		running:  map[string]*taskRun{}, highest: map[string]int{}, changed: make(chan struct{}), wake: make(chan struct{}, 1),
	}
	var err error
	if w.listener, err = net.Listen("tcp", fmt.Sprintf("%s:%d", w.agent.ip, workerPort)); err != nil {
		return nil, fmt.Errorf("%w: %w", errNotRun, err)
	}
	return w, nil
}

// serve answers calls and sends heartbeats until the worker ends.
func (w *worker) serve() {
	mux := http.NewServeMux()
	mux.HandleFunc("POST "+wire["runStart"], w.handle(w.start))
	mux.HandleFunc("POST "+wire["runStop"], w.handle(w.stop))
	mux.HandleFunc("POST "+wire["hold"], w.handle(w.hold))
	w.server = &http.Server{Handler: mux, ReadHeaderTimeout: time.Minute}
	go func() { _ = w.server.Serve(w.listener) }()
	go w.beat()
}

// clock is the worker's clock in milliseconds.
func (w *worker) clock() int64 { return 1 + time.Since(w.born).Milliseconds() }

// beat sends heartbeats until the worker is dead.
func (w *worker) beat() {
	for {
		w.mutex.Lock()
		dead := w.dead
		w.sequence++
		body := w.heartbeat()
		w.mutex.Unlock()
		if dead {
			return
		}
		a := w.d.t.send(http.MethodPost, fmt.Sprintf("%s:%d", w.agent.ip, controlPort), wire["instances"]+w.id+"/heartbeat", "", "", body, time.Second)
		wait := heartbeatMS * time.Millisecond
		if a.status != http.StatusOK {
			wait = 100 * time.Millisecond
		}
		select {
		case <-w.wake:
		case <-time.After(wait):
		}
	}
}

// drain announces that the worker leaves. It serves for the time that it has announced and for extra on top, and then
// deregisters and ends.
func (w *worker) drain(remaining, extra time.Duration) {
	w.mutex.Lock()
	w.leavesAt = time.Now().Add(remaining)
	w.mutex.Unlock()
	w.d.t.record.note("%s drains, %s remain", w.id, remaining)
	w.wake <- struct{}{}
	time.Sleep(remaining + extra)
	w.d.t.send(http.MethodPost, fmt.Sprintf("%s:%d", w.agent.ip, controlPort), wire["instances"]+w.id+"/deregister", "", "", nil, time.Second)
	w.end()
}

// end ends the worker and everything that runs on it.
func (w *worker) end() {
	w.mutex.Lock()
	for _, r := range w.running {
		w.d.t.record.endRun(r, "gone")
	}
	clear(w.running)
	w.dead = true
	w.mutex.Unlock()
	w.d.t.record.note("%s ended", w.id)
	_ = w.server.Close()
}

// heartbeat returns the body of a heartbeat.
func (w *worker) heartbeat() map[string]any {
	body := map[string]any{
		"service": pool, "address": w.listener.Addr().String(), "zone": "z", "version": "v1", "slots": 8, "state": "ready",
		wire["cold"]: 0, "capacity": map[string]any{"cpu": w.cpu, "memMb": w.memory, "gpu": w.gpu},
		"labels": []string{"a", "r1-1"}, "clockMs": w.clock(), "sequence": w.sequence, "born": w.born.UnixMilli(),
	}
	if !w.leavesAt.IsZero() {
		body["state"], body[wire["drainLeft"]] = "draining", max(time.Until(w.leavesAt).Milliseconds(), 0)
	}
	return body
}

// handle decodes a call, checks the intended worker, and passes it on.
func (w *worker) handle(f func(c workerCall) (int, map[string]any)) http.HandlerFunc {
	return func(out http.ResponseWriter, r *http.Request) {
		if to := r.Header.Get("Expect-Instance"); to != "" && to != w.id {
			out.WriteHeader(http.StatusMisdirectedRequest)
			return
		}
		content, err := io.ReadAll(r.Body)
		var fields map[string]any
		if err != nil || json.Unmarshal(content, &fields) != nil {
			out.WriteHeader(http.StatusBadRequest)
			return
		}
		number := func(name string) int64 { v, _ := fields[name].(float64); return int64(v) }
		text := func(name string) string { v, _ := fields[name].(string); return v }
		c := workerCall{
			task: text("task"), spec: text("spec"), run: int(number("run")), lastSeen: int(number("lastSeen")),
			token: number(wire["token"]), deadline: number("deadlineMs"), wait: time.Duration(number("waitMs")) * time.Millisecond,
		}
		status, body := f(c)
		body["clockMs"], body["born"] = w.clock(), w.born.UnixMilli()
		out.Header().Set("Content-Type", "application/json")
		out.WriteHeader(status)
		_ = json.NewEncoder(out).Encode(body)
	}
}

// admit checks the fencing token of a call and extends the lease.
func (w *worker) admit(c workerCall) bool {
	if c.token < w.token {
		return false
	}
	w.token = c.token
	deadline := min(c.deadline, w.clock()+maxHoldMS)
	if deadline > w.deadline {
		w.deadline = deadline
		time.AfterFunc(time.Duration(deadline-w.clock()+1)*time.Millisecond, w.checkLease)
	}
	return true
}

// checkLease ends everything once the lease has lapsed.
func (w *worker) checkLease() {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	if w.clock() < w.deadline || w.lapsed >= w.deadline || w.dead {
		return
	}
	w.lapsed = w.deadline
	w.d.t.record.note("lease of %s lapsed", w.id)
	for _, r := range w.running {
		w.finish(r, "lapsed")
	}
}

func refuse(reason string) (int, map[string]any) {
	return http.StatusConflict, map[string]any{"reason": reason}
}

func (w *worker) start(c workerCall) (int, map[string]any) {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	if !w.admit(c) {
		return refuse("fence")
	}
	if r := w.running[c.task]; r != nil && r.number == c.run {
		return http.StatusOK, map[string]any{}
	}
	switch {
	case c.run <= w.highest[c.task]:
		w.d.t.record.note("work start of %s/%d on %s refused: old", c.task, c.run, w.id)
		return refuse("old")
	case c.deadline <= w.clock():
		return refuse("late")
	case w.running[c.task] != nil || !w.hasRoom(c.task):
		return refuse("room")
	}
	r := w.d.t.record.startRun(c.task, c.run, w.id, c.spec)
	w.running[c.task] = r
	time.AfterFunc(w.duration(c.task), func() {
		w.mutex.Lock()
		defer w.mutex.Unlock()
		w.finish(r, "done")
	})
	return http.StatusOK, map[string]any{}
}

// hasRoom reports whether the worker's capacity holds one more task.
func (w *worker) hasRoom(task string) bool {
	cpu, memory, gpu := w.needs(task)
	for other := range w.running {
		c, m, g := w.needs(other)
		cpu, memory, gpu = cpu+c, memory+m, gpu+g
	}
	return cpu <= w.cpu && memory <= w.memory && gpu <= w.gpu
}

// finish ends a run and lists its end.
func (w *worker) finish(r *taskRun, how string) {
	if w.dead || w.running[r.task] != r {
		return
	}
	delete(w.running, r.task)
	w.d.t.record.endRun(r, how)
	w.highest[r.task] = max(w.highest[r.task], r.number)
	w.lastEnd++
	w.ended = append(w.ended, listedEnd{number: w.lastEnd, run: r, at: w.clock()})
	close(w.changed)
	w.changed = make(chan struct{})
}

func (w *worker) stop(c workerCall) (int, map[string]any) {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	if !w.admit(c) {
		return refuse("fence")
	}
	w.d.t.record.note("work stop of %s/%d on %s", c.task, c.run, w.id)
	if r := w.running[c.task]; r != nil && r.number <= c.run {
		w.finish(r, "stopped")
	}
	w.highest[c.task] = max(w.highest[c.task], c.run)
	return http.StatusOK, map[string]any{}
}

func (w *worker) hold(c workerCall) (int, map[string]any) {
	w.mutex.Lock()
	if !w.admit(c) {
		w.mutex.Unlock()
		return refuse("fence")
	}
	for len(w.ended) > 0 && w.ended[0].number <= c.lastSeen {
		if e := w.ended[0]; w.lapsed < e.at {
			w.d.t.record.noteEnd(e.run)
		}
		w.ended = w.ended[1:]
	}
	changed := w.changed
	wait := len(w.ended) == 0 && c.wait > 0
	w.mutex.Unlock()
	if wait {
		select {
		case <-changed:
		case <-time.After(min(c.wait, 2*time.Second)):
		}
	}
	w.mutex.Lock()
	defer w.mutex.Unlock()
	running, ended := [][]any{}, [][]any{}
	for _, r := range w.running {
		percent := min(99, 100*(w.d.t.record.now()-r.started)/max(1, w.duration(r.task).Milliseconds()))
		running = append(running, []any{r.task, r.number, "", percent, 0})
	}
	for _, e := range w.ended[:min(len(w.ended), maxListedEnds)] {
		ended = append(ended, []any{e.number, e.run.task, e.run.number, e.run.how, ""})
	}
	if len(w.ended) > maxListedEnds/2 {
		w.d.t.record.note("work hold on %s: %d ends, lists %d, seen %d", w.id, len(w.ended), len(ended), c.lastSeen)
	}
	return http.StatusOK, map[string]any{"running": running, "ended": ended}
}
