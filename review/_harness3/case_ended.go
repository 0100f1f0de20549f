package main

import (
	"fmt"
	"time"
)

func init() { scenarios["ended"] = scenario{agents: 3, run: oddEnd} }

// foreignEnd is an entry whose field saved is of another type. Its number is from the count of its writer.
var foreignEnd = oddEntry{number: 40000, text: `[40000,"0badc0de0badc0de.0.0.0",1,"done",7]`}

// laterJobs is how many jobs follow the odd entry, one after the other.
const laterJobs = 3

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
	// The job fills all workers.
	steps := `{"count":24,"cpu":3700,"memMb":10000,"gpu":1,"estimatedMs":2500}`
	first := newID()
	if !c.submit(first, steps) || !until(15*time.Second, func() bool { return c.state(first) == "completed" }) {
		return cannotRun, "the first job wasn't completed"
	}
	if trouble != "0" {
		workers[0].leaveOddEnd(foreignEnd)
	}
	time.Sleep(3 * time.Second)
	total := 0
	for range laterJobs {
		id := newID()
		if !c.submit(id, steps) {
			return cannotRun, "a later job wasn't accepted"
		}
		state := ""
		until(25*time.Second, func() bool {
			time.Sleep(400 * time.Millisecond)
			state = c.state(id)
			return state == "completed"
		})
		runs := l.of(id)
		total += len(runs)
		for i, earlier := range runs {
			for _, later := range runs[i+1:] {
				if later.task == earlier.task && earlier.how == "done" && earlier.noted && later.began.After(earlier.ended) {
					return broken, fmt.Sprintf("TWICE: %s began at %.3f s, after %s had ended done at %.3f s and was taken note of; %d runs of 24 tasks, state %q",
						&later, d.record.since(later.began), &earlier, d.record.since(earlier.ended), len(runs), state)
				}
			}
		}
		if state != "completed" {
			return broken, fmt.Sprintf("LOST: job %s is %q after 25 s", id, state)
		}
	}
	return held, fmt.Sprintf("the later jobs are completed, with %d runs of %d tasks", total, 24*laterJobs)
}
