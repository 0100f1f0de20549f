package hsdispatch_test

import (
	"math"
	"slices"
	"time"

	"hyssopseam/core/hsid"
	"hyssopseam/core/hsmessage"
	"hyssopseam/core/hswork"
)

// load gives the tasks of a harness work and its workers speeds.
type load struct {
	h *harness
	// slowdown is the logarithm of how much longer a worker takes than one that isn't listed.
	slowdown map[hsid.InstanceID]float64
	// work returns the time that a task takes on a worker with a slowdown of 0.
	work func(t hswork.TaskID) time.Duration
	// done is the share of its work that each run has done, from 0 to 1.
	done map[hswork.RunID]float64
	// ticks counts the time steps.
	ticks int
}

// loadTick is the time step of a load. Progress is listed in every tenth.
const loadTick = 100 * time.Millisecond

func newLoad(h *harness, work func(t hswork.TaskID) time.Duration) *load {
	return &load{h: h, slowdown: map[hsid.InstanceID]float64{}, work: work, done: map[hswork.RunID]float64{}}
}

// advance lets time pass: workers carry out their plans, runs make progress and end, all workers report, and all proposals are
// committed. The members of a gang make progress at their own rates and end together.
func (l *load) advance(d time.Duration) {
	for range int(d / loadTick) {
		l.h.now = l.h.now.Add(loadTick)
		l.ticks++
		for k, id := range l.h.workerIDs() {
			l.carryOutPlan(id)
			l.progress(id, (l.ticks+k)%10 == 0)
		}
		l.endRuns()
		l.h.reportAll()
		l.h.dispatcher.Wake()
		l.h.dispatcher.Flush()
		l.h.commit()
	}
}

// carryOutPlan starts and stops the runs that the last plan of a worker has it start and stop.
func (l *load) carryOutPlan(id string) {
	report := l.h.reports[hsid.InstanceID(id)]
	p := l.h.plans[report.Instance]
	for _, r := range p.Runs {
		ended := slices.ContainsFunc(report.Ended, func(e hsmessage.EndedTask) bool { return e.Run == r.Run })
		if !ended && !isListed(report, r.Run) {
			report.Running = append(report.Running, hsmessage.RunningTask{Run: r.Run})
		}
	}
	for _, run := range p.Stops {
		l.h.listEnd(id, run, hswork.EndStopped, "")
	}
}

// progress lets the runs of a worker do a tick of work. With list, it lists their progress.
func (l *load) progress(id string, list bool) {
	report := l.h.reports[hsid.InstanceID(id)]
	for i := range report.Running {
		r := &report.Running[i]
		total := l.work(r.Run.Task).Seconds() * math.Exp(l.slowdown[report.Instance])
		l.done[r.Run] = min(l.done[r.Run]+loadTick.Seconds()/total, 1)
		if list {
			r.Percent = hswork.Percent(100 * l.done[r.Run])
		}
	}
}

// endRuns lists the ends of the runs that are done. A gang is done when all its members are.
func (l *load) endRuns() {
	for _, id := range l.h.workerIDs() {
		for _, r := range slices.Clone(l.h.reports[hsid.InstanceID(id)].Running) {
			if l.unitDone(r.Run) {
				l.h.listEnd(id, r.Run, hswork.EndDone, "")
			}
		}
	}
}

func (l *load) unitDone(run hswork.RunID) bool {
	j := l.h.state.Jobs[run.Task.Job]
	if j == nil || !j.Steps[run.Task.Step].Gang {
		return l.done[run] >= 1
	}
	for i := range j.Steps[run.Task.Step].Count {
		member := run
		member.Task.Index = i
		if l.done[member] < 1 {
			return false
		}
	}
	return true
}
