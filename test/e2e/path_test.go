package e2e

import (
	"bufio"
	"net"
	"net/http"
	"os/exec"
	"strings"
	"testing"
	"time"

	"hyssopseam/internal/standin"
)

// TestPath tests the path of a job through one control replica, an entry and two agents: rules are pushed, jobs of
// each kind run once and are answered in full, and every process stops gracefully.
func TestPath(t *testing.T) {
	t.Parallel()
	d := newDeployment(t, 101, 1)
	d.startControl(1, true)
	d.startEntry(1)
	d.startWorker(1, standin.Config{})
	d.startWorker(2, standin.Config{})
	d.pushRules(entry1, 1)
	d.waitFor("workers ready", func() bool { return d.ready(21) && d.ready(22) })

	jobs := []struct {
		name, body, key, want string
		members               int
	}{
		{"order", job("order", "2x1worker", "normal", "sleep=50ms answer=cut"), "k1", "cut", 1},
		{"check", job("counterCheck", "1x1worker", "urgent", "answer=size-8"), "k2", "size-8", 1},
		{"gang", job("fittingBlock", "2x2workers", "normal", "sleep=50ms answer=block"), "k3", "block", 2},
		{"repeated order", job("order", "2x1worker", "normal", "sleep=50ms answer=cut"), "k1", "cut", 1},
	}
	for _, tt := range jobs {
		id := d.submit(entry1, tt.body, tt.key)
		j := d.waitForJob(entry1, id)
		if got := string(j.Answer); j.Outcome != "answered" || got != tt.want {
			t.Errorf("%s: got %s %q, want answered %q", tt.name, j.Outcome, got, tt.want)
		}
		if a := d.do(entry1, "GET", "/v1/jobs/"+id+"/answer", "", ""); string(a.body) != tt.want {
			t.Errorf("%s: got answer %q, want %q", tt.name, a.body, tt.want)
		}
		runs := d.runsByRank(id)
		if len(runs) != tt.members {
			t.Errorf("%s: got %d members, want %d", tt.name, len(runs), tt.members)
		}
		for rank, n := range runs {
			if n != 1 {
				t.Errorf("%s: got %d runs of rank %d, want 1", tt.name, n, rank)
			}
		}
	}
	for _, name := range []string{"agent-1", "agent-2", "entry-1", "control-1"} {
		d.stop(d.processes[name])
	}
}

// TestAgentRestart checks that a job that may run only once isn't run again, and is answered in full, when the agent
// and the control replica are killed and restarted while it runs.
func TestAgentRestart(t *testing.T) {
	t.Parallel()
	d := newDeployment(t, 103, 1)
	control := d.startControl(1, true)
	d.startEntry(1)
	agent := d.startWorker(1, standin.Config{})
	d.pushRules(entry1, 1)
	id := d.submit(entry1, job("order", "2x1worker", "normal", "sleep=3s answer=cut"), "k1")
	d.waitFor("order running", func() bool { return len(d.runs()) == 1 })
	d.kill(agent)
	d.kill(control)
	d.start(agent)
	d.start(control)
	j := d.waitForJob(entry1, id)
	if got := string(j.Answer); j.Outcome != "answered" || got != "cut" {
		t.Errorf("got %s %q, want answered \"cut\": %s", j.Outcome, got, j.Detail)
	}
	if got := d.runsByRank(id)[0]; got != 1 {
		t.Errorf("got %d runs, want 1", got)
	}
}

// TestBadInput checks that each kind of bad input is refused with its status and outcome, and that no job results.
func TestBadInput(t *testing.T) {
	t.Parallel()
	d := newDeployment(t, 102, 1)
	d.startControl(1, true)
	d.startEntry(1)
	d.pushRules(entry1, 1)
	tables := []struct {
		name, method, path, body, key string
		status                        int
		outcome                       string
	}{
		{"no JSON", "POST", "/v1/jobs", "{", "", 400, "badRequest"},
		{"unknown field", "POST", "/v1/jobs", `{"workspace":"a","kind":"b","shape":"1x1worker","colour":1}`, "", 400, "badRequest"},
		{"wrong type", "POST", "/v1/jobs", `{"workspace":7}`, "", 400, "badRequest"},
		{"bad UTF-8", "POST", "/v1/jobs", "{\"workspace\":\"\xff\"}", "", 400, "badRequest"},
		{"two values", "POST", "/v1/jobs", `{} {}`, "", 400, "badRequest"},
		{"bad shape", "POST", "/v1/jobs", `{"workspace":"a","kind":"b","shape":"0x1worker"}`, "", 400, "badRequest"},
		{"too large", "POST", "/v1/jobs", strings.Repeat(" ", 200<<10), "", 413, "badRequest"},
		{"once without key", "POST", "/v1/jobs", job("order", "1x1worker", "normal", ""), "", 400, "badRequest"},
		{"faulty rules", "PUT", "/v1/rules?operator=x", "number 2\nonce job=a\n", "", 400, "badRequest"},
		{"no operator", "PUT", "/v1/rules", "number 2\n", "", 400, "badRequest"},
		{"missing job", "GET", "/v1/jobs/none", "", "", 404, "missing"},
		{"missing job cancelled", "DELETE", "/v1/jobs/none", "", "", 404, "missing"},
		{"no route", "GET", "/v1/nothing", "", "", 404, "missing"},
		{"unknown member", "POST", "/v1/members", `{"action":"remove","id":5}`, "", 404, "missing"},
	}
	for _, tt := range tables {
		a := d.do(entry1, tt.method, tt.path, tt.body, tt.key)
		if a.status != tt.status || a.outcome != tt.outcome {
			t.Errorf("%s: got %d %q, want %d %q: %s", tt.name, a.status, a.outcome, tt.status, tt.outcome, a.body)
		}
	}
	if a := d.do(entry1, "GET", "/v1/jobs", "", ""); string(a.body) != "[]" {
		t.Errorf("got jobs %s, want none", a.body)
	}
}

// TestSlowSender checks that a caller that sends only a part of the body gets status 408 after the timeout, and that
// no job results.
func TestSlowSender(t *testing.T) {
	t.Parallel()
	d := newDeployment(t, 104, 1)
	d.startControl(1, true)
	d.startEntry(1)
	d.waitFor("entry ready", func() bool { return d.ready(entry1) })
	c, err := net.Dial("tcp", d.address(entry1, 8100))
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = c.Close() }()
	if _, err := c.Write([]byte("POST /v1/jobs HTTP/1.1\r\nHost: x\r\nContent-Type: application/json\r\nContent-Length: 100\r\n\r\n{\"workspace\"")); err != nil {
		t.Fatal(err)
	}
	if err := c.SetReadDeadline(time.Now().Add(waitTimeout)); err != nil {
		t.Fatal(err)
	}
	response, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err != nil {
		t.Fatalf("got %v, want an answer", err)
	}
	_ = response.Body.Close()
	if response.StatusCode != http.StatusRequestTimeout {
		t.Errorf("got %s, want 408", response.Status)
	}
	if a := d.do(entry1, "GET", "/v1/jobs", "", ""); string(a.body) != "[]" {
		t.Errorf("got jobs %s, want none", a.body)
	}
}

// TestLinkage checks that the daemon is dynamically linked to the C library.
func TestLinkage(t *testing.T) {
	t.Parallel()
	out, err := exec.Command("ldd", daemon).CombinedOutput()
	if err != nil || !strings.Contains(string(out), "libc.so") {
		t.Errorf("got %v %s, want libc.so", err, out)
	}
}
