package main

import "time"

func init() { scenarios["reserved"] = scenario{agents: 3, run: reservedRoom} }

const (
	longTime  = 100 * time.Second
	longSteps = `{"count":1,"cpu":2800,"memMb":8200,"gpu":1,"estimatedMs":100000,"requiredLabel":"b"}`
	// wideSteps needs a whole worker, and smallSteps an eighth of one, for a little longer than the long run takes.
	wideSteps  = `{"count":1,"cpu":13000,"memMb":68000,"gpu":8,"estimatedMs":11000,"requiredLabel":"b"}`
	smallSteps = `{"count":1,"cpu":2800,"memMb":8200,"gpu":1,"estimatedMs":120000,"requiredLabel":"b"}`
)

// reservedRoom hands in a job that needs a whole worker while a long run goes on on the only worker with the label b, and then a
// small job for which there is room there. It checks that the small job begins.
func reservedRoom(d *deployment, trouble string) (int, string) {
	l := &runLog{record: d.record}
	for i := range 3 {
		w, err := startWorker(d, l, i, []string{kinds[i], "r1-1"}, func(string) time.Duration { return longTime })
		if err != nil {
			return cannotRun, err.Error()
		}
		go w.beat()
	}
	c := newCaller(d)
	if !c.configure() || !until(15*time.Second, d.ready) {
		return cannotRun, "no configuration was acknowledged"
	}
	long, wide, small := newID(), newID(), newID()
	if !c.submit(long, longSteps) || !until(10*time.Second, func() bool { return len(l.of(long)) > 0 }) {
		return cannotRun, "the long job didn't begin"
	}
	if trouble != "0" && !c.submit(wide, wideSteps) {
		return cannotRun, "the wide job wasn't accepted"
	}
	time.Sleep(time.Second)
	if !c.submit(small, smallSteps) {
		return cannotRun, "the small job wasn't accepted"
	}
	return c.checkBegins(l, small)
}
