package main

import (
	"encoding/json"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"
)

const (
	queueHost = "scan.example"
	// The queues, by their priority; 0 comes first.
	queuePrefix  = "/jobs/"
	queuePrefix1 = "/jobs1/"
	queuePrefix2 = "/jobs2/"
	// callerWait is how long callers wait for an answer, as the site's deadline says.
	callerWait = 3 * time.Second
	// operatorWait is how long the operator waits before it sends an order to another machine.
	operatorWait = time.Second
)

// configuration returns one version with a queue of each priority and a tenant with these keys.
func configuration(version int, keys ...string) string {
	var routes []map[string]any
	for priority, prefix := range []string{queuePrefix, queuePrefix1, queuePrefix2} {
		routes = append(routes, map[string]any{
			"name": "r-" + strconv.Itoa(priority), "host": queueHost, wire.Prefix: prefix, "kind": "non_idempotent", "timeoutMs": 3000,
			"targetLatencyMs": 1000, "priority": priority, "service": "svc", "maxAttempts": 2, "stretch": 3.0, "public": false,
		})
	}
	body, _ := json.Marshal(map[string]any{
		"version": version,
		"routes":  routes,
		"services": []map[string]any{{
			"name": "svc", "healthPath": "/health", "maxConnections": 64, "protocol": "h1", "tls": false, wire.Guards: true, "standby": false,
		}},
		"limits":  map[string]int{"maxHeaderBytes": 16384, "maxBodyBytes": 262144, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000},
		"tenants": []map[string]any{{"name": "t-1", "apiKeys": keys, "priority": 1, wire.Guaranteed: map[string]int{"gpu": 16}}},
	})
	return string(body)
}

// send makes one call and returns the status and the body; the status is 0 without an answer.
func send(method, url, key, body string, wait time.Duration) (int, string) {
	q, err := http.NewRequest(method, url, strings.NewReader(body))
	if err != nil {
		return 0, err.Error()
	}
	q.Header.Set("Content-Type", "application/json")
	if key != "" {
		q.Host = queueHost
		q.Header.Set("Authorization", "Token "+key)
		q.Header.Set("Deadline-Ms", "3000")
	}
	client := &http.Client{Timeout: wait, Transport: &http.Transport{DisableKeepAlives: true}}
	response, err := client.Do(q)
	if err != nil {
		return 0, err.Error()
	}
	defer func() { _ = response.Body.Close() }()
	content, err := io.ReadAll(response.Body)
	if err != nil {
		return 0, err.Error()
	}
	return response.StatusCode, string(content)
}

// call sends a caller's request about a job of the first queue to a frontend and records it.
func (d *deployment) call(frontend int, method, id, key, body string) (int, string) {
	return d.callQueue(frontend, method, queuePrefix, id, key, body)
}

// callQueue is call for any queue.
func (d *deployment) callQueue(frontend int, method, prefix, id, key, body string) (int, string) {
	d.record.add("caller: %s %s%s at frontend-%d, key %s: %s", method, prefix, id, 1+frontend, key, body)
	status, content := send(method, "http://"+d.address(frontendHost+frontend, callerPort)+prefix+id, key, body, callerWait)
	d.record.add("caller: %s %s%s at frontend-%d is answered %d %s", method, prefix, id, 1+frontend, status, strings.Join(strings.Fields(content), " "))
	return status, content
}

// order sends an operator's order to one machine after another until it is acknowledged, and reports whether it was.
func (d *deployment) order(first int, path, body string, limit time.Duration) bool {
	end := time.Now().Add(limit)
	for core := first; time.Now().Before(end); core++ {
		name := 1 + core%d.cores
		d.record.add("operator: %s at core-%d", path, name)
		status, _ := send(http.MethodPost, "http://"+d.address(coreHost+core%d.cores, operatorPort)+path, "", body, operatorWait)
		d.record.add("operator: %s at core-%d is answered %d", path, name, status)
		if status == http.StatusOK {
			return true
		}
		if status >= 400 && status < 500 && status != http.StatusRequestTimeout && status != http.StatusTooManyRequests {
			return false
		}
		time.Sleep(100 * time.Millisecond)
	}
	return false
}

// ready waits until the configuration is acknowledged and all frontends are ready.
func (d *deployment) ready(config string) bool {
	if !d.order(0, wire.PutConfiguration, config, 30*time.Second) {
		return false
	}
	return waitUntil(20*time.Second, func() bool {
		for i := range d.frontends {
			if status, _ := send(http.MethodGet, "http://"+d.address(frontendHost+i, readyPort)+"/v1/ready", "", "", time.Second); status != http.StatusOK {
				return false
			}
		}
		return true
	})
}

type member struct {
	Instance string `json:"instance"`
	Part     string `json:"part"`
}

// leader returns the position of the control process that leads, by the product's own interface, or -1.
func (d *deployment) leader() int {
	for i := range d.cores {
		status, body := send(http.MethodGet, "http://"+d.address(coreHost+i, httpPort)+"/v1/members", "", "", time.Second)
		var v struct {
			Members []member `json:"members"`
		}
		if status != http.StatusOK || json.Unmarshal([]byte(body), &v) != nil {
			continue
		}
		for _, m := range v.Members {
			if m.Part != "leader" {
				continue
			}
			for k, n := range d.coreNodes {
				if n.name == m.Instance {
					return k
				}
			}
		}
	}
	return -1
}
