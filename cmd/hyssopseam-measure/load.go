package main

import (
	"bytes"
	"context"
	"encoding/json"
	"flag"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/peterbourgon/ff/v3/ffcli"
)

// sample is the measurement of one request.
type sample struct {
	finishedAt time.Time
	latency    time.Duration
	ok         bool
}

func loadCommand() *ffcli.Command {
	fs := flag.NewFlagSet("load", flag.ContinueOnError)
	server := fs.String("server", "", "IP:port of the entries, separated by commas")
	callers := fs.Int("callers", 16, "number of concurrent callers")
	duration := fs.Duration("time", 5*time.Second, "how long to submit")
	wait := fs.Bool("wait", false, "wait for the answer of each job")
	workspace := fs.String("workspace", "load", "workspace of the jobs")
	return &ffcli.Command{
		Name: "load", ShortUsage: "hyssopseam-measure load --server IP:port [--callers N] [--time T] [--wait]",
		ShortHelp: "submit jobs and report commits a second, latency, and the longest time without a success",
		FlagSet:   fs,
		Exec: func(ctx context.Context, _ []string) error {
			l := &loadGenerator{servers: strings.Split(*server, ","), wait: *wait, workspace: *workspace, runID: rand.Uint64()}
			l.client = &http.Client{Timeout: 20 * time.Second, Transport: &http.Transport{MaxIdleConnsPerHost: *callers}}
			l.printReport(l.submitFor(ctx, *callers, *duration))
			return nil
		},
	}
}

type loadGenerator struct {
	servers   []string
	client    *http.Client
	wait      bool
	workspace string
	runID     uint64
}

func (l *loadGenerator) submitFor(ctx context.Context, callers int, duration time.Duration) []sample {
	var mutex sync.Mutex
	var all []sample
	var work sync.WaitGroup
	end := time.Now().Add(duration)
	for c := range callers {
		work.Go(func() {
			var own []sample
			for n := 0; time.Now().Before(end) && ctx.Err() == nil; n++ {
				began := time.Now()
				ok := l.submit(l.servers[(c+n)%len(l.servers)], fmt.Sprintf("%x-%d-%d", l.runID, c, n))
				own = append(own, sample{finishedAt: time.Now(), latency: time.Since(began), ok: ok})
				if !ok {
					time.Sleep(20 * time.Millisecond)
				}
			}
			mutex.Lock()
			all = append(all, own...)
			mutex.Unlock()
		})
	}
	work.Wait()
	return all
}

func (l *loadGenerator) submit(server, key string) bool {
	body, err := json.Marshal(map[string]any{"workspace": l.workspace, "kind": "load", "shape": "1x1worker", "input": []byte("sleep=0s answer=x")})
	if err != nil {
		return false
	}
	request, err := http.NewRequest(http.MethodPost, "http://"+server+"/v1/jobs", bytes.NewReader(body))
	if err != nil {
		return false
	}
	request.Header.Set("Content-Type", "application/json")
	request.Header.Set("Idempotency-Key", key)
	var accepted struct {
		ID string `json:"id"`
	}
	if !l.do(request, &accepted) {
		return false
	}
	if !l.wait {
		return true
	}
	request, err = http.NewRequest(http.MethodGet, "http://"+server+"/v1/jobs/"+accepted.ID+"?wait=10s", nil)
	var j struct {
		Outcome string `json:"outcome"`
	}
	return err == nil && l.do(request, &j) && j.Outcome == "answered"
}

func (l *loadGenerator) do(request *http.Request, into any) bool {
	response, err := l.client.Do(request)
	if err != nil {
		return false
	}
	defer func() { _ = response.Body.Close() }()
	data, err := io.ReadAll(response.Body)
	return err == nil && response.StatusCode < 300 && json.Unmarshal(data, into) == nil
}

func (l *loadGenerator) printReport(all []sample) {
	slices.SortFunc(all, func(a, b sample) int { return a.finishedAt.Compare(b.finishedAt) })
	var latencies []time.Duration
	var gap time.Duration
	var last time.Time
	failed := 0
	for _, s := range all {
		if !s.ok {
			failed++
			continue
		}
		latencies = append(latencies, s.latency)
		if !last.IsZero() {
			gap = max(gap, s.finishedAt.Sub(last))
		}
		last = s.finishedAt
	}
	if len(latencies) == 0 {
		fmt.Println("no request succeeded")
		return
	}
	span := last.Sub(all[0].finishedAt).Seconds()
	slices.Sort(latencies)
	percentile := func(share float64) time.Duration {
		return latencies[int(float64(len(latencies)-1)*share)].Round(10 * time.Microsecond)
	}
	fmt.Printf("%d done, %d failed, %.0f a second, p50 %s, p99 %s, p99.9 %s, longest time without a success %s\n",
		len(latencies), failed, float64(len(latencies))/span, percentile(0.5), percentile(0.99), percentile(0.999), gap.Round(time.Millisecond))
}
