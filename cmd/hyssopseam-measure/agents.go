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

// agentProcess is an agent role with its own links and control goroutine, on an idlePlatform.
type agentProcess struct {
	process *hsprocess.Process
	links   *hslink.Links
}

// idlePlatform is a platform without tasks; it ends each start at once as done.
type idlePlatform struct {
	process *hsprocess.Process
}

// List reports that no task runs.
func (p idlePlatform) List(endpoint, _ hsid.Incarnation) {
	go p.process.HandleTaskList(endpoint, nil, true)
}

// Run accepts a start and reports its end as done at once.
func (p idlePlatform) Run(_, _ hsid.Incarnation, s hsagent.Start) {
	go func() {
		p.process.HandleStartConfirmed(s.Grant)
		p.process.HandleTaskEnd(s.Grant, hsagent.Result{Phase: hsmessage.TaskDone})
	}()
}

// Watch does nothing.
func (idlePlatform) Watch(hsid.Incarnation, hsid.Grant) {}

// Renew does nothing.
func (idlePlatform) Renew(hsid.Incarnation, time.Duration) {}

// Stop does nothing.
func (idlePlatform) Stop(hsid.Incarnation, hsid.Grant) {}

// Forget does nothing.
func (idlePlatform) Forget(hsid.Incarnation, hsid.Grant) {}

func agentsCommand() *ffcli.Command {
	fs := flag.NewFlagSet("agents", flag.ContinueOnError)
	controls := fs.String("controls", "", "link addresses of the control replicas")
	count := fs.Int("count", 10, "number of agents")
	server := fs.String("server", "", "IP:port of an entry; rule files are pushed only if it is set")
	pushes := fs.Int("pushes", 20, "number of rule files to push")
	first := fs.Int("first", 1, "number of the first rule file")
	duration := fs.Duration("time", 10*time.Second, "how long to measure the idle traffic")
	interval := fs.Duration("interval", 0, "time between two reports; 0 uses the default of the agent role")
	return &ffcli.Command{
		Name: "agents", ShortUsage: "hyssopseam-measure agents --controls IP:port,... [--count N]",
		ShortHelp: "run agents over real connections, and measure the time until rule files are in force everywhere",
		FlagSet:   fs,
		Exec: func(ctx context.Context, _ []string) error {
			var peers []hsstate.Peer
			for _, c := range strings.Split(*controls, ",") {
				peers = append(peers, hsstate.Peer(c))
			}
			return measureAgents(ctx, peers, *count, *interval, *duration, *server, *first, *pushes)
		},
	}
}

func startAgentProcess(i int, peers []hsstate.Peer, interval time.Duration) *agentProcess {
	p := &agentProcess{process: hsprocess.New(hsclock.New(), hslog.Discard())}
	id := hsid.InstanceID(fmt.Sprintf("stand-in-%03d", i))
	p.links = hslink.New(hslink.Config{Instance: id, Roles: []hsmessage.Role{hsmessage.RoleAgent}}, hslog.Discard(), p.process.Receive)
	a := hsagent.New(hsagent.Config{
		Instance:        id,
		Incarnation:     hsclock.NewIncarnation(),
		Controls:        peers,
		Interval:        interval,
		AnnouncementTTL: time.Hour,
	}, hsclock.New(), p.links, idlePlatform{process: p.process})
	p.process.Attach(nil, nil, a)
	go p.process.Run()
	p.process.Announce(hsmessage.Worker{
		Zone: "z", Rack: hsid.RackID(fmt.Sprintf("r%d", i/70)), Endpoint: 1,
		Groups: hsshape.WholeWorker(8), Cores: 30000, Memory: 128 * hsid.GiB,
	})
	return p
}

// usage holds the processor time of this process and the bytes sent and received by its agents, since their start.
type usage struct {
	cpu      time.Duration
	sent     int64
	received int64
}

func readUsage(agents []*agentProcess) usage {
	var r syscall.Rusage
	_ = syscall.Getrusage(syscall.RUSAGE_SELF, &r)
	u := usage{cpu: time.Duration(r.Utime.Nano() + r.Stime.Nano())}
	for _, p := range agents {
		u.sent += p.links.Counters.SentBytes.Load()
		u.received += p.links.Counters.ReceivedBytes.Load()
	}
	return u
}

func measureAgents(ctx context.Context, peers []hsstate.Peer, count int, interval, duration time.Duration, server string, first, pushes int) error {
	var agents []*agentProcess
	for i := range count {
		agents = append(agents, startAgentProcess(i, peers, interval))
	}
	defer func() {
		for _, p := range agents {
			p.links.Close()
			p.process.Stop()
		}
	}()
	for _, p := range agents {
		for !p.process.Snapshot().HasRulesLease && ctx.Err() == nil {
			time.Sleep(10 * time.Millisecond)
		}
	}
	time.Sleep(2 * time.Second)
	before := readUsage(agents)
	time.Sleep(duration)
	after := readUsage(agents)
	n := float64(count) * duration.Seconds()
	fmt.Printf("%d agents at rest: each sends %.0f and receives %.0f bytes a second and uses %.3f %% of a core\n",
		count, float64(after.sent-before.sent)/n, float64(after.received-before.received)/n, 100*(after.cpu-before.cpu).Seconds()/n)
	if server == "" {
		return nil
	}
	return measurePushes(server, first, pushes)
}

// measurePushes pushes rule files one after another, and measures the time from each push until it is accepted and
// until the rules are in force everywhere.
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
