package main

import (
	"fmt"
	"net/http"
	"time"
)

const (
	howID = "5c0e7a21d94b36f8"
	// howWork is how long the task works, and howAfter when the row of the other writer appears.
	howWork  = 12 * time.Second
	howAfter = 3 * time.Second
	// howStop is how long a stop takes; stopTimeoutMs allows 400 ms.
	howStop = 300 * time.Millisecond
)

// runHow lets another writer leave a row in a worker's list of ends, with a way to end that the platform doesn't have.
func runHow(t *test) ([]string, error) {
	d, err := newDeployment(t, 3, 2, 2, 1)
	if err != nil {
		return nil, err
	}
	if err := d.startAll(); err != nil {
		return nil, err
	}
	var workers []*worker
	for i := range d.agents {
		w, err := newWorker(d, i, 32000, 131072, 8)
		if err != nil {
			return nil, err
		}
		w.duration = func(string) time.Duration { return howWork }
		w.needs = func(string) (int64, int64, int64) { return 13000, 52000, 8 }
		w.stopTime = howStop
		w.serve()
		workers = append(workers, w)
	}
	if err := d.configure(configuration(1, 0), 30*time.Second); err != nil {
		return nil, err
	}
	if err := await("the entries are ready", 20*time.Second, d.ready); err != nil {
		return nil, err
	}
	time.Sleep(2 * time.Second)
	job := map[string]any{"spec": "text", "steps": []any{map[string]any{"count": 1, "cpu": 13000, "memMb": 52000, "gpu": 8, "estimatedMs": 11000}}}
	if a := d.call(0, http.MethodPost, "/q/"+howID, job); a.status != http.StatusOK {
		return nil, fmt.Errorf("%w: the job was answered %d", errNotRun, a.status)
	}
	if err := await("the task has started", 20*time.Second, func() bool { return t.record.countRuns() == 1 }); err != nil {
		return nil, err
	}
	time.Sleep(howAfter)
	if t.trouble {
		found := false
		for _, w := range workers {
			found = found || w.addForeignEnd(howID+".0.0.0", "evicted")
		}
		if !found {
			return nil, fmt.Errorf("%w: the task doesn't run", errNotRun)
		}
	}
	time.Sleep(howWork + 5*time.Second)
	d.call(1, http.MethodGet, "/q/"+howID, nil)
	return t.record.twice(), nil
}
