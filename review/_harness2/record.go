package main

import (
	"bufio"
	"fmt"
	"os"
	"sync"
	"time"
)

// recorder writes what was sent, answered and run, one line each, with the milliseconds since the start of the test.
type recorder struct {
	mutex sync.Mutex
	file  *os.File
	out   *bufio.Writer
	began time.Time
	runs  []*taskRun
}

// taskRun is one run of a task on a worker. Times are in milliseconds since the start of the test; zero for not yet.
type taskRun struct {
	task    string
	number  int
	worker  string
	spec    string
	started int64
	ended   int64
	how     string
	// noted is when the worker was told that its end is taken note of, unless the worker's lease had lapsed since.
	noted int64
}

func newRecorder(path string) (*recorder, error) {
	file, err := os.Create(path)
	if err != nil {
		return nil, err
	}
	return &recorder{file: file, out: bufio.NewWriter(file), began: time.Now()}, nil
}

func (r *recorder) close() {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	_ = r.out.Flush()
	_ = r.file.Close()
}

// now returns the milliseconds since the start of the test, at least 1.
func (r *recorder) now() int64 { return 1 + time.Since(r.began).Milliseconds() }

func (r *recorder) note(format string, values ...any) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.write(format, values...)
}

func (r *recorder) write(format string, values ...any) {
	_, _ = fmt.Fprintf(r.out, "%6d %s\n", r.now(), fmt.Sprintf(format, values...))
}

func (r *recorder) startRun(task string, number int, worker, spec string) *taskRun {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	x := &taskRun{task: task, number: number, worker: worker, spec: spec, started: r.now()}
	r.runs = append(r.runs, x)
	r.write("run  %s/%d starts on %s", task, number, worker)
	return x
}

func (r *recorder) endRun(x *taskRun, how string) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	x.ended, x.how = r.now(), how
	r.write("run  %s/%d ends %s on %s", x.task, x.number, how, x.worker)
}

func (r *recorder) noteEnd(x *taskRun) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	x.noted = r.now()
}

// countEnds returns the number of runs that ended in a way.
func (r *recorder) countEnds(how string) int {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	n := 0
	for _, x := range r.runs {
		if x.how == how {
			n++
		}
	}
	return n
}

// countRuns returns the number of starts.
func (r *recorder) countRuns() int {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	return len(r.runs)
}

// twice returns the violations of TWICE: two runs of a task at the same time, or a start after a run has ended as done,
// if that end was taken note of then or later and the worker's lease hadn't lapsed between.
func (r *recorder) twice() []string {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	byTask := map[string][]*taskRun{}
	var violations []string
	for _, x := range r.runs {
		for _, y := range byTask[x.task] {
			switch {
			case y.ended == 0 || y.ended > x.started:
				violations = append(violations, fmt.Sprintf("TWICE: %s/%d starts on %s at %d while run %d is at work on %s", x.task, x.number, x.worker, x.started, y.number, y.worker))
			case y.how == "done" && y.noted > 0:
				violations = append(violations, fmt.Sprintf("TWICE: %s/%d starts on %s at %d, though run %d ended done at %d, which was taken note of at %d", x.task, x.number, x.worker, x.started, y.number, y.ended, y.noted))
			}
		}
		byTask[x.task] = append(byTask[x.task], x)
	}
	return violations
}
