// Package e2e runs the real daemons as processes, with stand-in endpoints beside the agents and
// fault-injecting proxies between the processes.
package e2e

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"syscall"
	"testing"
	"time"

	"hyssopseam/core/hsid"
	"hyssopseam/core/hsview"
	"hyssopseam/internal/faultproxy"
	"hyssopseam/internal/standin"
	"hyssopseam/io/hsjson"
)

// limit is how long a test waits for anything. It is generous; no test measures time by it.
const limit = 60 * time.Second

var daemon string

func TestMain(m *testing.M) {
	os.Exit(func() int {
		folder, err := os.MkdirTemp("", "hyssopseam-e2e-")
		if err != nil {
			fmt.Fprintln(os.Stderr, err)
			return 1
		}
		defer func() { _ = os.RemoveAll(folder) }()
		daemon = filepath.Join(folder, "hyssopseamd")
		if out, err := exec.Command("go", "build", "-o", daemon, "hyssopseam/cmd/hyssopseamd").CombinedOutput(); err != nil {
			fmt.Fprintf(os.Stderr, "%v\n%s", err, out)
			return 1
		}
		return m.Run()
	}())
}

// bed is one deployment: control replicas on .1 to .9, entries from .11, agents from .21, endpoints from
// .41, and proxies in front of the control replicas on .101 to .109.
type bed struct {
	t         *testing.T
	network   string
	folder    string
	controls  int
	processes map[string]*process
	proxies   map[string]*faultproxy.Proxy
	endpoints map[string]*standin.Endpoint
	runsGone  []standin.Run
	extra     string
}

// process is one daemon.
type process struct {
	name   string
	config string
	cmd    *exec.Cmd
	log    *os.File
	ended  chan error
}

// newBed returns an empty deployment on loopback addresses of its own. Control replicas reach each other
// through proxies.
func newBed(t *testing.T, network int, controls int) *bed {
	t.Helper()
	b := &bed{
		t:         t,
		network:   fmt.Sprintf("127.%d.0", network),
		folder:    t.TempDir(),
		controls:  controls,
		processes: map[string]*process{},
		proxies:   map[string]*faultproxy.Proxy{},
		endpoints: map[string]*standin.Endpoint{},
	}
	t.Cleanup(b.close)
	return b
}

func (b *bed) close() {
	for _, e := range b.endpoints {
		e.Close()
	}
	for _, p := range b.processes {
		if p.cmd != nil {
			_ = p.cmd.Process.Kill()
			<-p.ended
		}
		if b.t.Failed() {
			b.t.Logf("last lines of %s:\n%s", p.name, tail(p.log.Name()))
		}
		_ = p.log.Close()
	}
	for _, p := range b.proxies {
		p.Close()
	}
}

func tail(name string) string {
	data, _ := os.ReadFile(name)
	lines := strings.Split(string(data), "\n")
	return strings.Join(lines[max(0, len(lines)-25):], "\n")
}

func (b *bed) address(host, port int) string {
	return fmt.Sprintf("%s.%d:%d", b.network, host, port)
}

// links returns the addresses by which the replicas are known: those of the proxies.
func (b *bed) links() string {
	var all []string
	for i := 1; i <= b.controls; i++ {
		all = append(all, fmt.Sprintf("%q", b.address(100+i, 7100)))
	}
	return strings.Join(all, ", ")
}

// settings writes the settings of a process and starts nothing.
func (b *bed) settings(name, roles string, host int, more string) *process {
	b.t.Helper()
	text := fmt.Sprintf("instance = %q\nzone = \"adum\"\nroles = [%s]\nhttp = %q\ncontrols = [%s]\nlogLevel = \"debug\"\ndrainDelay = \"50ms\"\n%s",
		name, roles, b.address(host, 8100), b.links(), more)
	p := &process{name: name, config: filepath.Join(b.folder, name+".toml")}
	if err := os.WriteFile(p.config, []byte(text), 0o600); err != nil {
		b.t.Fatal(err)
	}
	var err error
	if p.log, err = os.Create(filepath.Join(b.folder, name+".log")); err != nil {
		b.t.Fatal(err)
	}
	b.processes[name] = p
	return p
}

// control makes replica i, with its proxy, and starts it. The first one forms the cluster.
func (b *bed) control(i int, form bool) *process {
	b.t.Helper()
	name := fmt.Sprintf("control-%d", i)
	link := b.address(100+i, 7100)
	if b.proxies[name] == nil {
		proxy, err := faultproxy.Start(link, b.address(i, 7100))
		if err != nil {
			b.t.Fatal(err)
		}
		b.proxies[name] = proxy
	}
	more := fmt.Sprintf("link = %q\nlisten = %q\ndataFolder = %q\n[control]\nreplicas = %d\n%s",
		link, b.address(i, 7100), b.data(i), b.controls, b.extra)
	p := b.settings(name, `"control"`, i, more)
	if form {
		if out, err := exec.Command(daemon, "init", "--config", p.config).CombinedOutput(); err != nil {
			b.t.Fatalf("init: %v\n%s", err, out)
		}
	}
	b.start(p)
	return p
}

func (b *bed) data(i int) string { return filepath.Join(b.folder, fmt.Sprintf("data-%d", i)) }

func (b *bed) entry(i int) *process {
	b.t.Helper()
	p := b.settings(fmt.Sprintf("entry-%d", i), `"entry"`, 10+i, "")
	b.start(p)
	return p
}

// worker starts an agent and the endpoint beside it.
func (b *bed) worker(i int, c standin.Config) *process {
	b.t.Helper()
	p := b.settings(fmt.Sprintf("agent-%d", i), `"agent"`, 20+i, "")
	b.start(p)
	c.Agent = "http://" + b.address(20+i, 8100)
	c.Address = b.address(40+i, 9100)
	c.Zone = "adum"
	if c.Rack == "" {
		c.Rack = "rack-1"
	}
	if c.Accelerators == 0 {
		c.Accelerators = 8
	}
	c.Cores = 30000
	c.Memory = 128 * hsid.GiB
	c.Interval = 100 * time.Millisecond
	e := standin.New(c)
	if err := e.Start(); err != nil {
		b.t.Fatal(err)
	}
	b.endpoints[p.name] = e
	return p
}

func (b *bed) start(p *process) {
	b.t.Helper()
	p.cmd = exec.Command(daemon, "--config", p.config)
	p.cmd.Stdout = p.log
	p.cmd.Stderr = p.log
	if err := p.cmd.Start(); err != nil {
		b.t.Fatal(err)
	}
	p.ended = make(chan error, 1)
	go func(cmd *exec.Cmd, ended chan error) { ended <- cmd.Wait() }(p.cmd, p.ended)
}

// kill ends a process at once.
func (b *bed) kill(p *process) {
	b.t.Helper()
	if err := p.cmd.Process.Kill(); err != nil {
		b.t.Fatal(err)
	}
	<-p.ended
	p.cmd = nil
}

// stop stops a process gracefully and checks that it exits 0.
func (b *bed) stop(p *process) {
	b.t.Helper()
	if err := p.cmd.Process.Signal(syscall.SIGTERM); err != nil {
		b.t.Fatal(err)
	}
	select {
	case err := <-p.ended:
		if err != nil {
			b.t.Errorf("%s: got exit %v, want 0", p.name, err)
		}
	case <-time.After(limit):
		b.t.Fatalf("%s: got no exit, want one after SIGTERM", p.name)
	}
	p.cmd = nil
}

// isolate cuts control replica i off silently, in both directions.
func (b *bed) isolate(i int) {
	for name, p := range b.proxies {
		if name == fmt.Sprintf("control-%d", i) {
			p.Cut(faultproxy.Both)
			continue
		}
		p.CutFrom(fmt.Sprintf("%s.%d", b.network, i), faultproxy.Both)
	}
}

// deafen cuts only what control replica i hears, and mute only what the others hear from it.
func (b *bed) deafen(i int) { b.cutOneWay(i, faultproxy.ToServer, faultproxy.ToClient) }

func (b *bed) mute(i int) { b.cutOneWay(i, faultproxy.ToClient, faultproxy.ToServer) }

// cutOneWay cuts a direction on connections that others made to replica i, and one on those that it made.
func (b *bed) cutOneWay(i int, accepted, dialled faultproxy.Direction) {
	for name, p := range b.proxies {
		if name == fmt.Sprintf("control-%d", i) {
			p.Cut(accepted)
			continue
		}
		p.CutFrom(fmt.Sprintf("%s.%d", b.network, i), dialled)
	}
}

func (b *bed) heal() {
	for _, p := range b.proxies {
		p.Heal()
	}
}

// cluster starts three control replicas and waits until all vote.
func (b *bed) cluster(entries int) {
	b.t.Helper()
	for i := 1; i <= b.controls; i++ {
		b.control(i, i == 1)
	}
	for i := 1; i <= entries; i++ {
		b.entry(i)
	}
	b.await("all replicas vote", func() bool { return b.voters(entry1) == b.controls })
}

// members returns the membership as an entry sees it.
func (b *bed) members(host int) hsview.Members {
	v, _ := view[hsview.Members](b, host, "/v1/members")
	return v
}

func (b *bed) voters(host int) int {
	v := b.members(host)
	if v.Repairing || len(v.Newcomers) > 0 {
		return 0
	}
	return len(v.Members)
}

// leader returns the number of the replica that leads.
func (b *bed) leader(host int) int {
	b.t.Helper()
	leader := 0
	b.await("a leader", func() bool {
		for _, m := range b.members(host).Members {
			if m.Part == "leader" {
				_, _ = fmt.Sscanf(string(m.Instance), "control-%d", &leader)
			}
		}
		return leader > 0
	})
	return leader
}

// rulesOf returns the number in force as an entry sees it.
func (b *bed) rulesOf(host int) hsid.RuleNumber {
	v, _ := view[hsview.Rules](b, host, "/v1/rules")
	return v.File.Number
}

// await waits until done returns true.
func (b *bed) await(what string, done func() bool) {
	b.t.Helper()
	for began := time.Now(); !done(); time.Sleep(20 * time.Millisecond) {
		if time.Since(began) > limit {
			b.t.Fatalf("got no end, want: %s", what)
		}
	}
}

// answer is what an HTTP request gave.
type answer struct {
	status  int
	body    []byte
	header  http.Header
	outcome string
}

// ask sends a request to an entry (or another host) and returns the answer; a failure gives status 0.
func (b *bed) ask(host int, method, path, body, key string) answer {
	ctx, cancel := context.WithTimeout(context.Background(), limit)
	defer cancel()
	return b.askFor(ctx, host, method, path, body, key)
}

func (b *bed) askFor(ctx context.Context, host int, method, path, body, key string) answer {
	request, err := http.NewRequestWithContext(ctx, method, "http://"+b.address(host, 8100)+path, strings.NewReader(body))
	if err != nil {
		return answer{}
	}
	request.Header.Set("Content-Type", "application/json")
	if method == http.MethodPut {
		request.Header.Set("Content-Type", "text/plain")
	}
	if key != "" {
		request.Header.Set("Idempotency-Key", key)
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return answer{}
	}
	defer func() { _ = response.Body.Close() }()
	data, err := io.ReadAll(response.Body)
	if err != nil {
		return answer{}
	}
	a := answer{status: response.StatusCode, body: data, header: response.Header}
	var problem struct {
		Outcome string `json:"outcome"`
	}
	if json.Unmarshal(data, &problem) == nil {
		a.outcome = problem.Outcome
	}
	return a
}

func (b *bed) ready(host int) bool { return b.ask(host, "GET", "/readyz", "", "").status == 200 }

// view fetches a view from an entry.
func view[T any](b *bed, host int, path string) (T, bool) {
	var v T
	a := b.ask(host, "GET", path, "", "")
	return v, a.status == 200 && hsjson.Unmarshal(a.body, &v) == nil
}

const entry1, entry2 = 11, 12

const rulesHead = "number %d\n"

// testRules are the rules that most tests use.
const testRules = `guarantee workspace=kejetia shape=4x1worker within=5s # test
once job=order # test
refuse job=sizeRun # test
`

// push pushes a rule file and waits until it is in force everywhere.
func (b *bed) push(host int, n int) {
	b.t.Helper()
	content := fmt.Sprintf(rulesHead, n) + testRules
	b.await("rules accepted", func() bool {
		return b.ask(host, "PUT", "/v1/rules?operator=test", content, "").status == 200
	})
	b.await("rules everywhere", func() bool {
		v, ok := view[hsview.Rules](b, host, fmt.Sprintf("/v1/rules?everywhere=%d&wait=1s", n))
		return ok && v.Everywhere
	})
}

// job is the body of a submission whose input is a script of the stand-in.
func job(kind, shape, class, script string) string {
	data, _ := json.Marshal(map[string]any{"workspace": "kejetia", "kind": kind, "shape": shape, "class": class, "input": []byte(script)})
	return string(data)
}

// submit submits until the answer isn't a refusal or unknown, and returns the job's identifier.
func (b *bed) submit(host int, body, key string) string {
	b.t.Helper()
	var id string
	b.await("job accepted", func() bool {
		a := b.ask(host, "POST", "/v1/jobs", body, key)
		var accepted struct {
			ID string `json:"id"`
		}
		if a.status != 200 && a.status != 202 {
			return false
		}
		id = accepted.ID
		if json.Unmarshal(a.body, &accepted) == nil {
			id = accepted.ID
		}
		return id != ""
	})
	return id
}

// finished waits for the end of a job.
func (b *bed) finished(host int, id string) hsview.Job {
	b.t.Helper()
	var j hsview.Job
	b.await("job "+id+" finished", func() bool {
		var ok bool
		j, ok = view[hsview.Job](b, host, "/v1/jobs/"+id+"?wait=2s")
		return ok && j.Phase == "finished"
	})
	return j
}

// runs returns the lines of all books, also of endpoints that are gone.
func (b *bed) runs() []standin.Run {
	all := append([]standin.Run(nil), b.runsGone...)
	for _, e := range b.endpoints {
		all = append(all, e.Runs()...)
	}
	return all
}

// runsOf counts the runs of each member of a job.
func (b *bed) runsOf(id string) map[int]int {
	count := map[int]int{}
	for _, r := range b.runs() {
		if string(r.Grant.Job) == id {
			count[r.Rank]++
		}
	}
	return count
}
