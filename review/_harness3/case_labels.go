package main

import "time"

func init() { scenarios["labels"] = scenario{agents: 3, run: missingLabels} }

// kinds are the labels of the workers for their kind.
var kinds = []string{"b", "a", "a"}

// otherSequence is the count of the other writer's heartbeats.
const otherSequence = 40000

// missingLabels lets one heartbeat of another writer, without the field labels, reach the agent of the worker with the label b.
// It checks that a job that needs this label is still run.
func missingLabels(d *deployment, trouble string) (int, string) {
	l := &runLog{record: d.record}
	var workers []*worker
	for i := range 3 {
		w, err := startWorker(d, l, i, []string{kinds[i], "r1-1"}, func(string) time.Duration { return 2500 * time.Millisecond })
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
	steps := `{"count":1,"cpu":3700,"memMb":20000,"gpu":1,"estimatedMs":2500,"requiredLabel":"b"}`
	first, second := newID(), newID()
	if !c.submit(first, steps) || !until(15*time.Second, func() bool { return c.state(first) == "completed" }) {
		return cannotRun, "the first job wasn't completed"
	}
	if trouble != "0" {
		workers[0].sendOdd(func(body map[string]any) {
			delete(body, "labels")
			body["sequence"] = otherSequence
		})
	}
	time.Sleep(3 * heartbeatInterval)
	if !c.submit(second, steps) {
		return cannotRun, "the second job wasn't accepted"
	}
	return c.checkBegins(l, second)
}
