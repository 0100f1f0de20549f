package main

import (
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strings"
	"time"
)

// The configuration of wire.json has one queue, one service and one tenant.
const (
	serviceName = "huvo11a"
	queueHost   = "nony24.example"
	queuePrefix = "/pule252/"
	tenantKey   = "d4a3hwrr6x73d3zji9n7"
	deadline    = 3 * time.Second
)

// caller sends the requests of the client and the operator.
type caller struct {
	d      *deployment
	client http.Client
}

func newCaller(d *deployment) *caller {
	return &caller{d: d, client: http.Client{Timeout: deadline, Transport: &http.Transport{}}}
}

func (c *caller) send(method, url, body string) (int, string) {
	r, err := http.NewRequest(method, url, strings.NewReader(body))
	if err != nil {
		return 0, ""
	}
	r.Host = queueHost
	r.Header.Set("Authorization", "Token "+tenantKey)
	r.Header.Set("Deadline-Ms", fmt.Sprint(deadline.Milliseconds()))
	r.Header.Set("Content-Type", "application/json")
	response, err := c.client.Do(r)
	if err != nil {
		return 0, ""
	}
	defer func() { _ = response.Body.Close() }()
	content, err := io.ReadAll(response.Body)
	if err != nil {
		return 0, ""
	}
	return response.StatusCode, string(content)
}

// until repeats an attempt until it succeeds, and reports whether it did within a time.
func until(limit time.Duration, attempt func() bool) bool {
	for end := time.Now().Add(limit); time.Now().Before(end); time.Sleep(100 * time.Millisecond) {
		if attempt() {
			return true
		}
	}
	return false
}

// configure sends the configuration until it is acknowledged.
func (c *caller) configure() bool {
	return until(25*time.Second, func() bool {
		url := "http://" + c.d.address(controlHost(rand.IntN(controls)), controlPort) + wire.ConfigPut
		status, _ := c.send(http.MethodPost, url, string(wire.Configuration))
		c.d.record.add("operator: configuration: %d", status)
		return status == http.StatusOK
	})
}

// entryURL returns the URL of a job at a random entry.
func (c *caller) entryURL(id string) string {
	return "http://" + c.d.address(entryHost(rand.IntN(entries)), callersPort) + queuePrefix + id
}

// submit hands a job in until it is accepted.
func (c *caller) submit(id, steps string) bool {
	return until(10*time.Second, func() bool {
		status, _ := c.send(http.MethodPost, c.entryURL(id), fmt.Sprintf(`{"spec":"scan %s","steps":[%s]}`, id, steps))
		c.d.record.add("client: POST %s: %d", id, status)
		return status == http.StatusOK
	})
}

// state returns the state of a job, or an empty string without an answer.
func (c *caller) state(id string) string {
	status, body := c.send(http.MethodGet, c.entryURL(id), "")
	var v struct {
		State string `json:"state"`
	}
	if status == http.StatusOK {
		_ = json.Unmarshal([]byte(body), &v)
	}
	c.d.record.add("client: GET %s: %d %s", id, status, v.State)
	return v.State
}

// newID returns the identifier of a new job.
func newID() string { return fmt.Sprintf("%016x", rand.Uint64()) }

// idleTime is how long a job whose turn has come may have nothing running, from finishTime after the end of the traffic on.
const idleTime = 3 * time.Second

// checkBegins checks that a task of the last job that was handed in begins. Its worker has room for it many times over, and most
// of the fleet is idle.
func (c *caller) checkBegins(l *runLog, id string) (int, string) {
	began := func() bool { return len(l.of(id)) > 0 }
	if until(finishTime+idleTime+time.Second, began) {
		return held, "a task of the job began"
	}
	state := c.state(id)
	if began() {
		return held, "a task of the job began"
	}
	return broken, fmt.Sprintf("LOST: job %s was accepted and is %q, no task of it has begun, and its worker has room for it", id, state)
}
