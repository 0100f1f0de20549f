// Package hsplatform runs an agent's tasks on its endpoint over HTTP.
//
// Each call returns at once and works on its own goroutine; results are delivered through Events. Starts and stops are
// retried until the endpoint accepts or rejects them: the endpoint identifies each task by its grant, so a repeated
// start runs nothing twice. Requests have timeouts, failed connections aren't reused, and an answer that doesn't match
// its checksum is fetched again.
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
	"errors"
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
	"hyssopseam/io/hsjson"
)

const (
	// requestTimeout is the timeout of a request that doesn't wait for a task.
	requestTimeout = 5 * time.Second
	// maxWait is how long the endpoint holds a request that waits for the end of a task.
	maxWait = 10 * time.Second
	// renewals is the number of waits per lease.
	renewals        = 4
	firstRetryDelay = 50 * time.Millisecond
	maxRetryDelay   = 2 * time.Second
)

// Events receives the results of the calls. Its methods may block.
type Events interface {
	HandleTaskList(endpoint hsid.Incarnation, records []hsagent.Record, ok bool)
	HandleStartConfirmed(g hsid.Grant)
	HandleTaskEnd(g hsid.Grant, r hsagent.Result)
}

// Platform runs tasks on one endpoint.
type Platform struct {
	events Events
	log    *slog.Logger
	client *http.Client

	context    context.Context
	cancel     context.CancelFunc
	goroutines sync.WaitGroup

	mutex   sync.Mutex
	address string
	// cancelWait holds, for each task, the function that ends the goroutine that starts it or waits for its end.
	cancelWait map[hsid.Grant]context.CancelFunc
}

// New returns a platform whose endpoint address isn't set yet.
func New(events Events, log *slog.Logger) *Platform {
	p := &Platform{
		events:     events,
		log:        log,
		client:     &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 16, IdleConnTimeout: time.Minute}},
		cancelWait: map[hsid.Grant]context.CancelFunc{},
	}
	p.context, p.cancel = context.WithCancel(context.Background())
	return p
}

// SetAddress sets the host and port at which the endpoint accepts requests.
func (p *Platform) SetAddress(address string) {
	p.mutex.Lock()
	p.address = address
	p.mutex.Unlock()
}

// Close cancels all calls and waits for their goroutines.
func (p *Platform) Close() {
	p.cancel()
	p.goroutines.Wait()
	p.client.CloseIdleConnections()
}

// List requests the list of tasks from the endpoint. From then on the endpoint refuses starts from earlier agents. Entries
// that name no task are logged and left out.
func (p *Platform) List(endpoint, agent hsid.Incarnation) {
	p.goroutines.Go(func() {
		var list []json.RawMessage
		err := p.do(p.context, http.MethodGet, fmt.Sprintf("/tasks?agent=%d", agent), nil, &list)
		if err != nil {
			p.log.Warn("listing tasks failed", "error", err)
		}
		records, invalid := hsjson.DecodeEntries(list, decodeRecord)
		if invalid != nil {
			p.log.Warn("invalid entries in the list of tasks are ignored", "error", invalid)
		}
		p.events.HandleTaskList(endpoint, records, err == nil)
	})
}

var errNoTask = errors.New("hsplatform: the entry names no task")

func decodeRecord(entry json.RawMessage) (hsagent.Record, error) {
	var t hsendpoint.TaskBody
	if err := json.Unmarshal(entry, &t); err != nil {
		return hsagent.Record{}, fmt.Errorf("hsplatform: %w", err)
	}
	if t.Job == "" {
		return hsagent.Record{}, errNoTask
	}
	return hsagent.Record{
		Grant:        t.Grant(),
		Accelerators: t.Accelerators,
		Once:         t.AtMostOnce,
		Running:      t.Outcome == "",
		Result:       resultOf(&t),
	}, nil
}

func resultOf(t *hsendpoint.TaskBody) hsagent.Result {
	return hsagent.Result{Phase: t.Outcome, Reason: t.Reason, Answer: t.Answer, Sum: t.Checksum}
}

// Run starts a task and waits for its end. A task that the endpoint rejects ends with the phase TaskRefused.
func (p *Platform) Run(_, agent hsid.Incarnation, s hsagent.Start) {
	body := hsendpoint.StartBody{
		Agent:        agent,
		Rank:         s.Rank,
		Size:         s.Size,
		Accelerators: s.Accelerators,
		AtMostOnce:   s.Once,
		LeaseMillis:  s.Lease.Milliseconds(),
		Workspace:    s.Spec.Workspace,
		Kind:         s.Spec.Kind,
		Input:        s.Spec.Input,
	}
	p.startWait(s.Grant, func(ctx context.Context) {
		err := p.doWithRetry(ctx, http.MethodPost, hsendpoint.TaskPath(s.Grant), body)
		if isRefusal(err) {
			p.events.HandleTaskEnd(s.Grant, hsagent.Result{Phase: hsmessage.TaskRefused, Reason: err.Error()})
			return
		}
		if err != nil {
			return
		}
		p.events.HandleStartConfirmed(s.Grant)
		p.awaitResult(ctx, s.Grant)
	})
}

// Watch waits for the end of a task that is already running.
func (p *Platform) Watch(_ hsid.Incarnation, g hsid.Grant) {
	p.startWait(g, func(ctx context.Context) { p.awaitResult(ctx, g) })
}

// Renew renews the lease of all tasks on the endpoint. A failed renewal isn't retried: the endpoint would count the
// lease from a later time than the caller.
func (p *Platform) Renew(_ hsid.Incarnation, lease time.Duration) {
	p.goroutines.Go(func() {
		if err := p.do(p.context, http.MethodPut, fmt.Sprintf("/lease?millis=%d", lease.Milliseconds()), nil, nil); err != nil {
			p.log.Warn("renewing the lease of the tasks failed", "error", err)
		}
	})
}

// Stop stops a task. Its result is reported by the wait that Run or Watch started.
func (p *Platform) Stop(_ hsid.Incarnation, g hsid.Grant) {
	p.goroutines.Go(func() {
		if err := p.doWithRetry(p.context, http.MethodPost, hsendpoint.TaskPath(g)+"/stop", nil); err != nil {
			p.log.Warn("stopping a task failed", "grant", g, "error", err)
		}
	})
}

// Forget ends the wait for a task and tells the endpoint to remove the task.
func (p *Platform) Forget(_ hsid.Incarnation, g hsid.Grant) {
	p.mutex.Lock()
	if cancel := p.cancelWait[g]; cancel != nil {
		cancel()
	}
	delete(p.cancelWait, g)
	p.mutex.Unlock()
	p.goroutines.Go(func() {
		if err := p.do(p.context, http.MethodDelete, hsendpoint.TaskPath(g), nil, nil); err != nil && !isRefusal(err) {
			p.log.Warn("removing a task failed", "grant", g, "error", err)
		}
	})
}

// startWait calls run on a new goroutine. Its context ends when the task is forgotten or the platform is closed.
func (p *Platform) startWait(g hsid.Grant, run func(ctx context.Context)) {
	ctx, cancel := context.WithCancel(p.context)
	p.mutex.Lock()
	p.cancelWait[g] = cancel
	p.mutex.Unlock()
	p.goroutines.Go(func() {
		defer cancel()
		run(ctx)
	})
}

// awaitResult waits for the end of a task and reports it. It repeats the request, with a backoff after failures, until
// the task has ended, the endpoint rejects the request, or the context ends.
func (p *Platform) awaitResult(ctx context.Context, g hsid.Grant) {
	delay := firstRetryDelay
	for ctx.Err() == nil {
		var t hsendpoint.TaskBody
		err := p.doWithTimeout(ctx, maxWait+requestTimeout, http.MethodGet, fmt.Sprintf("%s?wait=%s", hsendpoint.TaskPath(g), maxWait), nil, &t)
		switch {
		case isRefusal(err):
			p.events.HandleTaskEnd(g, hsagent.Result{Phase: hsmessage.TaskLost, Reason: "the endpoint doesn't know the task"})
			return
		case err == nil && t.Outcome != "" && hsadmission.Checksum(t.Answer) == t.Checksum:
			p.events.HandleTaskEnd(g, resultOf(&t))
			return
		case err == nil && t.Outcome == "":
			delay = firstRetryDelay
			continue
		case err == nil:
			p.log.Warn("answer doesn't match its checksum", "grant", g, "bytes", len(t.Answer))
		default:
			p.log.Debug("waiting for a task failed", "grant", g, "error", err)
		}
		sleep(ctx, delay+rand.N(delay))
		delay = min(2*delay, maxRetryDelay)
	}
}

// doWithRetry sends a request until the endpoint accepts or rejects it, or the context ends.
func (p *Platform) doWithRetry(ctx context.Context, method, path string, body any) error {
	delay := firstRetryDelay
	for {
		err := p.do(ctx, method, path, body, nil)
		if err == nil || isRefusal(err) {
			return err
		}
		if ctx.Err() != nil {
			return ctx.Err()
		}
		p.log.Debug("request failed and will be retried", "path", path, "error", err)
		sleep(ctx, delay+rand.N(delay))
		delay = min(2*delay, maxRetryDelay)
	}
}

func (p *Platform) do(ctx context.Context, method, path string, body, into any) error {
	return p.doWithTimeout(ctx, requestTimeout, method, path, body, into)
}

func (p *Platform) doWithTimeout(ctx context.Context, timeout time.Duration, method, path string, body, into any) error {
	ctx, cancel := context.WithTimeout(ctx, timeout)
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
	content, err := io.ReadAll(io.LimitReader(hsjson.LimitDepth(response.Body), int64(hsendpoint.MaxBody)))
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
