package main

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"
)

const (
	host = "queue.example"
	key  = "d4a3hwrr6x73d3zji9n7"
	pool = "pool"
	// idleHost is the host of the queues that nobody uses.
	idleHost = "booking-scheduler.siding-alloc.mu-north.example"
)

// answer is the answer to a request; status 0 stands for none.
type answer struct {
	status int
	body   []byte
}

// send sends one request on a new connection and records it.
func (t *test) send(method, address, path, host, key string, body any, timeout time.Duration) answer {
	var content []byte
	switch b := body.(type) {
	case nil:
	case []byte:
		content = b
	default:
		content, _ = json.Marshal(b)
	}
	request, err := http.NewRequest(method, "http://"+address+path, bytes.NewReader(content))
	if err != nil {
		return answer{}
	}
	if host != "" {
		request.Host = host
		request.Header.Set("Deadline-Ms", strconv.FormatInt(timeout.Milliseconds(), 10))
		request.Header.Set("Authorization", "Token "+key)
	}
	request.Header.Set("Content-Type", "application/json")
	client := http.Client{Timeout: timeout, Transport: &http.Transport{DisableKeepAlives: true}}
	began := t.record.now()
	a := answer{}
	if response, err := client.Do(request); err == nil {
		a.body, err = io.ReadAll(response.Body)
		_ = response.Body.Close()
		if err == nil {
			a.status = response.StatusCode
		}
	}
	shown := strings.TrimSpace(string(a.body))
	t.record.note("call %s %s%s (%d bytes, sent at %d) -> %d %.80s", method, address, path, len(content), began, a.status, shown)
	return a
}

// call is a client's request to an entry.
func (d *deployment) call(entry int, method, path string, body any) answer {
	return d.t.send(method, fmt.Sprintf("%s:%d", d.entries[entry].ip, callerPort), path, host, key, body, 3*time.Second)
}

// operate is an operator's request to a control process.
func (d *deployment) operate(control int, method, path string, body any) answer {
	return d.t.send(method, fmt.Sprintf("%s:%d", d.controls[control].ip, controlPort), path, "", "", body, 5*time.Second)
}

// configuration returns a configuration with one queue at /q/ and further ones that nobody uses.
func configuration(version, idle int) map[string]any {
	route := func(name, host, path string) map[string]any {
		return map[string]any{
			"name": name, "host": host, wire["prefix"]: path, "kind": "non_idempotent", "timeoutMs": 3000,
			"targetLatencyMs": 3000, "priority": 1, "service": pool, "maxAttempts": 2, "stretch": 3.0, "public": false,
		}
	}
	routes := []any{route("r-queue", host, "/q/")}
	for i := range idle {
		routes = append(routes, route(fmt.Sprintf("r-forwarders-port-louis-quay-%04d", i), idleHost, fmt.Sprintf("/forwarders/port-louis-quay/batch-%04d/", i)))
	}
	return map[string]any{
		"version": version, "routes": routes,
		"services": []any{map[string]any{
			"name": pool, "healthPath": "/health", "maxConnections": 64, "protocol": "h1", "tls": false,
			wire["rejects"]: true, "standby": false,
		}},
		"limits":  map[string]any{"maxHeaderBytes": 16384, "maxBodyBytes": 262144, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000},
		"tenants": []any{map[string]any{"name": "t1", "apiKeys": []string{key}, "priority": 1, wire["guaranteed"]: map[string]any{"gpu": 0}}},
	}
}

// configure sends a configuration to the control processes in turn until it is acknowledged.
func (d *deployment) configure(content any, timeout time.Duration) error {
	body, err := json.Marshal(content)
	if err != nil {
		return err
	}
	end := time.Now().Add(timeout)
	for i := 0; time.Now().Before(end); i++ {
		c := i % len(d.controls)
		if d.controls[c].running == nil {
			continue
		}
		if a := d.operate(c, http.MethodPost, wire["configPut"], body); a.status == http.StatusOK {
			return nil
		}
		time.Sleep(100 * time.Millisecond)
	}
	return fmt.Errorf("%w: no acknowledgement of a configuration", errNotRun)
}

// ready reports whether all entries are ready.
func (d *deployment) ready() bool {
	for _, e := range d.entries {
		a := d.t.send(http.MethodGet, fmt.Sprintf("%s:%d", e.ip, readyPort), wire["ready"], "", "", nil, time.Second)
		if a.status != http.StatusOK {
			return false
		}
	}
	return true
}

// metric reads a number from a process's metrics; false if it isn't there.
func (p *process) metric(name string) (float64, bool) {
	client := http.Client{Timeout: time.Second}
	response, err := client.Get(fmt.Sprintf("http://%s:%d/metrics", p.ip, ownPort))
	if err != nil {
		return 0, false
	}
	defer func() { _ = response.Body.Close() }()
	text, err := io.ReadAll(response.Body)
	if err != nil {
		return 0, false
	}
	for line := range strings.Lines(string(text)) {
		if fields := strings.Fields(line); len(fields) == 2 && strings.HasSuffix(strings.SplitN(fields[0], "{", 2)[0], name) {
			if v, err := strconv.ParseFloat(fields[1], 64); err == nil {
				return v, true
			}
		}
	}
	return 0, false
}

// leader returns the position of the leading control process, or -1 if there is none for ten seconds.
func (d *deployment) leader() int {
	leader := -1
	_ = await("there is a leader", 10*time.Second, func() bool {
		leader = d.findLeader()
		return leader >= 0
	})
	return leader
}

// findLeader returns the position of the leading control process, or -1.
func (d *deployment) findLeader() int {
	for i, p := range d.controls {
		if p.running == nil {
			continue
		}
		client := http.Client{Timeout: time.Second}
		response, err := client.Get(fmt.Sprintf("http://%s:%d/v1/members", p.ip, ownPort))
		if err != nil {
			continue
		}
		var view struct {
			Members []struct{ Instance, Part string }
		}
		err = json.NewDecoder(response.Body).Decode(&view)
		_ = response.Body.Close()
		for _, m := range view.Members {
			if err == nil && m.Part == "leader" && m.Instance == p.name {
				return i
			}
		}
	}
	return -1
}
