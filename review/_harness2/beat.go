package main

import (
	"fmt"
	"maps"
	"net/http"
	"strings"
	"time"
)

const (
	// beatSequence is the count of the other writer, which runs for a day longer than the workers.
	beatSequence = 57600
	beatJobs     = 4
	// beatWatch is how long the jobs may take; each needs less than a second.
	beatWatch = 30 * time.Second
)

// runBeat lets another writer send one heartbeat for each worker, with a service that no configuration names. Then a client
// hands in jobs.
func runBeat(t *test) ([]string, error) {
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
		w.duration = func(string) time.Duration { return 500 * time.Millisecond }
		w.serve()
		workers = append(workers, w)
	}
	if err := d.configure(configuration(1, 0), 30*time.Second); err != nil {
		return nil, err
	}
	if err := await("the entries are ready", 20*time.Second, d.ready); err != nil {
		return nil, err
	}
	job := map[string]any{"spec": "text", "steps": []any{map[string]any{"count": 2, "cpu": 500, "memMb": 256, "estimatedMs": 500}}}
	if a := d.call(0, http.MethodPost, "/q/5c0e7a2100000000", job); a.status != http.StatusOK {
		return nil, fmt.Errorf("%w: the first job was answered %d", errNotRun, a.status)
	}
	if err := await("the first job is done", 20*time.Second, func() bool { return t.record.countEnds("done") == 2 }); err != nil {
		return nil, err
	}
	time.Sleep(4 * time.Second)
	if t.trouble {
		for _, w := range workers {
			w.beatAsAnother()
		}
	}
	time.Sleep(4 * time.Second)
	var ids []string
	for i := range beatJobs {
		id := fmt.Sprintf("5c0e7a21%08x", i+1)
		if a := d.call(i%2, http.MethodPost, "/q/"+id, job); a.status != http.StatusOK {
			return nil, fmt.Errorf("%w: job %s was answered %d", errNotRun, id, a.status)
		}
		ids = append(ids, id)
	}
	time.Sleep(beatWatch)
	var violations []string
	for i, id := range ids {
		a := d.call(i%2, http.MethodGet, "/q/"+id, nil)
		if !t.record.started(id) {
			violations = append(violations, fmt.Sprintf(
				"LOST: for %s job %s has nothing running, though its turn has come and all workers are idle; its state: %s",
				beatWatch, id, strings.Join(strings.Fields(string(a.body)), " ")))
		}
	}
	return violations, nil
}

// beatAsAnother sends one heartbeat about the worker as another writer does: with a service that isn't named, and with
// a count of its own.
func (w *worker) beatAsAnother() {
	w.mutex.Lock()
	body := maps.Clone(w.heartbeat())
	w.mutex.Unlock()
	body["service"], body["sequence"] = "legacy", beatSequence
	w.d.t.record.note("another writer sends a heartbeat for %s: service %v, sequence %v", w.id, body["service"], body["sequence"])
	w.d.t.send(http.MethodPost, fmt.Sprintf("%s:%d", w.agent.ip, controlPort), wire["instances"]+w.id+"/heartbeat", "", "", body, time.Second)
}

// started reports whether any task of a job was started.
func (r *recorder) started(id string) bool {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	for _, x := range r.runs {
		if strings.HasPrefix(x.task, id+".") {
			return true
		}
	}
	return false
}
