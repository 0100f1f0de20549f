package main

import (
	"fmt"
	"time"
)

func init() { scenarios["clock"] = scenario{agents: 3, run: foreignClock} }

const (
	// otherUptime is how much longer than the worker the other writer has been running.
	otherUptime = 10 * time.Minute
	cutTime     = 10 * time.Second
	taskTime    = 25 * time.Second
)

// foreignClock lets a heartbeat of another writer, for a service that isn't named, reach each agent before the first one of its
// worker, and later cuts the agent of a running task off from the core. It checks that no two runs of the task go on at the
// same time.
func foreignClock(d *deployment, trouble string) (int, string) {
	l := &runLog{record: d.record}
	var workers []*worker
	for i := range 3 {
		w, err := startWorker(d, l, i, []string{"a", "r1-1"}, func(string) time.Duration { return taskTime })
		if err != nil {
			return cannotRun, err.Error()
		}
		workers = append(workers, w)
	}
	if trouble != "0" && trouble != "cut" {
		for _, w := range workers {
			until(5*time.Second, func() bool { return w.send(map[string]any{}) != 0 })
			w.sendOdd(func(body map[string]any) {
				body["service"] = "q-unnamed"
				body["clockMs"] = w.clock() + otherUptime.Milliseconds()
				body["sequence"] = 1
			})
		}
	}
	for _, w := range workers {
		go w.beat()
	}
	c := newCaller(d)
	if !c.configure() || !until(15*time.Second, d.ready) {
		return cannotRun, "no configuration was acknowledged"
	}
	time.Sleep(3 * heartbeatInterval)
	id := newID()
	if !c.submit(id, `{"count":1,"cpu":13000,"memMb":68000,"gpu":1,"estimatedMs":25000}`) {
		return cannotRun, "the job wasn't accepted"
	}
	if !until(10*time.Second, func() bool { return len(l.of(id)) > 0 }) {
		return cannotRun, "the job didn't start"
	}
	time.Sleep(2 * time.Second)
	if trouble != "0" && trouble != "odd" {
		for i, w := range workers {
			if w.id == l.of(id)[0].worker {
				d.cutOff(agentHost(i))
			}
		}
	}
	time.Sleep(cutTime)
	d.heal()
	time.Sleep(3 * time.Second)
	c.state(id)
	runs := l.of(id)
	for i := range runs {
		for _, later := range runs[i+1:] {
			if end := runs[i].ended; end.IsZero() || end.After(later.began) {
				return broken, fmt.Sprintf("TWICE: %s began at %.3f s while %s went on", &later, d.record.since(later.began), &runs[i])
			}
		}
	}
	return held, fmt.Sprintf("%d runs, one at a time", len(runs))
}
