package main

import (
	"context"
	"flag"
	"fmt"
	"io"
	"net/http"
	"slices"
	"strings"
	"syscall"
	"time"

	"github.com/peterbourgon/ff/v3/ffcli"

	"hyssopseam/core/command/hsagent"
	"hyssopseam/core/hsid"
	"hyssopseam/core/hsmessage"
	"hyssopseam/core/hsshape"
	"hyssopseam/core/hsstate"
	"hyssopseam/core/hsview"
	"hyssopseam/io/hsclock"
	"hyssopseam/io/hsjson"
	"hyssopseam/io/hslink"
	"hyssopseam/io/hslog"
	"hyssopseam/io/hsprocess"
)

// holder is one agent role with its own links and control goroutine, and a platform that runs nothing.
type holder struct {
	process *hsprocess.Process
	links   *hslink.Links
}

// idle is a platform that knows no tasks.
type idle struct {
	process *hsprocess.Process
}

// List answers that nothing runs.
func (p idle) List(endpoint, _ hsid.Incarnation) { go p.process.Listed(endpoint, nil, true) }

// Run takes a start and ends it at once.
func (p idle) Run(_, _ hsid.Incarnation, s hsagent.Start) {
	go func() {
		p.process.Accepted(s.Grant)
		p.process.Ended(s.Grant, hsagent.Result{Phase: hsmessage.TaskDone})
	}()
}

// Watch does nothing.
func (idle) Watch(hsid.Incarnation, hsid.Grant) {}

// Renew does nothing.
func (idle) Renew(hsid.Incarnation, time.Duration) {}

// Stop does nothing.
func (idle) Stop(hsid.Incarnation, hsid.Grant) {}

// Forget does nothing.
func (idle) Forget(hsid.Incarnation, hsid.Grant) {}

func agentsCommand() *ffcli.Command {
	fs := flag.NewFlagSet("agents", flag.ContinueOnError)
	controls := fs.String("controls", "", "link addresses of the control replicas")
	count := fs.Int("count", 10, "number of agents")
	server := fs.String("server", "", "an entry; with it rule files are pushed")
	pushes := fs.Int("pushes", 20, "number of rule files to push")
	first := fs.Int("first", 1, "number of the first rule file")
	length := fs.Duration("time", 10*time.Second, "how long to look at the traffic at rest")
	interval := fs.Duration("interval", 0, "time between two reports; the default of the agent role when zero")
	return &ffcli.Command{
		Name: "agents", ShortUsage: "hyssopseam-measure agents --controls IP:port,... [--count N]",
		ShortHelp: "hold agents over real connections, and time rule files until they are in force everywhere",
		FlagSet:   fs,
		Exec: func(ctx context.Context, _ []string) error {
			var peers []hsstate.Peer
			for _, c := range strings.Split(*controls, ",") {
				peers = append(peers, hsstate.Peer(c))
			}
			return measureAgents(ctx, peers, *count, *interval, *length, *server, *first, *pushes)
		},
	}
}

func startHolder(i int, peers []hsstate.Peer, interval time.Duration) *holder {
	h := &holder{process: hsprocess.New(hsclock.New(), hslog.Discard())}
	id := hsid.InstanceID(fmt.Sprintf("stand-in-%03d", i))
	h.links = hslink.New(hslink.Config{Instance: id, Roles: []hsmessage.Role{hsmessage.RoleAgent}}, hslog.Discard(), h.process.Receive)
	a := hsagent.New(hsagent.Config{
		Instance:    id,
		Incarnation: hsclock.NewIncarnation(),
		Controls:    peers,
		Interval:    interval,
		Announce:    time.Hour,
	}, hsclock.New(), h.links, idle{process: h.process})
	h.process.Attach(nil, nil, a)
	go h.process.Run()
	h.process.Announce(hsmessage.Worker{
		Zone: "z", Rack: hsid.RackID(fmt.Sprintf("r%d", i/70)), Endpoint: 1,
		Groups: hsshape.WholeWorker(8), Cores: 30000, Memory: 128 * hsid.GiB,
	})
	return h
}

// usage is what a process has used up so far.
type usage struct {
	cpu  time.Duration
	sent int64
	got  int64
}

func use(all []*holder) usage {
	var r syscall.Rusage
	_ = syscall.Getrusage(syscall.RUSAGE_SELF, &r)
	u := usage{cpu: time.Duration(r.Utime.Nano() + r.Stime.Nano())}
	for _, h := range all {
		u.sent += h.links.Counters.SentBytes.Load()
		u.got += h.links.Counters.ReceivedBytes.Load()
	}
	return u
}

func measureAgents(ctx context.Context, peers []hsstate.Peer, count int, interval, length time.Duration, server string, first, pushes int) error {
	var all []*holder
	for i := range count {
		all = append(all, startHolder(i, peers, interval))
	}
	defer func() {
		for _, h := range all {
			h.links.Close()
			h.process.Stop()
		}
	}()
	for _, h := range all {
		for !h.process.Published().RulesOK && ctx.Err() == nil {
			time.Sleep(10 * time.Millisecond)
		}
	}
	time.Sleep(2 * time.Second)
	before := use(all)
	time.Sleep(length)
	after := use(all)
	n := float64(count) * length.Seconds()
	fmt.Printf("%d agents at rest: each sends %.0f and receives %.0f bytes a second and uses %.3f %% of a core\n",
		count, float64(after.sent-before.sent)/n, float64(after.got-before.got)/n, 100*(after.cpu-before.cpu).Seconds()/n)
	if server == "" {
		return nil
	}
	return measurePushes(server, first, pushes)
}

// measurePushes times rule files from the push to their being in force everywhere.
func measurePushes(server string, first, pushes int) error {
	var accepted, everywhere []time.Duration
	for n := first; n < first+pushes; n++ {
		began := time.Now()
		content := fmt.Sprintf("number %d\n", n) + strings.Repeat("# a line of forty characters, as comments\n", 50)
		request, err := http.NewRequest(http.MethodPut, "http://"+server+"/v1/rules?operator=measure", strings.NewReader(content))
		if err != nil {
			return err
		}
		request.Header.Set("Content-Type", "text/plain")
		if _, err := fetch(request); err != nil {
			return err
		}
		accepted = append(accepted, time.Since(began))
		for done := false; !done; {
			request, err := http.NewRequest(http.MethodGet, fmt.Sprintf("http://%s/v1/rules?everywhere=%d&wait=10s", server, n), nil)
			if err != nil {
				return err
			}
			data, err := fetch(request)
			if err != nil {
				return err
			}
			var v hsview.Rules
			if err := hsjson.Unmarshal(data, &v); err != nil {
				return err
			}
			done = v.Everywhere && v.File.Number >= hsid.RuleNumber(n)
		}
		everywhere = append(everywhere, time.Since(began))
	}
	slices.Sort(accepted)
	slices.Sort(everywhere)
	last := len(everywhere) - 1
	fmt.Printf("%d rule files: accepted after p50 %s max %s, in force everywhere after p50 %s max %s\n", pushes,
		accepted[last/2].Round(time.Microsecond), accepted[last].Round(time.Microsecond),
		everywhere[last/2].Round(time.Microsecond), everywhere[last].Round(time.Microsecond))
	return nil
}

func fetch(request *http.Request) ([]byte, error) {
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return nil, err
	}
	defer func() { _ = response.Body.Close() }()
	data, err := io.ReadAll(response.Body)
	if err == nil && response.StatusCode >= 300 {
		err = fmt.Errorf("%s: %s", response.Status, data)
	}
	return data, err
}
