// Package demo runs a small deployment inside one operating system process: one instance with the entry and control
// roles, and four workers in two racks, each with an agent and a stand-in endpoint.
//
// # Usage
//
//	d, err := demo.Start(demo.Config{Folder: folder, Network: "127.77.0"})
//	err = d.Ready(ctx, 10*time.Second)
//	err = d.Stop()
package demo

import (
	"context"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"net/http"
	"os"
	"path/filepath"
	"time"

	"hyssopseam/core/hsid"
	"hyssopseam/core/hsmessage"
	"hyssopseam/core/hsstate"
	"hyssopseam/internal/standin"
	"hyssopseam/io/hsapp"
	"hyssopseam/io/hsdisk"
	"hyssopseam/io/hslog"
	"hyssopseam/io/hssettings"
)

const (
	workers      = 4
	racks        = 2
	accelerators = hsid.Accelerators(8)
	cores        = hsid.MilliCores(30000)
	memory       = 128 * hsid.GiB
	slots        = 8

	linkPort     = 7100
	httpPort     = 8100
	endpointPort = 9100
	drainDelay   = 50 * time.Millisecond
	pollInterval = 20 * time.Millisecond
)

// Config holds the folder, the addresses and the logging of the deployment.
type Config struct {
	// Folder holds the control log.
	Folder string
	// Network is the first three numbers of its loopback addresses, such as "127.77.0".
	Network string
	// Logs writes the logs to standard error; otherwise they are discarded.
	Logs bool
}

// Demo is a running deployment.
type Demo struct {
	config    Config
	apps      []*hsapp.App
	endpoints []*standin.Endpoint
}

// HTTPAddress returns the address of the entry on a network.
func HTTPAddress(network string) string { return fmt.Sprintf("%s.1:%d", network, httpPort) }

// Start forms a cluster and starts all instances and endpoints. If one fails to start, the others are stopped.
func Start(c Config) (*Demo, error) {
	d := &Demo{config: c}
	err := d.startAll()
	if err != nil {
		err = errors.Join(err, d.Stop())
	}
	return d, err
}

func (d *Demo) startAll() error {
	out := io.Discard
	if d.config.Logs {
		out = os.Stderr
	}
	logger := hslog.New(out, slog.LevelInfo)
	link := hsstate.Peer(fmt.Sprintf("%s.1:%d", d.config.Network, linkPort))
	front := &hssettings.Settings{
		Instance:     "front",
		Zone:         "adum",
		Roles:        []hsmessage.Role{hsmessage.RoleEntry, hsmessage.RoleControl},
		Link:         link,
		HTTP:         d.HTTP(),
		Controls:     []hsstate.Peer{link},
		DataFolder:   filepath.Join(d.config.Folder, "control"),
		DrainDelay:   hssettings.Duration(drainDelay),
		DrainTimeout: hssettings.Duration(hssettings.DefaultDrainTimeout),
		Control:      hssettings.Control{Replicas: 1},
	}
	if _, err := hsdisk.Bootstrap(front.DataFolder, front.Instance, link); err != nil {
		return err
	}
	if err := d.startApp(front, logger); err != nil {
		return err
	}
	for i := range workers {
		if err := d.startWorker(i, link, logger); err != nil {
			return err
		}
	}
	return nil
}

func (d *Demo) startApp(s *hssettings.Settings, logger *slog.Logger) error {
	app, err := hsapp.New(s, logger, hsapp.Clients{})
	if err != nil {
		return err
	}
	if err := app.Start(); err != nil {
		return err
	}
	d.apps = append(d.apps, app)
	return nil
}

// startWorker starts an agent and the endpoint beside it.
func (d *Demo) startWorker(i int, link hsstate.Peer, logger *slog.Logger) error {
	address := d.agentAddress(i)
	s := &hssettings.Settings{
		Instance:     hsid.InstanceID(fmt.Sprintf("worker-%d", i+1)),
		Zone:         "adum",
		Roles:        []hsmessage.Role{hsmessage.RoleAgent},
		HTTP:         address,
		Controls:     []hsstate.Peer{link},
		DrainDelay:   hssettings.Duration(drainDelay),
		DrainTimeout: hssettings.Duration(hssettings.DefaultDrainTimeout),
	}
	if err := d.startApp(s, logger); err != nil {
		return err
	}
	e := standin.New(standin.Config{
		Agent:        "http://" + address,
		Address:      fmt.Sprintf("%s.%d:%d", d.config.Network, i+2, endpointPort),
		Zone:         "adum",
		Rack:         hsid.RackID(fmt.Sprintf("rack-%d", i*racks/workers+1)),
		Accelerators: accelerators,
		Cores:        cores,
		Memory:       memory,
		Slots:        slots,
	})
	d.endpoints = append(d.endpoints, e)
	return e.Start()
}

func (d *Demo) agentAddress(i int) string {
	return fmt.Sprintf("%s.%d:%d", d.config.Network, i+2, httpPort)
}

// HTTP returns the address of the entry.
func (d *Demo) HTTP() string { return HTTPAddress(d.config.Network) }

// Agents returns the HTTP addresses of the agents.
func (d *Demo) Agents() []string {
	var all []string
	for i := range workers {
		all = append(all, d.agentAddress(i))
	}
	return all
}

// Runs returns the recorded runs of all endpoints, one endpoint after the other.
func (d *Demo) Runs() []standin.Run {
	var all []standin.Run
	for _, e := range d.endpoints {
		all = append(all, e.Runs()...)
	}
	return all
}

// Ready waits until every instance is ready for requests. It returns an error if that takes longer than the timeout.
func (d *Demo) Ready(ctx context.Context, timeout time.Duration) error {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	for _, address := range append(d.Agents(), d.HTTP()) {
		for !ready(ctx, address) {
			if ctx.Err() != nil {
				return fmt.Errorf("demo: %s isn't ready: %w", address, ctx.Err())
			}
			time.Sleep(pollInterval)
		}
	}
	return nil
}

func ready(ctx context.Context, address string) bool {
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address+"/readyz", nil)
	if err != nil {
		return false
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return false
	}
	_ = response.Body.Close()
	return response.StatusCode == http.StatusOK
}

// Stop stops the agents, then the instance with the entry and control roles, then the endpoints. It returns the
// errors of all of them.
func (d *Demo) Stop() error {
	var errs []error
	for i := len(d.apps) - 1; i >= 0; i-- {
		errs = append(errs, d.apps[i].Stop())
	}
	for _, e := range d.endpoints {
		e.Close()
	}
	return errors.Join(errs...)
}
