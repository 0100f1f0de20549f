package hswork

import (
	"slices"
	"time"

	"hyssopseam/core/hsid"
)

// Resources are what a task takes, or what a worker has.
type Resources struct {
	Cores        hsid.MilliCores
	Memory       hsid.Bytes
	Accelerators hsid.Accelerators
}

// Plus returns the sum.
func (r Resources) Plus(o Resources) Resources {
	return Resources{Cores: r.Cores + o.Cores, Memory: r.Memory + o.Memory, Accelerators: r.Accelerators + o.Accelerators}
}

// Minus returns the difference; parts of it may be below zero.
func (r Resources) Minus(o Resources) Resources {
	return Resources{Cores: r.Cores - o.Cores, Memory: r.Memory - o.Memory, Accelerators: r.Accelerators - o.Accelerators}
}

// Holds reports whether o fits into r.
func (r Resources) Holds(o Resources) bool {
	return r.Cores >= o.Cores && r.Memory >= o.Memory && r.Accelerators >= o.Accelerators
}

// Step is a number of equal tasks.
type Step struct {
	Count int
	// Need is what each task takes. The cores of a step that Fills aren't counted against a worker.
	Need Resources
	// Estimate is the declared run time of a task, a hint.
	Estimate time.Duration
	// After lists the steps, by position, that have to be done first.
	After []int
	// Gang tasks work only together.
	Gang bool
	// SameRack tasks are much slower on more than one rack.
	SameRack bool
	// Label is a label that the worker must have; empty for any.
	Label Label
	// DataRack is the rack label near which tasks are fast; empty for any.
	DataRack Label
	// Spread bounds the tasks of one occurrence on one worker; 0 for no bound.
	Spread int
	// Saves is set when the tasks checkpoint their progress.
	Saves bool
	// Speculative tasks may run in several copies.
	Speculative bool
	// Lasts is set for tasks that run until the job is cancelled.
	Lasts bool
	Image string
	// TailTarget is the response time that a lasting task serves its users within; 0 for none.
	TailTarget time.Duration
	Fills      bool
	// MayMiss is how many lasting tasks may be away at once by decisions of the scheduler.
	MayMiss int
}

// Submission is what a caller hands in.
type Submission struct {
	ID    ID
	Spec  string
	Steps []Step
	// Start is the due time of the first occurrence in milliseconds since 1970; 0 for at once.
	Start int64
	// Every is the time between two occurrences.
	Every time.Duration
	// Times is the number of occurrences; 0 counts as 1.
	Times int
}

// Occurrences returns how often the steps run.
func (s *Submission) Occurrences() int { return max(s.Times, 1) }

// Due returns the due time of an occurrence in milliseconds since 1970.
func (s *Submission) Due(occurrence int) int64 {
	return s.Start + int64(occurrence)*s.Every.Milliseconds()
}

// Phase tells where a step job stands.
type Phase string

// The phases of a step job. Open jobs wait or run.
const (
	Open      Phase = "open"
	Completed Phase = "completed"
	Failed    Phase = "failed"
	Cancelled Phase = "cancelled"
)

// How tells how a run ended.
type How string

// The ends of a run.
const (
	EndDone    How = "done"
	EndFailed  How = "failed"
	EndStopped How = "stopped"
	EndLapsed  How = "lapsed"
	EndBroken  How = "broken"
	EndAlone   How = "alone"
	// EndLost: the endpoint's life is over, or its lease is, and what became of the run isn't known.
	EndLost How = "lost"
	// EndNever: it is proved that the run never began and can't begin any more.
	EndNever How = "never"
)

// Place is where a run was put.
type Place struct {
	Number RunNumber
	Worker hsid.InstanceID
	Life   Life
}

// Task is the state of one task.
type Task struct {
	Done bool
	// Run is the number of the newest start.
	Run RunNumber
	// Failed lists the runs that ended as failed.
	Failed     []RunNumber
	Checkpoint Checkpoint
	// Places are the runs that aren't proved to be over.
	Places []Place
}

// Place returns the place of a run, or nil.
func (t *Task) Place(n RunNumber) *Place {
	i := slices.IndexFunc(t.Places, func(p Place) bool { return p.Number == n })
	if i < 0 {
		return nil
	}
	return &t.Places[i]
}

// Occurrence is the state of one repetition: the tasks of each step.
type Occurrence struct {
	Steps [][]Task
}

// StepDone reports whether all tasks of a step are done.
func (o *Occurrence) StepDone(step int) bool {
	return !slices.ContainsFunc(o.Steps[step], func(t Task) bool { return !t.Done })
}

// Done reports whether all tasks are done.
func (o *Occurrence) Done() bool {
	for i := range o.Steps {
		if !o.StepDone(i) {
			return false
		}
	}
	return true
}

// Job is one accepted step job. What its queue said when it was accepted stays with it.
type Job struct {
	Submission
	Queue       QueueName
	Pool        PoolName
	Workspace   hsid.WorkspaceID
	Priority    int
	MaxAttempts int
	Stretch     float64
	Target      time.Duration
	Advised     bool
	Accepted    time.Duration
	Index       hsid.LogIndex

	Phase Phase
	// Begun is set once an end proved that a task ran.
	Begun bool
	Ended time.Duration
	// Rounds are the occurrences that a task of was started, in order; later ones are made when they start.
	Rounds []Occurrence
}

// Round returns an occurrence, which is made when it is the next one. It returns nil past the last one.
func (j *Job) Round(k int) *Occurrence {
	for k >= len(j.Rounds) && len(j.Rounds) < j.Occurrences() {
		o := Occurrence{Steps: make([][]Task, len(j.Steps))}
		for i := range j.Steps {
			o.Steps[i] = make([]Task, j.Steps[i].Count)
		}
		j.Rounds = append(j.Rounds, o)
	}
	if k < 0 || k >= len(j.Rounds) {
		return nil
	}
	return &j.Rounds[k]
}

// Task returns the state of a task, or nil for one that doesn't exist or wasn't reached yet.
func (j *Job) Task(t TaskID) *Task {
	if t.Occurrence >= len(j.Rounds) || t.Step >= len(j.Steps) || t.Index >= j.Steps[t.Step].Count {
		return nil
	}
	return &j.Rounds[t.Occurrence].Steps[t.Step][t.Index]
}

// EachPlace visits the runs that aren't proved to be over, in order.
func (j *Job) EachPlace(visit func(t TaskID, task *Task, p Place)) {
	for k := range j.Rounds {
		for s := range j.Rounds[k].Steps {
			for i := range j.Rounds[k].Steps[s] {
				task := &j.Rounds[k].Steps[s][i]
				for _, p := range task.Places {
					visit(TaskID{Work: j.ID, Occurrence: k, Step: s, Index: i}, task, p)
				}
			}
		}
	}
}
