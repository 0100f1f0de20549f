package main

import (
	"fmt"
	"time"
)

func init() { scenarios["ended"] = scenario{agents: 3, run: oddEnd} }

// foreignEnd is an entry whose field saved is of another type. Its number is from the count of its writer.
var foreignEnd = oddEntry{number: 40000, text: `[40000,"0badc0de0badc0de.0.0.0",1,"done",7]`}

// oddEnd lets another writer leave one entry in the list of ends of one worker. It checks that a task whose end the system has
// taken note of isn't started again, and that its job is completed.
func oddEnd(d *deployment, trouble string) (int, string) {
	l := &runLog{record: d.record}
	var workers []*worker
	for i := range 3 {
		w, err := startWorker(d, l, i, []string{"a", "r1-1"}, func(string) time.Duration { return 2500 * time.Millisecond })
		if err != nil {
			return cannotRun, err.Error()
		}
		workers = append(workers, w)
		go w.beat()
	}
	c := newCaller(d)
	if !c.configure() || !until(15*time.Second, d.ready) {
		return cannotRun, "no configuration was acknowledged"
	}
	// The job fills half of each worker.
	steps := `{"count":12,"cpu":3700,"memMb":10000,"gpu":1,"antiAffinity":4,"estimatedMs":2500}`
	first, second := newID(), newID()
	if !c.submit(first, steps) || !until(15*time.Second, func() bool { return c.state(first) == "completed" }) {
		return cannotRun, "the first job wasn't completed"
	}
	if trouble != "0" {
		workers[0].leaveOddEnd(foreignEnd)
	}
	time.Sleep(3 * time.Second)
	if !c.submit(second, steps) {
		return cannotRun, "the second job wasn't accepted"
	}
	state := ""
	until(30*time.Second, func() bool {
		time.Sleep(400 * time.Millisecond)
		state = c.state(second)
		return state == "completed"
	})
	runs := l.of(second)
	for i := range runs {
		for _, later := range runs[i+1:] {
			if earlier := runs[i]; later.task == earlier.task && earlier.how == "done" && later.began.After(earlier.ended) {
				return broken, fmt.Sprintf("TWICE: %s began at %.3f s, after %s had ended done at %.3f s and was seen; %d runs of 12 tasks, state %q",
					&later, d.record.since(later.began), &earlier, d.record.since(earlier.ended), len(runs), state)
			}
		}
	}
	if state != "completed" {
		return broken, fmt.Sprintf("LOST: the second job is %q after 30 s", state)
	}
	return held, "the second job is completed, each task ran once"
}
