// Package e2e contains end-to-end tests that run the daemon's processes, with stand-in endpoints beside the agents
// and fault-injecting proxies in front of the control replicas.
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

// waitTimeout bounds every wait of a test. It is generous, as no test measures time by it.
const waitTimeout = 60 * time.Second

// daemon is the path of the daemon's executable, which TestMain builds.
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

// deployment is a set of processes on loopback addresses of one network: control replicas on .1 to .9, entries from
// .11, agents from .21, endpoints from .41, and proxies in front of the control replicas on .101 to .109.
type deployment struct {
	t               *testing.T
	network         string
	folder          string
	controls        int
	processes       map[string]*process
	proxies         map[string]*faultproxy.Proxy
	endpoints       map[string]*standin.Endpoint
	formerRuns      []standin.Run
	controlSettings string
}

// process is a daemon with its settings file and its log; cmd is nil after it was stopped.
type process struct {
	name   string
	config string
	cmd    *exec.Cmd
	log    *os.File
	exited chan error
}

// newDeployment returns an empty deployment in 127.NETWORK.0, which no other test may use at the same time. The
// control replicas and all other processes reach a control replica through its proxy.
func newDeployment(t *testing.T, network int, controls int) *deployment {
	t.Helper()
	d := &deployment{
		t:         t,
		network:   fmt.Sprintf("127.%d.0", network),
		folder:    t.TempDir(),
		controls:  controls,
		processes: map[string]*process{},
		proxies:   map[string]*faultproxy.Proxy{},
		endpoints: map[string]*standin.Endpoint{},
	}
	t.Cleanup(d.close)
	return d
}

func (d *deployment) close() {
	for _, e := range d.endpoints {
		e.Close()
	}
	for _, p := range d.processes {
		if p.cmd != nil {
			_ = p.cmd.Process.Kill()
			<-p.exited
		}
		if d.t.Failed() {
			d.t.Logf("last lines of %s:\n%s", p.name, tail(p.log.Name()))
		}
		_ = p.log.Close()
	}
	for _, p := range d.proxies {
		p.Close()
	}
}

// tail returns the last 25 lines of a file.
func tail(name string) string {
	data, _ := os.ReadFile(name)
	lines := strings.Split(string(data), "\n")
	return strings.Join(lines[max(0, len(lines)-25):], "\n")
}

func (d *deployment) address(host, port int) string {
	return fmt.Sprintf("%s.%d:%d", d.network, host, port)
}

// linkAddresses returns the link addresses in the settings, which are those of the proxies.
func (d *deployment) linkAddresses() string {
	var all []string
	for i := 1; i <= d.controls; i++ {
		all = append(all, fmt.Sprintf("%q", d.address(100+i, 7100)))
	}
	return strings.Join(all, ", ")
}

// writeSettings writes the settings of a process and opens its log, but doesn't start it.
func (d *deployment) writeSettings(name, roles string, host int, more string) *process {
	d.t.Helper()
	text := fmt.Sprintf("instance = %q\nzone = \"adum\"\nroles = [%s]\nhttp = %q\ncontrols = [%s]\nlogLevel = \"debug\"\ndrainDelay = \"50ms\"\n%s",
		name, roles, d.address(host, 8100), d.linkAddresses(), more)
	p := &process{name: name, config: filepath.Join(d.folder, name+".toml")}
	if err := os.WriteFile(p.config, []byte(text), 0o600); err != nil {
		d.t.Fatal(err)
	}
	var err error
	if p.log, err = os.Create(filepath.Join(d.folder, name+".log")); err != nil {
		d.t.Fatal(err)
	}
	d.processes[name] = p
	return p
}

// startControl starts control replica i and its proxy. With form set, it forms the cluster first.
func (d *deployment) startControl(i int, form bool) *process {
	d.t.Helper()
	name := fmt.Sprintf("control-%d", i)
	link := d.address(100+i, 7100)
	if d.proxies[name] == nil {
		proxy, err := faultproxy.Start(link, d.address(i, 7100))
		if err != nil {
			d.t.Fatal(err)
		}
		d.proxies[name] = proxy
	}
	more := fmt.Sprintf("link = %q\nlisten = %q\ndataFolder = %q\n[control]\nreplicas = %d\n%s",
		link, d.address(i, 7100), d.dataFolder(i), d.controls, d.controlSettings)
	p := d.writeSettings(name, `"control"`, i, more)
	if form {
		if out, err := exec.Command(daemon, "init", "--config", p.config).CombinedOutput(); err != nil {
			d.t.Fatalf("init: %v\n%s", err, out)
		}
	}
	d.start(p)
	return p
}

func (d *deployment) dataFolder(i int) string {
	return filepath.Join(d.folder, fmt.Sprintf("data-%d", i))
}

func (d *deployment) startEntry(i int) *process {
	d.t.Helper()
	p := d.writeSettings(fmt.Sprintf("entry-%d", i), `"entry"`, 10+i, "")
	d.start(p)
	return p
}

// startWorker starts an agent and the endpoint beside it.
func (d *deployment) startWorker(i int, c standin.Config) *process {
	d.t.Helper()
	p := d.writeSettings(fmt.Sprintf("agent-%d", i), `"agent"`, 20+i, "")
	d.start(p)
	c.Agent = "http://" + d.address(20+i, 8100)
	c.Address = d.address(40+i, 9100)
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
		d.t.Fatal(err)
	}
	d.endpoints[p.name] = e
	return p
}

func (d *deployment) start(p *process) {
	d.t.Helper()
	p.cmd = exec.Command(daemon, "--config", p.config)
	p.cmd.Stdout = p.log
	p.cmd.Stderr = p.log
	if err := p.cmd.Start(); err != nil {
		d.t.Fatal(err)
	}
	p.exited = make(chan error, 1)
	go func(cmd *exec.Cmd, exited chan error) { exited <- cmd.Wait() }(p.cmd, p.exited)
}

// kill ends a process with SIGKILL.
func (d *deployment) kill(p *process) {
	d.t.Helper()
	if err := p.cmd.Process.Kill(); err != nil {
		d.t.Fatal(err)
	}
	<-p.exited
	p.cmd = nil
}

// stop ends a process with SIGTERM and checks that it exits with 0.
func (d *deployment) stop(p *process) {
	d.t.Helper()
	if err := p.cmd.Process.Signal(syscall.SIGTERM); err != nil {
		d.t.Fatal(err)
	}
	select {
	case err := <-p.exited:
		if err != nil {
			d.t.Errorf("%s: got exit %v, want 0", p.name, err)
		}
	case <-time.After(waitTimeout):
		d.t.Fatalf("%s: got no exit, want one after SIGTERM", p.name)
	}
	p.cmd = nil
}

// isolate blocks the links of control replica i in both directions, without closing connections.
func (d *deployment) isolate(i int) {
	for name, p := range d.proxies {
		if name == fmt.Sprintf("control-%d", i) {
			p.Block(faultproxy.Both)
			continue
		}
		p.BlockFrom(fmt.Sprintf("%s.%d", d.network, i), faultproxy.Both)
	}
}

// cutInbound blocks only the messages to control replica i.
func (d *deployment) cutInbound(i int) { d.cutOneWay(i, faultproxy.ToServer, faultproxy.ToClient) }

// cutOutbound blocks only the messages from control replica i.
func (d *deployment) cutOutbound(i int) { d.cutOneWay(i, faultproxy.ToClient, faultproxy.ToServer) }

// cutOneWay blocks one direction on the connections that replica i accepted, and one on those that it dialled.
func (d *deployment) cutOneWay(i int, accepted, dialled faultproxy.Direction) {
	for name, p := range d.proxies {
		if name == fmt.Sprintf("control-%d", i) {
			p.Block(accepted)
			continue
		}
		p.BlockFrom(fmt.Sprintf("%s.%d", d.network, i), dialled)
	}
}

func (d *deployment) heal() {
	for _, p := range d.proxies {
		p.Heal()
	}
}

// startCluster starts the control replicas and a number of entries, and waits until all replicas vote.
func (d *deployment) startCluster(entries int) {
	d.t.Helper()
	for i := 1; i <= d.controls; i++ {
		d.startControl(i, i == 1)
	}
	for i := 1; i <= entries; i++ {
		d.startEntry(i)
	}
	d.waitFor("all replicas vote", func() bool { return d.voters(entry1) == d.controls })
}

// members returns the membership as the entry at a host reports it.
func (d *deployment) members(host int) hsview.Members {
	v, _ := view[hsview.Members](d, host, "/v1/members")
	return v
}

// voters returns the number of voters, or 0 while a replica is being replaced or joining.
func (d *deployment) voters(host int) int {
	v := d.members(host)
	if v.Repairing || len(v.Newcomers) > 0 {
		return 0
	}
	return len(v.Members)
}

// waitForLeader waits until an entry reports a leader and returns that replica's number.
func (d *deployment) waitForLeader(host int) int {
	d.t.Helper()
	leader := 0
	d.waitFor("a leader", func() bool {
		for _, m := range d.members(host).Members {
			if m.Part == "leader" {
				_, _ = fmt.Sscanf(string(m.Instance), "control-%d", &leader)
			}
		}
		return leader > 0
	})
	return leader
}

// rulesInForce returns the number of the rules in force as an entry reports it.
func (d *deployment) rulesInForce(host int) hsid.RuleNumber {
	v, _ := view[hsview.Rules](d, host, "/v1/rules")
	return v.File.Number
}

// waitFor waits until done returns true, and fails the test after waitTimeout.
func (d *deployment) waitFor(what string, done func() bool) {
	d.t.Helper()
	for began := time.Now(); !done(); time.Sleep(20 * time.Millisecond) {
		if time.Since(began) > waitTimeout {
			d.t.Fatalf("timed out, want: %s", what)
		}
	}
}

// httpAnswer is the response to an HTTP request. The outcome is empty unless the body is a problem with one.
type httpAnswer struct {
	status  int
	body    []byte
	header  http.Header
	outcome string
}

// do sends a request to the process at a host and returns the response; the status is 0 if there was none.
func (d *deployment) do(host int, method, path, body, key string) httpAnswer {
	ctx, cancel := context.WithTimeout(context.Background(), waitTimeout)
	defer cancel()
	return d.doContext(ctx, host, method, path, body, key)
}

func (d *deployment) doContext(ctx context.Context, host int, method, path, body, key string) httpAnswer {
	request, err := http.NewRequestWithContext(ctx, method, "http://"+d.address(host, 8100)+path, strings.NewReader(body))
	if err != nil {
		return httpAnswer{}
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
		return httpAnswer{}
	}
	defer func() { _ = response.Body.Close() }()
	data, err := io.ReadAll(response.Body)
	if err != nil {
		return httpAnswer{}
	}
	a := httpAnswer{status: response.StatusCode, body: data, header: response.Header}
	var problem struct {
		Outcome string `json:"outcome"`
	}
	if json.Unmarshal(data, &problem) == nil {
		a.outcome = problem.Outcome
	}
	return a
}

func (d *deployment) ready(host int) bool { return d.do(host, "GET", "/readyz", "", "").status == 200 }

// view fetches a view from an entry and reports whether that succeeded.
func view[T any](d *deployment, host int, path string) (T, bool) {
	var v T
	a := d.do(host, "GET", path, "", "")
	return v, a.status == 200 && hsjson.Unmarshal(a.body, &v) == nil
}

// entry1 and entry2 are the hosts of the first two entries.
const entry1, entry2 = 11, 12

const rulesHeader = "number %d\n"

// testRules are the rules after the header with the number that most tests use.
const testRules = `guarantee workspace=kejetia shape=4x1worker within=5s # test
once job=order # test
refuse job=sizeRun # test
`

// pushRules pushes rule file n and waits until it is in force everywhere.
func (d *deployment) pushRules(host int, n int) {
	d.t.Helper()
	content := fmt.Sprintf(rulesHeader, n) + testRules
	d.waitFor("rules accepted", func() bool {
		return d.do(host, "PUT", "/v1/rules?operator=test", content, "").status == 200
	})
	d.waitFor("rules everywhere", func() bool {
		v, ok := view[hsview.Rules](d, host, fmt.Sprintf("/v1/rules?everywhere=%d&wait=1s", n))
		return ok && v.Everywhere
	})
}

// job returns the body of a submission; the script is the input that the stand-in executes.
func job(kind, shape, class, script string) string {
	data, _ := json.Marshal(map[string]any{"workspace": "kejetia", "kind": kind, "shape": shape, "class": class, "input": []byte(script)})
	return string(data)
}

// submit repeats a submission until it is accepted, and returns the job's identifier.
func (d *deployment) submit(host int, body, key string) string {
	d.t.Helper()
	var id string
	d.waitFor("job accepted", func() bool {
		a := d.do(host, "POST", "/v1/jobs", body, key)
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

// waitForJob waits until a job has finished and returns its view.
func (d *deployment) waitForJob(host int, id string) hsview.Job {
	d.t.Helper()
	var j hsview.Job
	d.waitFor("job "+id+" finished", func() bool {
		var ok bool
		j, ok = view[hsview.Job](d, host, "/v1/jobs/"+id+"?wait=2s")
		return ok && j.Phase == "finished"
	})
	return j
}

// runs returns the recorded runs of all endpoints, including those that were closed.
func (d *deployment) runs() []standin.Run {
	all := append([]standin.Run(nil), d.formerRuns...)
	for _, e := range d.endpoints {
		all = append(all, e.Runs()...)
	}
	return all
}

// runsByRank returns the number of runs of each member of a job.
func (d *deployment) runsByRank(id string) map[int]int {
	count := map[int]int{}
	for _, r := range d.runs() {
		if string(r.Grant.Job) == id {
			count[r.Rank]++
		}
	}
	return count
}
