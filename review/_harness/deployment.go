package main

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"os"
	"path/filepath"
	"regexp"
	"strings"
	"syscall"
	"time"

	"hyssopseam/internal/faultproxy"
)

// Ports of a deployment. Each machine has a loopback address of its own, so that all machines use the same ports.
const (
	linkPort     = 7000
	httpPort     = 7015
	callerPort   = 8521
	readyPort    = 8523
	platformPort = 8524
	operatorPort = 8526
	workerPort   = 8529
)

// Host numbers of the machines: the first of each kind.
const (
	coreHost     = 1
	frontendHost = 11
	sideHost     = 21
	proxyHost    = 101
	platformHost = 200
)

// shape is the size of a deployment.
type shape struct {
	cores, frontends, sides int
	// proxied puts a proxy in front of the link address of each control process.
	proxied bool
}

// deployment runs the project's processes on loopback addresses, with settings rendered from the deploy templates.
type deployment struct {
	shape
	root    string
	folder  string
	network int
	record  *record
	// cores, frontends and sides hold the processes of each role.
	coreNodes, frontendNodes, sideNodes []*node
	proxies                             []*faultproxy.Proxy
}

// node is one process of a deployment; process is nil while it isn't running.
type node struct {
	name, config, ip string
	log              *os.File
	process          *os.Process
	exited           chan struct{}
}

func (d *deployment) ip(host int) string { return fmt.Sprintf("127.%d.0.%d", d.network, host) }

func (d *deployment) address(host, port int) string {
	return fmt.Sprintf("%s:%d", d.ip(host), port)
}

// newDeployment prepares a deployment in a temporary folder, on a loopback network on which nothing listens.
func newDeployment(s shape, r *record) (*deployment, error) {
	root, err := repositoryRoot()
	if err != nil {
		return nil, err
	}
	folder, err := os.MkdirTemp("", "hyssopseam-review-")
	if err != nil {
		return nil, err
	}
	d := &deployment{shape: s, root: root, folder: folder, record: r}
	for range 50 {
		d.network = 120 + rand.IntN(120)
		if d.networkFree() {
			return d, nil
		}
	}
	return nil, errors.New("no free loopback network")
}

// repositoryRoot returns the folder of go.mod above the program's working directory.
func repositoryRoot() (string, error) {
	folder, err := os.Getwd()
	if err != nil {
		return "", err
	}
	for ; folder != "/"; folder = filepath.Dir(folder) {
		if _, err := os.Stat(filepath.Join(folder, "go.mod")); err == nil {
			return folder, nil
		}
	}
	return "", errors.New("no go.mod above the working directory")
}

func (d *deployment) networkFree() bool {
	var all []string
	for i := range d.cores {
		all = append(all, d.address(coreHost+i, linkPort), d.address(coreHost+i, operatorPort), d.address(proxyHost+i, linkPort))
	}
	for i := range d.frontends {
		all = append(all, d.address(frontendHost+i, callerPort))
	}
	for i := range d.sides {
		all = append(all, d.address(sideHost+i, operatorPort), d.address(sideHost+i, workerPort))
	}
	for _, a := range append(all, d.address(platformHost, platformPort)) {
		l, err := net.Listen("tcp", a)
		if err != nil {
			return false
		}
		_ = l.Close()
	}
	return true
}

// start starts all processes.
func (d *deployment) start() error {
	for i := range d.cores {
		if d.proxied {
			p, err := faultproxy.Start(d.address(proxyHost+i, linkPort), d.address(coreHost+i, linkPort))
			if err != nil {
				return err
			}
			d.proxies = append(d.proxies, p)
		}
		n, err := d.newNode("control", fmt.Sprintf("core-%d", 1+i), coreHost+i)
		if err != nil {
			return err
		}
		d.coreNodes = append(d.coreNodes, n)
	}
	for i := range d.frontends {
		n, err := d.newNode("entry", fmt.Sprintf("frontend-%d", 1+i), frontendHost+i)
		if err != nil {
			return err
		}
		d.frontendNodes = append(d.frontendNodes, n)
	}
	for i := range d.sides {
		n, err := d.newNode("agent", fmt.Sprintf("side-%d", 1+i), sideHost+i)
		if err != nil {
			return err
		}
		d.sideNodes = append(d.sideNodes, n)
	}
	return nil
}

// newNode renders the settings of a process from its role's template and starts it.
func (d *deployment) newNode(role, name string, host int) (*node, error) {
	template, err := os.ReadFile(filepath.Join(d.root, "deploy", role+".toml"))
	if err != nil {
		return nil, err
	}
	seedHost := coreHost
	if d.proxied {
		seedHost = proxyHost
	}
	var seeds []string
	for i := range min(d.cores, 3) {
		seeds = append(seeds, d.address(seedHost+i, operatorPort))
	}
	data := ""
	if role == "control" {
		data = filepath.Join(d.folder, name+"-data")
	}
	text := render(string(template), map[string]any{
		"nodeName":                         name,
		"zone":                             "z1",
		"ip":                               d.ip(host),
		"zones":                            []string{"z1"},
		"seedNodes":                        seeds,
		"internalPortRange.0":              linkPort,
		"internalPortRange.1":              httpPort,
		"limits.memoryMb":                  280,
		"bounds.maxHoldMs":                 10000,
		"bounds.stopTimeoutMs":             400,
		"bounds.farMultiplier":             3,
		"bounds.leaseMs":                   3000,
		"bounds.maintenanceS":              2,
		"faultTolerance.machines":          (d.cores - 1) / 2,
		"bootstrap":                        true,
		"dataDir":                          data,
		"app":                              d.address(host, workerPort),
		"listenAddresses.frontendAddress":  d.address(host, callerPort),
		"listenAddresses.readinessAddress": d.address(host, readyPort),
		"listenAddresses.controlPlane":     d.address(host, operatorPort),
		"cloudApi.address":                 d.address(platformHost, platformPort),
	})
	if role == "control" && d.proxied {
		// The others reach this process by its proxy.
		own := fmt.Sprintf("%q", d.address(host, linkPort))
		proxy := fmt.Sprintf("%q", d.address(proxyHost+host-coreHost, linkPort))
		text = "listen = " + own + "\n" + strings.Replace(text, own, proxy, 1)
	}
	n := &node{name: name, ip: d.ip(host), config: filepath.Join(d.folder, name+".toml")}
	if err := os.WriteFile(n.config, []byte(text), 0o600); err != nil {
		return nil, err
	}
	if n.log, err = os.Create(filepath.Join(d.folder, name+".log")); err != nil {
		return nil, err
	}
	return n, d.launch(n)
}

var (
	sectionPattern = regexp.MustCompile(`(?s)\{\{#([A-Za-z.]+)\}\}(.*?)\{\{/[A-Za-z.]+\}\}`)
	valuePattern   = regexp.MustCompile(`\{\{([A-Za-z.0-9]+)\}\}`)
)

// render fills in the placeholders that the deploy templates use.
func render(template string, fields map[string]any) string {
	text := sectionPattern.ReplaceAllStringFunc(template, func(section string) string {
		parts := sectionPattern.FindStringSubmatch(section)
		var values []string
		switch v := fields[parts[1]].(type) {
		case nil:
		case []string:
			values = v
		default:
			values = []string{fmt.Sprint(v)}
		}
		var out strings.Builder
		for i, v := range values {
			comma := ","
			if i == len(values)-1 {
				comma = ""
			}
			out.WriteString(strings.NewReplacer("{{.}}", v, "{{@}}", v, "{{,}}", comma).Replace(parts[2]))
		}
		return out.String()
	})
	return valuePattern.ReplaceAllStringFunc(text, func(p string) string {
		if v := fields[strings.Trim(p, "{}")]; v != nil {
			return fmt.Sprint(v)
		}
		return ""
	})
}

// launch starts the process of a node, with the command of the deploy file.
func (d *deployment) launch(n *node) error {
	program := "target/hyssopseam-node"
	p, err := os.StartProcess(filepath.Join(d.root, program), []string{program, "--config", n.config}, &os.ProcAttr{
		Dir: d.root, Env: os.Environ(), Files: []*os.File{nil, n.log, n.log},
	})
	if err != nil {
		return err
	}
	n.process = p
	n.exited = make(chan struct{})
	go func(done chan struct{}) {
		_, _ = p.Wait()
		close(done)
	}(n.exited)
	return nil
}

// kill ends a process with SIGKILL.
func (d *deployment) kill(n *node) {
	if n.process == nil {
		return
	}
	_ = n.process.Signal(syscall.SIGKILL)
	<-n.exited
	n.process = nil
}

// close ends everything that the deployment started.
func (d *deployment) close() {
	for _, nodes := range [][]*node{d.coreNodes, d.frontendNodes, d.sideNodes} {
		for _, n := range nodes {
			d.kill(n)
			_ = n.log.Close()
		}
	}
	for _, p := range d.proxies {
		p.Close()
	}
	if os.Getenv("KEEP") == "" {
		_ = os.RemoveAll(d.folder)
	} else {
		fmt.Println("logs are in", d.folder)
	}
}

// cutCore cuts one control process off the other ones, in both directions or only from them to it.
func (d *deployment) cutCore(core int, oneWay bool) {
	toOthers := faultproxy.Both
	fromOthers := faultproxy.Both
	if oneWay {
		toOthers, fromOthers = faultproxy.ToClient, faultproxy.ToServer
	}
	for i := range d.cores {
		if i == core {
			continue
		}
		d.proxies[i].BlockFrom(d.ip(coreHost+core), toOthers)
		d.proxies[core].BlockFrom(d.ip(coreHost+i), fromOthers)
	}
}

// heal ends all cuts. The connections that were cut are closed, and what they held up is lost.
func (d *deployment) heal() {
	for _, p := range d.proxies {
		p.Drop()
		p.Heal()
	}
}

// waitUntil waits until a condition holds, for limit at most, and reports whether it does.
func waitUntil(limit time.Duration, holds func() bool) bool {
	for end := time.Now().Add(limit); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		if holds() {
			return true
		}
	}
	return holds()
}
