package hsspeed_test

import (
	"fmt"
	"math"
	"math/rand/v2"
	"time"

	"hyssopseam/core/command/hsspeed"
	"hyssopseam/core/hsid"
	"hyssopseam/core/hswork"
)

// fleet runs jobs on simulated workers and feeds their progress to a tracker, listed once a second in whole percent.
type fleet struct {
	tracker *hsspeed.Tracker
	now     time.Time
	random  *rand.Rand
	// slowdown returns the true logarithmic slowdown of a worker at a time since the beginning.
	slowdown func(worker int, at time.Duration) float64
	workers  int
	// tasks is the number of tasks of each job, and unevenness the standard deviation of the logarithm of their work.
	tasks      int
	unevenness float64
	// declared returns the factor by which the expected run time of a job is off, and tail by which its work is.
	declared func() float64
	tail     func() float64
	running  []*task
	jobs     int
	began    time.Time
}

type task struct {
	run      hswork.RunID
	worker   int
	percent  float64
	perWork  float64
	expected time.Duration
	// listAt is when the progress is listed next.
	listAt time.Time
}

const (
	// stepTime is the time step of the simulation, and workTime the mean work of a task.
	stepTime = 100 * time.Millisecond
	workTime = 7 * time.Second
)

func newFleet(workers int, slowdown func(worker int, at time.Duration) float64) *fleet {
	now := time.UnixMilli(1_000_000)
	return &fleet{
		tracker:    hsspeed.New(nil, 0, now),
		now:        now,
		began:      now,
		random:     rand.New(rand.NewPCG(1, 2)),
		slowdown:   slowdown,
		workers:    workers,
		tasks:      6,
		unevenness: 0.2,
		declared:   func() float64 { return 1 },
		tail:       func() float64 { return 1 },
	}
}

func workerID(i int) hsid.InstanceID { return hsid.InstanceID(fmt.Sprintf("w%03d", i)) }

// advance lets time pass. Every worker has two slots, which are filled with the tasks of new jobs.
func (f *fleet) advance(d time.Duration) {
	for end := f.now.Add(d); f.now.Before(end); {
		f.now = f.now.Add(stepTime)
		f.fill()
		var still []*task
		for _, x := range f.running {
			slowdown := f.slowdown(x.worker, f.now.Sub(f.began))
			x.percent += 100 * stepTime.Seconds() / (x.perWork * math.Exp(slowdown))
			if x.percent >= 100 {
				f.tracker.Ended(x.run, f.now)
				continue
			}
			still = append(still, x)
			if !f.now.Before(x.listAt) {
				x.listAt = f.now.Add(time.Second)
				f.tracker.Progress(hsspeed.Reading{Run: x.run, Worker: workerID(x.worker), Percent: hswork.Percent(x.percent), At: f.now, Expected: x.expected})
			}
		}
		f.running = still
		f.tracker.Update(f.now)
	}
}

// fill starts jobs on random workers with free slots until fewer slots are free than a job has tasks.
func (f *fleet) fill() {
	var free []int
	used := map[int]int{}
	for _, x := range f.running {
		used[x.worker]++
	}
	for i := range f.workers {
		f.tracker.Seen(workerID(i), 1, f.now)
		for range 2 - used[i] {
			free = append(free, i)
		}
	}
	f.random.Shuffle(len(free), func(i, j int) { free[i], free[j] = free[j], free[i] })
	for len(free) >= f.tasks {
		f.jobs++
		tail := f.tail()
		expected := time.Duration(float64(workTime) * f.declared())
		for i := range f.tasks {
			f.running = append(f.running, &task{
				run:      hswork.RunID{Task: hswork.TaskID{Job: hswork.ID(fmt.Sprint("j", f.jobs)), Index: i}, Number: 1},
				worker:   free[i],
				perWork:  workTime.Seconds() * tail * math.Exp(f.random.NormFloat64()*f.unevenness),
				expected: expected,
				listAt:   f.now.Add(time.Duration(f.random.Int64N(int64(time.Second)))),
			})
		}
		free = free[f.tasks:]
	}
}

// errors returns the root mean square error of the estimates, relative to the mean over the workers, and the largest.
func (f *fleet) errors() (rms, largest float64) {
	var mean float64
	for i := range f.workers {
		mean += f.slowdown(i, f.now.Sub(f.began)) / float64(f.workers)
	}
	for i := range f.workers {
		deviation := float64(f.tracker.Estimate(workerID(i)).Slowdown) - f.slowdown(i, f.now.Sub(f.began)) + mean
		rms += deviation * deviation / float64(f.workers)
		largest = max(largest, math.Abs(deviation))
	}
	return math.Sqrt(rms), largest
}

// heavyTail makes 3 % of the jobs take seven times as long.
func (f *fleet) heavyTail() {
	f.tail = func() float64 {
		if f.random.IntN(33) == 0 {
			return 7
		}
		return 1
	}
}

// inaccurate makes declared times wrong by a factor of up to e^d.
func (f *fleet) inaccurate(d float64) {
	f.declared = func() float64 { return math.Exp((2*f.random.Float64() - 1) * d) }
}
