package main

import "time"

func init() { scenarios["votes"] = scenario{agents: 3, run: foreignHeartbeats} }

// headStart is how much earlier than a heartbeat of the worker each one of the other writer is sent.
const headStart = 200 * time.Millisecond

// foreignHeartbeats lets another writer send heartbeats, for a service that isn't named, beside those of the worker with the
// label b, as often as these and beginning before them. It checks that a job that needs this label is still run.
func foreignHeartbeats(d *deployment, trouble string) (int, string) {
	l := &runLog{record: d.record}
	for i := range 3 {
		w, err := startWorker(d, l, i, []string{kinds[i], "r1-1"}, func(string) time.Duration { return 2500 * time.Millisecond })
		if err != nil {
			return cannotRun, err.Error()
		}
		if i == 0 && trouble != "0" {
			until(5*time.Second, func() bool { return w.send(map[string]any{}) != 0 })
			go w.beatOdd()
			time.Sleep(headStart)
		}
		go w.beat()
	}
	c := newCaller(d)
	if !c.configure() || !until(15*time.Second, d.ready) {
		return cannotRun, "no configuration was acknowledged"
	}
	time.Sleep(3 * heartbeatInterval)
	first, second := newID(), newID()
	if !c.submit(first, `{"count":1,"cpu":3700,"memMb":20000,"gpu":1,"estimatedMs":2500,"requiredLabel":"a"}`) ||
		!until(15*time.Second, func() bool { return c.state(first) == "completed" }) {
		return cannotRun, "the first job wasn't completed"
	}
	if !c.submit(second, `{"count":1,"cpu":3700,"memMb":20000,"gpu":1,"estimatedMs":2500,"requiredLabel":"b"}`) {
		return cannotRun, "the second job wasn't accepted"
	}
	return c.checkBegins(l, second)
}

// beatOdd sends a heartbeat of another writer at once and then one each heartbeatInterval.
func (w *worker) beatOdd() {
	began := time.Now()
	for n := 1; ; n++ {
		w.sendOdd(func(body map[string]any) {
			body["service"] = "q-unnamed"
			body["sequence"] = n
		})
		time.Sleep(time.Until(began.Add(time.Duration(n) * heartbeatInterval)))
	}
}
