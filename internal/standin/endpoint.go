// Package standin is an endpoint for tests and the demo. It announces itself to its agent, runs tasks
// that sleep or compute as their input says, and keeps a book of every run.
//
// The input of a task is a line of words, each optional:
//
//	sleep=2s     how long it runs
//	answer=TEXT  what it answers; without it the rank and the accelerators
//	fail         it fails
//	stop=100ms   how long checkpointing and stopping takes
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

// Config describes the worker that the endpoint stands for.
type Config struct {
	// Agent is the URL of the agent's HTTP address.
	Agent   string
	Address string
	Zone    hsid.ZoneID
	Rack    hsid.RackID
	// Accelerators are all adjacent to each other.
	Accelerators hsid.Accelerators
	Cores        hsid.MilliCores
	Memory       hsid.Bytes
	Slots        int
	// Interval is the time between two announcements; the default is 500 ms.
	Interval time.Duration
	// FailAll makes every task fail.
	FailAll bool
}

// Run is one line of the endpoint's book.
type Run struct {
	Grant   hsid.Grant
	Kind    hsid.JobKind
	Rank    int
	Began   time.Time
	Ended   time.Time
	Outcome hsmessage.TaskPhase
}

// task is one task that the endpoint knows.
type task struct {
	body   hsendpoint.TaskBody
	script script
	run    int
	stop   chan struct{}
	ended  chan struct{}
	once   sync.Once
}

// Endpoint is a running stand-in. It is safe for concurrent use.
type Endpoint struct {
	config      Config
	incarnation hsid.Incarnation
	server      *http.Server
	client      *http.Client
	context     context.Context
	cancel      context.CancelFunc
	work        sync.WaitGroup

	mutex   sync.Mutex
	tasks   map[hsid.Grant]*task
	runs    []Run
	fence   map[hsid.Incarnation]bool
	agent   hsid.Incarnation
	leaving bool
	// lease is when tasks that may run again are stopped unless it is renewed; zero for never.
	lease time.Time
}

// New returns an endpoint that isn't running.
func New(c Config) *Endpoint {
	if c.Interval == 0 {
		c.Interval = 500 * time.Millisecond
	}
	e := &Endpoint{
		config:      c,
		incarnation: hsid.Incarnation(rand.Uint32() | 1),
		client:      &http.Client{Timeout: 2 * time.Second},
		tasks:       map[hsid.Grant]*task{},
		fence:       map[hsid.Incarnation]bool{},
	}
	e.context, e.cancel = context.WithCancel(context.Background())
	return e
}

// Start listens and announces until Close.
func (e *Endpoint) Start() error {
	listener, err := net.Listen("tcp", e.config.Address)
	if err != nil {
		return fmt.Errorf("standin: %w", err)
	}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /tasks", e.list)
	mux.HandleFunc("POST /tasks/{job}/{attempt}/{term}", e.start)
	mux.HandleFunc("GET /tasks/{job}/{attempt}/{term}", e.wait)
	mux.HandleFunc("POST /tasks/{job}/{attempt}/{term}/stop", e.stop)
	mux.HandleFunc("PUT /lease", e.renew)
	mux.HandleFunc("DELETE /tasks/{job}/{attempt}/{term}", e.forget)
	e.server = &http.Server{Handler: mux, ReadHeaderTimeout: 5 * time.Second}
	e.work.Go(func() { _ = e.server.Serve(listener) })
	e.work.Go(e.announceAll)
	return nil
}

// Close ends the endpoint at once, with all its tasks.
func (e *Endpoint) Close() {
	e.cancel()
	if e.server != nil {
		_ = e.server.Close()
	}
	e.work.Wait()
}

// Leave says that the endpoint takes no new work, and returns once the agent was told.
func (e *Endpoint) Leave() error {
	e.mutex.Lock()
	e.leaving = true
	e.mutex.Unlock()
	return e.announce()
}

// Runs returns a copy of the book.
func (e *Endpoint) Runs() []Run {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	return append([]Run(nil), e.runs...)
}

func (e *Endpoint) announceAll() {
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

// expireLease stops the tasks that may run again once the lease is over.
func (e *Endpoint) expireLease() {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	if e.lease.IsZero() || time.Now().Before(e.lease) {
		return
	}
	for _, t := range e.tasks {
		if !t.body.Once {
			t.once.Do(func() { close(t.stop) })
		}
	}
}

func (e *Endpoint) renew(w http.ResponseWriter, r *http.Request) {
	millis, err := strconv.ParseInt(r.URL.Query().Get("millis"), 10, 64)
	if err != nil {
		http.Error(w, "millis is no number", http.StatusBadRequest)
		return
	}
	e.mutex.Lock()
	e.lease = time.Now().Add(time.Duration(millis) * time.Millisecond)
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

func (e *Endpoint) list(w http.ResponseWriter, r *http.Request) {
	agent, err := strconv.ParseUint(r.URL.Query().Get("agent"), 10, 64)
	if err != nil {
		http.Error(w, "agent is no number", http.StatusBadRequest)
		return
	}
	e.mutex.Lock()
	if e.agent != 0 && e.agent != hsid.Incarnation(agent) {
		e.fence[e.agent] = true
	}
	e.agent = hsid.Incarnation(agent)
	list := make([]hsendpoint.TaskBody, 0, len(e.tasks))
	for t := range maps.Values(e.tasks) {
		list = append(list, t.body)
	}
	e.mutex.Unlock()
	reply(w, list)
}

func reply(w http.ResponseWriter, v any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(v)
}

func grantOf(w http.ResponseWriter, r *http.Request) (hsid.Grant, bool) {
	g, err := hsendpoint.ParseGrant(r.PathValue("job"), r.PathValue("attempt"), r.PathValue("term"))
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return g, false
	}
	return g, true
}

func (e *Endpoint) start(w http.ResponseWriter, r *http.Request) {
	g, ok := grantOf(w, r)
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
	if e.fence[body.Agent] {
		http.Error(w, "an agent that was replaced can't start tasks", http.StatusConflict)
		return
	}
	if e.tasks[g] == nil {
		e.begin(g, &body, s)
	}
	w.WriteHeader(http.StatusAccepted)
}

// begin starts a task; the mutex is held.
func (e *Endpoint) begin(g hsid.Grant, body *hsendpoint.StartBody, s script) {
	t := &task{script: s, run: len(e.runs), stop: make(chan struct{}), ended: make(chan struct{})}
	if body.LeaseMillis > 0 {
		e.lease = time.Now().Add(time.Duration(body.LeaseMillis) * time.Millisecond)
	}
	t.body = hsendpoint.TaskBody{Job: g.Job, Attempt: g.Attempt, Term: g.Term, Accelerators: body.Accelerators, Once: body.Once}
	if t.script.answer == "" {
		t.script.answer = fmt.Sprintf("rank %d of %d on accelerators %v", body.Rank, body.Size, body.Accelerators)
	}
	e.tasks[g] = t
	e.runs = append(e.runs, Run{Grant: g, Kind: body.Kind, Rank: body.Rank, Began: time.Now()})
	e.work.Go(func() { e.execute(t) })
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
	t.body.Sum = hsadmission.Sum(t.body.Answer)
	e.runs[t.run].Outcome = outcome
	e.runs[t.run].Ended = time.Now()
	close(t.ended)
}

func (e *Endpoint) find(w http.ResponseWriter, r *http.Request) *task {
	g, ok := grantOf(w, r)
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

func (e *Endpoint) wait(w http.ResponseWriter, r *http.Request) {
	t := e.find(w, r)
	if t == nil {
		return
	}
	limit, _ := time.ParseDuration(r.URL.Query().Get("wait"))
	timer := time.NewTimer(limit)
	defer timer.Stop()
	select {
	case <-t.ended:
	case <-timer.C:
	case <-r.Context().Done():
	}
	e.mutex.Lock()
	body := t.body
	e.mutex.Unlock()
	reply(w, body)
}

func (e *Endpoint) stop(w http.ResponseWriter, r *http.Request) {
	if t := e.find(w, r); t != nil {
		t.once.Do(func() { close(t.stop) })
		w.WriteHeader(http.StatusAccepted)
	}
}

func (e *Endpoint) forget(w http.ResponseWriter, r *http.Request) {
	t := e.find(w, r)
	if t == nil {
		return
	}
	e.mutex.Lock()
	delete(e.tasks, t.body.Grant())
	e.mutex.Unlock()
	w.WriteHeader(http.StatusNoContent)
}

// script is what a task does.
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
