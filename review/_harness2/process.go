package main

import (
	"fmt"
	"math/rand/v2"
	"net"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"
)

// The ports of the processes; each process has a loopback address of its own.
const (
	linkPort     = 7000
	ownPort      = 7015
	callerPort   = 8521
	readyPort    = 8523
	controlPort  = 8526
	workerPort   = 8529
	platformPort = 8524
)

// The bounds of the site whose settings the cases use.
const (
	maxHoldMS     = 10000
	stopTimeoutMS = 400
	heartbeatMS   = 1500
)

// deployment is a set of processes on one loopback network.
type deployment struct {
	t         *test
	network   int
	controls  []*process
	entries   []*process
	agents    []*process
	tolerate  int
	advice    string
	machines  string
	memoryMB  int
	processes []*process
}

// process is one daemon. Its process is nil while it doesn't run.
type process struct {
	d        *deployment
	name     string
	template string
	ip       string
	running  *os.Process
	started  bool
	log      *os.File
}

var (
	childMutex sync.Mutex
	children   = map[int]*os.Process{}
)

// killAll ends all processes that the test started.
func killAll() {
	childMutex.Lock()
	defer childMutex.Unlock()
	for _, p := range children {
		_ = p.Signal(syscall.SIGCONT)
		_ = p.Kill()
	}
}

// newDeployment returns a deployment whose addresses are free. Nothing is started yet.
func newDeployment(t *test, controls, entries, agents, tolerate int) (*deployment, error) {
	d := &deployment{t: t, tolerate: tolerate, memoryMB: 280}
	for range 50 {
		d.network = 130 + rand.IntN(100)
		if d.isFree(controls, entries, agents) {
			for i := range controls {
				d.controls = append(d.controls, d.add("control", "control.toml", 1, i+1))
			}
			for i := range entries {
				d.entries = append(d.entries, d.add("entry", "entry.toml", 2, i+1))
			}
			for i := range agents {
				d.agents = append(d.agents, d.add("agent", "agent.toml", 3, i+1))
			}
			return d, nil
		}
	}
	return nil, fmt.Errorf("%w: no loopback network with free ports", errNotRun)
}

func (d *deployment) isFree(controls, entries, agents int) bool {
	for class, count := range []int{1, controls, entries, agents} {
		for i := range count {
			for _, port := range []int{linkPort, ownPort, callerPort, readyPort, controlPort, workerPort, platformPort} {
				l, err := net.Listen("tcp", d.address(class, i+1, port))
				if err != nil {
					return false
				}
				_ = l.Close()
			}
		}
	}
	return true
}

// ip returns the address of a machine of a class: 0 for the platform, 1 for control, 2 for entries, 3 for agents.
func (d *deployment) ip(class, i int) string {
	return fmt.Sprintf("127.%d.%d.%d", d.network, class, i)
}

func (d *deployment) address(class, i, port int) string {
	return fmt.Sprintf("%s:%d", d.ip(class, i), port)
}

func (d *deployment) add(name, template string, class, i int) *process {
	p := &process{d: d, name: fmt.Sprintf("%s-%d", name, i), template: template, ip: d.ip(class, i)}
	d.processes = append(d.processes, p)
	return p
}

// startAll starts all processes of the deployment.
func (d *deployment) startAll() error {
	for _, p := range d.processes {
		if err := p.start(); err != nil {
			return err
		}
	}
	return nil
}

// settings renders the template of the deploy file, as the platform does.
func (p *process) settings() (string, error) {
	text, err := os.ReadFile(filepath.Join("deploy", p.template))
	if err != nil {
		return "", err
	}
	d := p.d
	var seeds []string
	for _, c := range d.controls[:min(3, len(d.controls))] {
		seeds = append(seeds, fmt.Sprintf("\"%s:%d\"", c.ip, controlPort))
	}
	list := func(name, item string) string { return "{{#" + name + "}}\"{{" + item + "}}\"{{,}}{{/" + name + "}}" }
	section := func(name, text string) string { return "{{#" + name + "}}" + text + "{{/" + name + "}}" }
	out := strings.NewReplacer(
		list("seedNodes", "."), strings.Join(seeds, ","),
		list("zones", "@"), `"z"`,
		section("bounds.farMultiplier", "farFactor = {{.}}"), "farFactor = 3",
		section("bounds.leaseMs", "holderLease = \"{{.}}ms\""), "holderLease = \"3000ms\"",
		section("bounds.maintenanceS", "upkeep = \"{{.}}s\""), "upkeep = \"2s\"",
		"{{nodeName}}", p.name, "{{zone}}", "z", "{{ip}}", p.ip,
		"{{internalPortRange.0}}", fmt.Sprint(linkPort), "{{internalPortRange.1}}", fmt.Sprint(ownPort),
		"{{bootstrap}}", fmt.Sprint(!p.started), "{{dataDir}}", filepath.Join(d.t.folder, "data-"+p.name),
		"{{limits.memoryMb}}", fmt.Sprint(d.memoryMB), "{{faultTolerance.machines}}", fmt.Sprint(d.tolerate),
		"{{bounds.maxHoldMs}}", fmt.Sprint(maxHoldMS), "{{bounds.stopTimeoutMs}}", fmt.Sprint(stopTimeoutMS),
		"{{listenAddresses.controlPlane}}", fmt.Sprintf("%s:%d", p.ip, controlPort),
		"{{listenAddresses.frontendAddress}}", fmt.Sprintf("%s:%d", p.ip, callerPort),
		"{{listenAddresses.readinessAddress}}", fmt.Sprintf("%s:%d", p.ip, readyPort),
		"{{advice}}", d.advice, "{{cloudApi.address}}", d.machines, "{{app}}", fmt.Sprintf("%s:%d", p.ip, workerPort),
	).Replace(string(text))
	if strings.Contains(out, "{{") {
		return "", fmt.Errorf("%w: deploy/%s has a placeholder that this test doesn't know", errNotRun, p.template)
	}
	return out, nil
}

// start starts the process with the command of the deploy file.
func (p *process) start() error {
	text, err := p.settings()
	if err != nil {
		return err
	}
	config := filepath.Join(p.d.t.folder, p.name+".toml")
	if err := os.WriteFile(config, []byte(text), 0o600); err != nil {
		return err
	}
	if p.log == nil {
		if p.log, err = os.Create(filepath.Join(p.d.t.folder, p.name+".log")); err != nil {
			return err
		}
	}
	program := "target/hyssopseam-node"
	p.running, err = os.StartProcess(program, []string{program, "--config", config}, &os.ProcAttr{
		Env:   []string{"PATH=" + os.Getenv("PATH")},
		Files: []*os.File{nil, p.log, p.log},
		Sys:   &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL},
	})
	if err != nil {
		return fmt.Errorf("%w: start %s: %w", errNotRun, program, err)
	}
	childMutex.Lock()
	children[p.running.Pid] = p.running
	childMutex.Unlock()
	p.started = true
	p.d.t.record.note("process %s started", p.name)
	return nil
}

// signal sends a signal to the process.
func (p *process) signal(s syscall.Signal) {
	p.d.t.record.note("process %s gets %s", p.name, s)
	_ = p.running.Signal(s)
}

// kill ends the process and waits until it is gone.
func (p *process) kill() {
	p.signal(syscall.SIGKILL)
	_, _ = p.running.Wait()
	childMutex.Lock()
	delete(children, p.running.Pid)
	childMutex.Unlock()
	p.running = nil
}

// await polls until a condition holds.
func await(what string, timeout time.Duration, holds func() bool) error {
	for end := time.Now().Add(timeout); !holds(); time.Sleep(5 * time.Millisecond) {
		if time.Now().After(end) {
			return fmt.Errorf("%w: timed out waiting until %s", errNotRun, what)
		}
	}
	return nil
}
