// Package hsplatform runs an agent's tasks on the endpoint beside it, over HTTP.
//
// Each call returns at once and works on a goroutine of its own; its end comes back through Events. Starts
// and stops are repeated until the endpoint has taken them: the endpoint knows each by its grant, so a
// repeated start runs nothing twice. Requests have time limits, connections that failed aren't reused,
// and an answer whose checksum doesn't fit is fetched again.
//
// A Platform is safe for concurrent use.
//
// # Usage
//
//	platform := hsplatform.New(events, logger)
//	platform.SetAddress("127.0.0.1:9000")
//	platform.Run(endpoint, agent, start)
//	platform.Close()
package hsplatform

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"log/slog"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"

	"hyssopseam/core/command/hsadmission"
	"hyssopseam/core/command/hsagent"
	"hyssopseam/core/hsid"
	"hyssopseam/core/hsmessage"
	"hyssopseam/io/hsendpoint"
)

const (
	// requestTime bounds a request that isn't a wait.
	requestTime = 5 * time.Second
	// waitTime is how long one wait for the end of a task lasts at most. Each wait renews the task's
	// lease, so it is shorter for short leases.
	waitTime = 10 * time.Second
	// renewals is the number of waits in a lease.
	renewals   = 4
	firstRetry = 50 * time.Millisecond
	maxRetry   = 2 * time.Second
)

// Events takes what comes of the calls. Its methods may block.
type Events interface {
	Listed(endpoint hsid.Incarnation, records []hsagent.Record, ok bool)
	Accepted(g hsid.Grant)
	Ended(g hsid.Grant, r hsagent.Result)
}

// Platform drives one endpoint.
type Platform struct {
	events Events
	log    *slog.Logger
	client *http.Client

	context context.Context
	cancel  context.CancelFunc
	tasks   sync.WaitGroup

	mutex   sync.Mutex
	address string
	// watches holds what ends the wait for each task.
	watches map[hsid.Grant]context.CancelFunc
}

// New returns a platform that doesn't know its endpoint's address yet.
func New(events Events, log *slog.Logger) *Platform {
	p := &Platform{
		events:  events,
		log:     log,
		client:  &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 16, IdleConnTimeout: time.Minute}},
		watches: map[hsid.Grant]context.CancelFunc{},
	}
	p.context, p.cancel = context.WithCancel(context.Background())
	return p
}

// SetAddress tells where the endpoint takes tasks.
func (p *Platform) SetAddress(address string) {
	p.mutex.Lock()
	p.address = address
	p.mutex.Unlock()
}

// Close ends all calls and waits for their goroutines.
func (p *Platform) Close() {
	p.cancel()
	p.tasks.Wait()
	p.client.CloseIdleConnections()
}

// List asks for the tasks of the endpoint.
func (p *Platform) List(endpoint, agent hsid.Incarnation) {
	p.tasks.Go(func() {
		var list []hsendpoint.TaskBody
		err := p.do(p.context, http.MethodGet, fmt.Sprintf("/tasks?agent=%d", agent), nil, &list)
		if err != nil {
			p.log.Warn("tasks weren't listed", "error", err)
		}
		records := make([]hsagent.Record, 0, len(list))
		for i := range list {
			records = append(records, record(&list[i]))
		}
		p.events.Listed(endpoint, records, err == nil)
	})
}

func record(t *hsendpoint.TaskBody) hsagent.Record {
	return hsagent.Record{
		Grant:        t.Grant(),
		Accelerators: t.Accelerators,
		Once:         t.Once,
		Running:      t.Outcome == "",
		Result:       result(t),
	}
}

func result(t *hsendpoint.TaskBody) hsagent.Result {
	return hsagent.Result{Phase: t.Outcome, Reason: t.Reason, Answer: t.Answer, Sum: t.Sum}
}

// Run starts a task and waits for its end.
func (p *Platform) Run(_, agent hsid.Incarnation, s hsagent.Start) {
	body := hsendpoint.StartBody{
		Agent:        agent,
		Rank:         s.Rank,
		Size:         s.Size,
		Accelerators: s.Accelerators,
		Once:         s.Once,
		LeaseMillis:  s.Lease.Milliseconds(),
		Workspace:    s.Spec.Workspace,
		Kind:         s.Spec.Kind,
		Input:        s.Spec.Input,
	}
	p.watch(s.Grant, func(ctx context.Context) {
		err := p.repeat(ctx, http.MethodPost, hsendpoint.TaskPath(s.Grant), body)
		if refused(err) {
			p.events.Ended(s.Grant, hsagent.Result{Phase: hsmessage.TaskRefused, Reason: err.Error()})
			return
		}
		if err != nil {
			return
		}
		p.events.Accepted(s.Grant)
		p.await(ctx, s.Grant)
	})
}

// Watch waits for the end of a task that runs already.
func (p *Platform) Watch(_ hsid.Incarnation, g hsid.Grant) {
	p.watch(g, func(ctx context.Context) { p.await(ctx, g) })
}

// Renew lets the tasks run on for a time. A renewal that fails isn't repeated: it would count from too late.
func (p *Platform) Renew(_ hsid.Incarnation, lease time.Duration) {
	p.tasks.Go(func() {
		if err := p.do(p.context, http.MethodPut, fmt.Sprintf("/lease?millis=%d", lease.Milliseconds()), nil, nil); err != nil {
			p.log.Warn("lease of tasks wasn't renewed", "error", err)
		}
	})
}

// Stop has a task stopped; its end comes from the wait for it.
func (p *Platform) Stop(_ hsid.Incarnation, g hsid.Grant) {
	p.tasks.Go(func() {
		if err := p.repeat(p.context, http.MethodPost, hsendpoint.TaskPath(g)+"/stop", nil); err != nil {
			p.log.Warn("task wasn't stopped", "grant", g, "error", err)
		}
	})
}

// Forget ends the wait for a task and lets the endpoint drop it.
func (p *Platform) Forget(_ hsid.Incarnation, g hsid.Grant) {
	p.mutex.Lock()
	if cancel := p.watches[g]; cancel != nil {
		cancel()
	}
	delete(p.watches, g)
	p.mutex.Unlock()
	p.tasks.Go(func() {
		if err := p.do(p.context, http.MethodDelete, hsendpoint.TaskPath(g), nil, nil); err != nil && !refused(err) {
			p.log.Warn("task wasn't forgotten", "grant", g, "error", err)
		}
	})
}

// watch runs work until it ends or the task is forgotten.
func (p *Platform) watch(g hsid.Grant, work func(ctx context.Context)) {
	ctx, cancel := context.WithCancel(p.context)
	p.mutex.Lock()
	p.watches[g] = cancel
	p.mutex.Unlock()
	p.tasks.Go(func() {
		defer cancel()
		work(ctx)
	})
}

// await waits for the end of a task, however often the wait has to be repeated.
func (p *Platform) await(ctx context.Context, g hsid.Grant) {
	pause := firstRetry
	for ctx.Err() == nil {
		var t hsendpoint.TaskBody
		err := p.doFor(ctx, waitTime+requestTime, http.MethodGet, fmt.Sprintf("%s?wait=%s", hsendpoint.TaskPath(g), waitTime), nil, &t)
		switch {
		case refused(err):
			p.events.Ended(g, hsagent.Result{Phase: hsmessage.TaskLost, Reason: "the endpoint doesn't know the task"})
			return
		case err == nil && t.Outcome != "" && hsadmission.Sum(t.Answer) == t.Sum:
			p.events.Ended(g, result(&t))
			return
		case err == nil && t.Outcome == "":
			pause = firstRetry
			continue
		case err == nil:
			p.log.Warn("answer doesn't fit its checksum", "grant", g, "bytes", len(t.Answer))
		default:
			p.log.Debug("wait for task failed", "grant", g, "error", err)
		}
		sleep(ctx, pause+rand.N(pause))
		pause = min(2*pause, maxRetry)
	}
}

// repeat sends a request until the endpoint takes or refuses it.
func (p *Platform) repeat(ctx context.Context, method, path string, body any) error {
	pause := firstRetry
	for {
		err := p.do(ctx, method, path, body, nil)
		if err == nil || refused(err) {
			return err
		}
		if ctx.Err() != nil {
			return ctx.Err()
		}
		p.log.Debug("request is repeated", "path", path, "error", err)
		sleep(ctx, pause+rand.N(pause))
		pause = min(2*pause, maxRetry)
	}
}

func (p *Platform) do(ctx context.Context, method, path string, body, into any) error {
	return p.doFor(ctx, requestTime, method, path, body, into)
}

func (p *Platform) doFor(ctx context.Context, limit time.Duration, method, path string, body, into any) error {
	ctx, cancel := context.WithTimeout(ctx, limit)
	defer cancel()
	p.mutex.Lock()
	address := p.address
	p.mutex.Unlock()
	var data []byte
	if body != nil {
		var err error
		if data, err = json.Marshal(body); err != nil {
			return fmt.Errorf("hsplatform: %w", err)
		}
	}
	request, err := http.NewRequestWithContext(ctx, method, "http://"+address+path, bytes.NewReader(data))
	if err != nil {
		return fmt.Errorf("hsplatform: %w", err)
	}
	request.Header.Set("Content-Type", "application/json")
	response, err := p.client.Do(request)
	if err != nil {
		return fmt.Errorf("hsplatform: %w", err)
	}
	defer func() { _ = response.Body.Close() }()
	content, err := io.ReadAll(io.LimitReader(response.Body, int64(hsendpoint.MaxBody)))
	if err != nil {
		return fmt.Errorf("hsplatform: %w", err)
	}
	return decode(response.StatusCode, content, into)
}

func decode(status int, content []byte, into any) error {
	if status >= http.StatusBadRequest {
		return &statusError{status: status, text: string(content)}
	}
	if into == nil {
		return nil
	}
	if err := json.Unmarshal(content, into); err != nil {
		return fmt.Errorf("hsplatform: %w", err)
	}
	return nil
}

func sleep(ctx context.Context, d time.Duration) {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
	case <-ctx.Done():
	}
}
