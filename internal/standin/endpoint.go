// Package standin is a fake endpoint for tests and the demo. It announces itself to its agent, runs tasks that
// sleep and then answer or fail as their input says, and records every run.
//
// The input of a task is a list of words separated by spaces, each of them optional; other words are ignored:
//
//	sleep=2s     the time that the task runs; the default is 0
//	answer=TEXT  the answer; the default names the rank, the size and the accelerators
//	fail         the task fails
//	stop=100ms   the time that checkpointing and stopping take; the default is 0
//
// # Usage
//
//	e := standin.New(standin.Config{Agent: "http://127.0.0.1:8100", Address: "127.0.0.1:9100"})
//	err := e.Start()
//	runs := e.Runs()
//	e.Close()
package standin

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"maps"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"

	"hyssopseam/core/command/hsadmission"
	"hyssopseam/core/hsid"
	"hyssopseam/core/hsmessage"
	"hyssopseam/core/hsshape"
	"hyssopseam/io/hsendpoint"
)

// Config describes the worker that the endpoint announces.
type Config struct {
	// Agent is the base URL of the agent, and Address the host and port that the endpoint listens on.
	Agent   string
	Address string
	Zone    hsid.ZoneID
	Rack    hsid.RackID
	// Accelerators is their number; all are adjacent to each other.
	Accelerators hsid.Accelerators
	Cores        hsid.MilliCores
	Memory       hsid.Bytes
	Slots        int
	// Interval is the time between two announcements; the default is 500 ms.
	Interval time.Duration
	// FailAll makes every task fail.
	FailAll bool
}

// Run records one run of a task. Outcome is empty and Ended zero while it runs.
type Run struct {
	Grant   hsid.Grant
	Kind    hsid.JobKind
	Rank    int
	Began   time.Time
	Ended   time.Time
	Outcome hsmessage.TaskPhase
}

// task is a task that runs or whose result hasn't been forgotten.
type task struct {
	body     hsendpoint.TaskBody
	script   script
	runIndex int
	stop     chan struct{}
	ended    chan struct{}
	stopOnce sync.Once
}

// Endpoint is a fake endpoint. It is safe for concurrent use.
type Endpoint struct {
	config      Config
	incarnation hsid.Incarnation
	server      *http.Server
	client      *http.Client
	context     context.Context
	cancel      context.CancelFunc
	goroutines  sync.WaitGroup

	mutex        sync.Mutex
	tasks        map[hsid.Grant]*task
	runs         []Run
	fencedAgents map[hsid.Incarnation]bool
	agent        hsid.Incarnation
	leaving      bool
	// leaseEnd is when the run lease expires and the tasks that may run more than once are stopped; zero for never.
	leaseEnd time.Time
}

// New returns an endpoint that isn't running.
func New(c Config) *Endpoint {
	if c.Interval == 0 {
		c.Interval = 500 * time.Millisecond
	}
	e := &Endpoint{
		config:       c,
		incarnation:  hsid.Incarnation(rand.Uint32() | 1),
		client:       &http.Client{Timeout: 2 * time.Second},
		tasks:        map[hsid.Grant]*task{},
		fencedAgents: map[hsid.Incarnation]bool{},
	}
	e.context, e.cancel = context.WithCancel(context.Background())
	return e
}

// Start listens on the address and announces the endpoint until Close.
func (e *Endpoint) Start() error {
	listener, err := net.Listen("tcp", e.config.Address)
	if err != nil {
		return fmt.Errorf("standin: %w", err)
	}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /tasks", e.handleList)
	mux.HandleFunc("POST /tasks/{job}/{attempt}/{term}", e.handleStart)
	mux.HandleFunc("GET /tasks/{job}/{attempt}/{term}", e.handleWait)
	mux.HandleFunc("POST /tasks/{job}/{attempt}/{term}/stop", e.handleStop)
	mux.HandleFunc("PUT /lease", e.handleRenew)
	mux.HandleFunc("DELETE /tasks/{job}/{attempt}/{term}", e.handleForget)
	e.server = &http.Server{Handler: mux, ReadHeaderTimeout: 5 * time.Second}
	e.goroutines.Go(func() { _ = e.server.Serve(listener) })
	e.goroutines.Go(e.announceLoop)
	return nil
}

// Close stops the endpoint and all its tasks at once, and waits for its goroutines.
func (e *Endpoint) Close() {
	e.cancel()
	if e.server != nil {
		_ = e.server.Close()
	}
	e.goroutines.Wait()
}

// Leave announces that the endpoint takes no new work, and returns once the agent has received that.
func (e *Endpoint) Leave() error {
	e.mutex.Lock()
	e.leaving = true
	e.mutex.Unlock()
	return e.announce()
}

// Runs returns a copy of the recorded runs, in the order of their starts.
func (e *Endpoint) Runs() []Run {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	return append([]Run(nil), e.runs...)
}

func (e *Endpoint) announceLoop() {
	ticker := time.NewTicker(e.config.Interval)
	defer ticker.Stop()
	for {
		_ = e.announce()
		e.expireLease()
		select {
		case <-ticker.C:
		case <-e.context.Done():
			return
		}
	}
}

// expireLease stops the tasks that may run more than once if the lease has expired.
func (e *Endpoint) expireLease() {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	if e.leaseEnd.IsZero() || time.Now().Before(e.leaseEnd) {
		return
	}
	for _, t := range e.tasks {
		if !t.body.AtMostOnce {
			t.stopOnce.Do(func() { close(t.stop) })
		}
	}
}

func (e *Endpoint) handleRenew(w http.ResponseWriter, r *http.Request) {
	millis, err := strconv.ParseInt(r.URL.Query().Get("millis"), 10, 64)
	if err != nil {
		http.Error(w, "millis is not a number", http.StatusBadRequest)
		return
	}
	e.mutex.Lock()
	e.leaseEnd = time.Now().Add(time.Duration(millis) * time.Millisecond)
	e.mutex.Unlock()
	w.WriteHeader(http.StatusNoContent)
}

func (e *Endpoint) announce() error {
	e.mutex.Lock()
	a := hsendpoint.Announcement{
		Endpoint:    e.incarnation,
		Address:     e.config.Address,
		Zone:        e.config.Zone,
		Rack:        e.config.Rack,
		Groups:      hsshape.WholeWorker(e.config.Accelerators),
		MilliCores:  e.config.Cores,
		MemoryBytes: e.config.Memory,
		Slots:       e.config.Slots,
		Leaving:     e.leaving,
	}
	e.mutex.Unlock()
	data, err := json.Marshal(a)
	if err != nil {
		return err
	}
	request, err := http.NewRequestWithContext(e.context, http.MethodPut, e.config.Agent+"/v1/endpoint", bytes.NewReader(data))
	if err != nil {
		return err
	}
	request.Header.Set("Content-Type", "application/json")
	response, err := e.client.Do(request)
	if err != nil {
		return err
	}
	return errors.Join(response.Body.Close())
}

// handleList lists the tasks. Starts by agents that listed before are refused from then on.
func (e *Endpoint) handleList(w http.ResponseWriter, r *http.Request) {
	agent, err := strconv.ParseUint(r.URL.Query().Get("agent"), 10, 64)
	if err != nil {
		http.Error(w, "agent is not a number", http.StatusBadRequest)
		return
	}
	e.mutex.Lock()
	if e.agent != 0 && e.agent != hsid.Incarnation(agent) {
		e.fencedAgents[e.agent] = true
	}
	e.agent = hsid.Incarnation(agent)
	list := make([]hsendpoint.TaskBody, 0, len(e.tasks))
	for t := range maps.Values(e.tasks) {
		list = append(list, t.body)
	}
	e.mutex.Unlock()
	writeJSON(w, list)
}

func writeJSON(w http.ResponseWriter, v any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(v)
}

func parseGrant(w http.ResponseWriter, r *http.Request) (hsid.Grant, bool) {
	g, err := hsendpoint.ParseGrant(r.PathValue("job"), r.PathValue("attempt"), r.PathValue("term"))
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return g, false
	}
	return g, true
}

func (e *Endpoint) handleStart(w http.ResponseWriter, r *http.Request) {
	g, ok := parseGrant(w, r)
	if !ok {
		return
	}
	var body hsendpoint.StartBody
	if err := json.NewDecoder(r.Body).Decode(&body); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	s, err := parseScript(string(body.Input))
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	e.mutex.Lock()
	defer e.mutex.Unlock()
	if e.fencedAgents[body.Agent] {
		http.Error(w, "an agent that was replaced can't start tasks", http.StatusConflict)
		return
	}
	if e.tasks[g] == nil {
		e.startTask(g, &body, s)
	}
	w.WriteHeader(http.StatusAccepted)
}

// startTask starts a task. The caller must hold the mutex.
func (e *Endpoint) startTask(g hsid.Grant, body *hsendpoint.StartBody, s script) {
	t := &task{script: s, runIndex: len(e.runs), stop: make(chan struct{}), ended: make(chan struct{})}
	if body.LeaseMillis > 0 {
		e.leaseEnd = time.Now().Add(time.Duration(body.LeaseMillis) * time.Millisecond)
	}
	t.body = hsendpoint.TaskBody{Job: g.Job, Attempt: g.Attempt, Term: g.Term, Accelerators: body.Accelerators, AtMostOnce: body.AtMostOnce}
	if t.script.answer == "" {
		t.script.answer = fmt.Sprintf("rank %d of %d on accelerators %v", body.Rank, body.Size, body.Accelerators)
	}
	e.tasks[g] = t
	e.runs = append(e.runs, Run{Grant: g, Kind: body.Kind, Rank: body.Rank, Began: time.Now()})
	e.goroutines.Go(func() { e.execute(t) })
}

func (e *Endpoint) execute(t *task) {
	timer := time.NewTimer(t.script.sleep)
	defer timer.Stop()
	outcome := hsmessage.TaskDone
	select {
	case <-timer.C:
	case <-t.stop:
		outcome = hsmessage.TaskStopped
		stop := time.NewTimer(t.script.stop)
		defer stop.Stop()
		select {
		case <-stop.C:
		case <-e.context.Done():
			return
		}
	case <-e.context.Done():
		return
	}
	e.mutex.Lock()
	defer e.mutex.Unlock()
	switch {
	case outcome == hsmessage.TaskStopped:
		t.body.Reason = "stopped on request"
	case t.script.fail || e.config.FailAll:
		outcome = hsmessage.TaskFailed
		t.body.Reason = "the task reported a failure"
	default:
		t.body.Answer = []byte(t.script.answer)
	}
	t.body.Outcome = outcome
	t.body.Checksum = hsadmission.Checksum(t.body.Answer)
	e.runs[t.runIndex].Outcome = outcome
	e.runs[t.runIndex].Ended = time.Now()
	close(t.ended)
}

// findTask returns the task that a request names; if there is none it writes an error and returns nil.
func (e *Endpoint) findTask(w http.ResponseWriter, r *http.Request) *task {
	g, ok := parseGrant(w, r)
	if !ok {
		return nil
	}
	e.mutex.Lock()
	defer e.mutex.Unlock()
	t := e.tasks[g]
	if t == nil {
		http.Error(w, "there is no such task", http.StatusNotFound)
		return nil
	}
	return t
}

func (e *Endpoint) handleWait(w http.ResponseWriter, r *http.Request) {
	t := e.findTask(w, r)
	if t == nil {
		return
	}
	timeout, _ := time.ParseDuration(r.URL.Query().Get("wait"))
	timer := time.NewTimer(timeout)
	defer timer.Stop()
	select {
	case <-t.ended:
	case <-timer.C:
	case <-r.Context().Done():
	}
	e.mutex.Lock()
	body := t.body
	e.mutex.Unlock()
	writeJSON(w, body)
}

func (e *Endpoint) handleStop(w http.ResponseWriter, r *http.Request) {
	if t := e.findTask(w, r); t != nil {
		t.stopOnce.Do(func() { close(t.stop) })
		w.WriteHeader(http.StatusAccepted)
	}
}

func (e *Endpoint) handleForget(w http.ResponseWriter, r *http.Request) {
	t := e.findTask(w, r)
	if t == nil {
		return
	}
	e.mutex.Lock()
	delete(e.tasks, t.body.Grant())
	e.mutex.Unlock()
	w.WriteHeader(http.StatusNoContent)
}

// script is the parsed input of a task.
type script struct {
	sleep  time.Duration
	stop   time.Duration
	answer string
	fail   bool
}

func parseScript(input string) (script, error) {
	var s script
	for _, word := range strings.Fields(input) {
		key, value, _ := strings.Cut(word, "=")
		var err error
		switch key {
		case "sleep":
			s.sleep, err = time.ParseDuration(value)
		case "stop":
			s.stop, err = time.ParseDuration(value)
		case "answer":
			s.answer = value
		case "fail":
			s.fail = true
		}
		if err != nil {
			return s, fmt.Errorf("standin: %w", err)
		}
	}
	return s, nil
}
