package main

import (
	"fmt"
	"hash/fnv"
	"net/http"
	"time"
)

// The load of the case: jobs of small tasks, all of which fit on one worker of 128 cores and 512 GiB.
const (
	endsJobs   = 24
	endsTasks  = 50
	endsCPU    = 100
	endsMemory = 100
	// endsShortest and endsSpread are the shortest time that a task works and how much longer others work.
	endsShortest = 6000
	endsSpread   = 1500
	// drainTimeout is what a draining worker announces; drainExtra is how much longer it goes on serving.
	drainTimeout = 2 * time.Second
	drainExtra   = 10 * time.Second
	// endsKill is how long after the notice the control processes are killed, and endsDown how long they are down.
	endsKill = 300 * time.Millisecond
	endsDown = 900 * time.Millisecond
	// endsWatch is how long the test watches after that.
	endsWatch = 10 * time.Second
)

// runEnds submits jobs of many small tasks, which run on one worker. When the first of them ends, the worker drains,
// and the control processes are killed for a moment. The worker has more ends to list than one answer holds.
func runEnds(t *test) ([]string, error) {
	d, err := newDeployment(t, 3, 2, 2, 1)
	if err != nil {
		return nil, err
	}
	if err := d.startAll(); err != nil {
		return nil, err
	}
	var workers []*worker
	for i := range d.agents {
		w, err := newWorker(d, i, 128000, 524288, 8)
		if err != nil {
			return nil, err
		}
		w.needs = func(string) (int64, int64, int64) { return endsCPU, endsMemory, 0 }
		w.duration = func(task string) time.Duration {
			h := fnv.New32a()
			_, _ = h.Write([]byte(task))
			return time.Duration(endsShortest+h.Sum32()%endsSpread) * time.Millisecond
		}
		w.serve()
		workers = append(workers, w)
	}
	if err := d.configure(configuration(1, 0), 30*time.Second); err != nil {
		return nil, err
	}
	if err := await("the entries are ready", 20*time.Second, d.ready); err != nil {
		return nil, err
	}
	time.Sleep(3 * time.Second)
	var ids []string
	for i := range endsJobs {
		id := fmt.Sprintf("%016x", 0x5c0e7a2100000000+uint64(i))
		ids = append(ids, id)
		job := map[string]any{"spec": "job " + id, "steps": []any{map[string]any{
			"count": endsTasks, "cpu": endsCPU, "memMb": endsMemory, "estimatedMs": endsShortest,
		}}}
		if a := d.call(i%2, http.MethodPost, "/q/"+id, job); a.status != http.StatusOK {
			return nil, fmt.Errorf("%w: job %s was answered %d", errNotRun, id, a.status)
		}
	}
	if err := await("a task has ended", 30*time.Second, func() bool { return t.record.countEnds("done") > 0 }); err != nil {
		return nil, err
	}
	if t.trouble {
		go workers[0].drain(drainTimeout, drainExtra)
		time.Sleep(endsKill)
		for _, p := range d.controls {
			p.kill()
		}
		time.Sleep(endsDown)
		for _, p := range d.controls {
			if err := p.start(); err != nil {
				return nil, err
			}
		}
	}
	time.Sleep(drainTimeout + drainExtra)
	time.Sleep(endsWatch)
	for i, id := range ids {
		d.call(i%2, http.MethodGet, "/q/"+id, nil)
	}
	return t.record.twice(), nil
}
