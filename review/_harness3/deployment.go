package main

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"syscall"
	"time"

	"hyssopseam/internal/faultproxy"
)

// The deployment: five control replicas of which two may be lost, two entries, and one agent for each worker.
const (
	controls  = 5
	entries   = 2
	tolerated = 2
	linkPort  = 7000
	ownPort   = 7015

	callersPort   = 8521
	readinessPort = 8523
	controlPort   = 8526
	workerPort    = 8529
)

// Bounds of the pages' small deployments.
const (
	heartbeatInterval = 1500 * time.Millisecond
	maxHold           = 10 * time.Second
	stopTimeout       = 400 * time.Millisecond
	finishTime        = 14 * time.Second
)

// process is one daemon.
type process struct {
	name   string
	config string
	output *os.File
	daemon *os.Process
}

// deployment is a running deployment on addresses 127.X.Y.*. Links to the control replicas pass proxies, one for each.
type deployment struct {
	record    *record
	folder    string
	network   string
	processes map[string]*process
	proxies   []*faultproxy.Proxy
}

func (d *deployment) host(n int) string { return fmt.Sprintf("%s.%d", d.network, n) }

func (d *deployment) address(host, port int) string { return fmt.Sprintf("%s:%d", d.host(host), port) }

// The hosts of the network, by index.
func controlHost(i int) int { return 1 + i }
func proxyHost(i int) int   { return 101 + i }
func entryHost(i int) int   { return 11 + i }
func agentHost(i int) int   { return 21 + i }

// freeNetwork returns a network on which nothing listens on the ports of the deployment.
func freeNetwork() (string, error) {
	for range 50 {
		network := fmt.Sprintf("127.%d.%d", 60+rand.IntN(180), 1+rand.IntN(250))
		free := true
		for _, port := range []int{linkPort, ownPort, callersPort, controlPort, workerPort} {
			l, err := net.Listen("tcp", fmt.Sprintf("%s.1:%d", network, port))
			if err != nil {
				free = false
				break
			}
			_ = l.Close()
		}
		if free {
			return network, nil
		}
	}
	return "", errors.New("no free loopback network")
}

// newDeployment starts the daemons, with the templates and the command of the deploy file.
func newDeployment(r *record, agents int) (*deployment, error) {
	folder, err := os.MkdirTemp("", "review-3-")
	if err != nil {
		return nil, err
	}
	network, err := freeNetwork()
	if err != nil {
		return nil, err
	}
	d := &deployment{record: r, folder: folder, network: network, processes: map[string]*process{}}
	for i := range controls {
		proxy, err := faultproxy.Start(d.address(proxyHost(i), linkPort), d.address(controlHost(i), linkPort))
		if err != nil {
			return d, err
		}
		d.proxies = append(d.proxies, proxy)
		if err := d.addProcess("control", fmt.Sprintf("core-%d", 1+i), controlHost(i), i); err != nil {
			return d, err
		}
	}
	for i := range entries {
		if err := d.addProcess("entry", fmt.Sprintf("front-%d", 1+i), entryHost(i), i); err != nil {
			return d, err
		}
	}
	for i := range agents {
		if err := d.addProcess("agent", fmt.Sprintf("side-%d", 1+i), agentHost(i), i); err != nil {
			return d, err
		}
	}
	return d, nil
}

// fields returns the fields of a process, as the settings file of the platform has them.
func (d *deployment) fields(name string, host int, bootstrap bool) settings {
	var seeds []string
	for i := range 3 {
		seeds = append(seeds, d.address(proxyHost(i), controlPort))
	}
	return settings{
		"nodeName": name, "zone": "adum", "ip": d.host(host), "zones": []string{"adum"},
		"internalPortRange": []string{fmt.Sprint(linkPort), fmt.Sprint(ownPort)},
		"seedNodes":         seeds, "bootstrap": bootstrap,
		"dataDir": filepath.Join(d.folder, "data-"+name),
		"limits":  settings{"memoryMb": 280}, "faultTolerance": settings{"machines": tolerated},
		"listenAddresses": settings{
			"frontendAddress":  d.address(host, callersPort),
			"readinessAddress": d.address(host, readinessPort),
			"controlPlane":     d.address(host, controlPort),
		},
		"app": d.address(host, workerPort),
		"bounds": settings{
			"maxHoldMs": maxHold.Milliseconds(), "stopTimeoutMs": stopTimeout.Milliseconds(), "farMultiplier": 3, "leaseMs": 3000, "maintenanceS": 2,
		},
	}
}

// addProcess renders the settings of a process by the template of its role, and starts it.
func (d *deployment) addProcess(role, name string, host, index int) error {
	template, err := os.ReadFile(filepath.Join("deploy", role+".toml"))
	if err != nil {
		return err
	}
	text := d.fields(name, host, true).render(string(template))
	if role == "control" {
		// The others reach this replica through its proxy.
		own := fmt.Sprintf("%q", d.address(host, linkPort))
		text = strings.Replace(text, own, fmt.Sprintf("%q\nlisten       = %s", d.address(proxyHost(index), linkPort), own), 1)
	}
	p := &process{name: name, config: filepath.Join(d.folder, name+".conf")}
	if err := os.WriteFile(p.config, []byte(text), 0o600); err != nil {
		return err
	}
	if p.output, err = os.Create(filepath.Join(d.folder, name+".log")); err != nil {
		return err
	}
	d.processes[name] = p
	return d.start(p)
}

// start starts a daemon, as the run line of the deploy file does.
func (d *deployment) start(p *process) error {
	attributes := &os.ProcAttr{
		Env:   []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "LANG=" + os.Getenv("LANG")},
		Files: []*os.File{nil, p.output, p.output},
		// The daemon ends with this process, should it be killed.
		Sys: &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL},
	}
	var err error
	if p.daemon, err = os.StartProcess("target/hyssopseam-node", []string{"hyssopseam-node", "--config", p.config}, attributes); err != nil {
		return err
	}
	d.record.add("started %s", p.name)
	return nil
}

// cutOff cuts a host off from all control replicas, silently and in both directions, until heal.
func (d *deployment) cutOff(host int) {
	d.record.add("cut off %s from all core machines", d.host(host))
	for _, p := range d.proxies {
		p.BlockFrom(d.host(host), faultproxy.Both)
	}
}

func (d *deployment) heal() {
	d.record.add("the cut heals")
	for _, p := range d.proxies {
		p.Heal()
	}
}

// ready reports whether all entries are ready.
func (d *deployment) ready() bool {
	for i := range entries {
		response, err := http.Get("http://" + d.address(entryHost(i), readinessPort) + "/v1/ready")
		if err != nil {
			return false
		}
		_ = response.Body.Close()
		if response.StatusCode != http.StatusOK {
			return false
		}
	}
	return true
}

// close ends all daemons. With KEEP in the environment the folder with their logs stays.
func (d *deployment) close() {
	for _, p := range d.processes {
		if p.daemon != nil {
			_ = p.daemon.Kill()
			_, _ = p.daemon.Wait()
		}
		_ = p.output.Close()
	}
	for _, p := range d.proxies {
		p.Close()
	}
	if os.Getenv("KEEP") != "" {
		fmt.Println("logs in", d.folder)
		return
	}
	_ = os.RemoveAll(d.folder)
}
