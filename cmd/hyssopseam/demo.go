package main

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"os"
	"strings"
	"time"

	"github.com/peterbourgon/ff/v3/ffcli"

	"hyssopseam/examples"
	"hyssopseam/internal/demo"
)

// demoTimeout limits the time until all roles are ready, and until the rules are in force everywhere.
const demoTimeout = 20 * time.Second

func (t *tool) demoCommand() *ffcli.Command {
	fs := t.flags("demo")
	stay := fs.Bool("stay", false, "keep running until interrupted")
	logs := fs.Bool("logs", false, "print the logs of all roles")
	return &ffcli.Command{
		Name: "demo", ShortUsage: "hyssopseam demo [--stay]", ShortHelp: "run all roles and four simulated endpoints in this process",
		LongHelp: "Everything runs on loopback, with the control log in a temporary folder that is removed at the end.",
		FlagSet:  fs,
		Exec: func(ctx context.Context, _ []string) error {
			return t.demo(ctx, *stay, *logs)
		},
	}
}

func (t *tool) demo(ctx context.Context, stay, logs bool) error {
	folder, err := os.MkdirTemp("", "hyssopseam-demo-")
	if err != nil {
		return err
	}
	defer func() { _ = os.RemoveAll(folder) }()
	network, err := freeNetwork()
	if err != nil {
		return err
	}
	d, err := demo.Start(demo.Config{Folder: folder, Network: network, Logs: logs})
	if err != nil {
		return err
	}
	err = t.runDemoSteps(ctx, d)
	if err == nil && stay {
		t.printDemoHints(d)
		<-ctx.Done()
	}
	stopped := d.Stop()
	if err != nil {
		return err
	}
	if stopped == nil {
		fmt.Fprintln(t.errOut, "demo: all roles stopped gracefully")
	}
	return stopped
}

// freeNetwork returns the first three numbers of a loopback network in which the HTTP address of the demo is free.
func freeNetwork() (string, error) {
	for n := 77; n < 97; n++ {
		network := fmt.Sprintf("127.%d.0", n)
		l, err := net.Listen("tcp", demo.HTTPAddress(network))
		if err == nil {
			return network, l.Close()
		}
	}
	return "", fmt.Errorf("no loopback network is free for the demo")
}

// runDemoSteps pushes the example rules, submits jobs of several kinds and one of them twice, and prints the status and
// the workers.
func (t *tool) runDemoSteps(ctx context.Context, d *demo.Demo) error {
	c := &client{servers: servers{d.HTTP()}}
	if err := d.Ready(ctx, demoTimeout); err != nil {
		return err
	}
	fmt.Fprintln(t.errOut, "demo: pushing the example rules")
	if err := t.push(ctx, c, examples.KumasiRules, "demo", demoTimeout); err != nil {
		return err
	}
	jobs := []struct {
		title string
		key   string
		body  submission
	}{
		{"an order, which never runs twice", "order-1", submission{Workspace: "kejetia", Kind: "order", Shape: "2x1worker", Class: "normal", Input: []byte("sleep=200ms answer=pair-cut")}},
		{"a counter check", "check-1", submission{Workspace: "suame", Kind: "counterCheck", Shape: "1x1worker", Class: "urgent", Input: []byte("sleep=50ms answer=size-8")}},
		{"a gang over two workers of a rack", "block-1", submission{Workspace: "kejetia", Kind: "fittingBlock", Shape: "2x2workers", Class: "normal", Input: []byte("sleep=300ms")}},
		{"the same order once more, with the same key", "order-1", submission{Workspace: "kejetia", Kind: "order", Shape: "2x1worker", Class: "normal", Input: []byte("sleep=200ms answer=pair-cut")}},
	}
	for _, j := range jobs {
		fmt.Fprintf(t.out, "\n%s:\n", strings.ToUpper(j.title[:1])+j.title[1:])
		if err := t.submit(ctx, c, &j.body, j.key, true); err != nil {
			return err
		}
	}
	for _, path := range []string{"/v1/status", "/v1/workers"} {
		data, err := c.do(ctx, call{method: http.MethodGet, path: path})
		if err != nil {
			return err
		}
		show := t.printWorkers
		if path == "/v1/status" {
			show = t.printStatus
		}
		fmt.Fprintln(t.out)
		if err := show(data); err != nil {
			return err
		}
	}
	return nil
}

func (t *tool) printDemoHints(d *demo.Demo) {
	fmt.Fprintf(t.out, "\nRunning. The entry is at %s; the agents are at %v. Try:\n", d.HTTP(), d.Agents())
	for _, line := range []string{
		"hyssopseam status --server %s",
		"hyssopseam rules show --everywhere --server %s",
		"hyssopseam job submit --workspace suame --kind counterCheck --class urgent --wait --server %s",
		"hyssopseam job list --server %s",
		"hyssopseam members list --server %s",
		"curl http://%s/metrics",
	} {
		fmt.Fprintf(t.out, "  "+line+"\n", d.HTTP())
	}
	fmt.Fprintln(t.out, "Interrupt to stop.")
}
