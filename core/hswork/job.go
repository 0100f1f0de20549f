package hswork

import (
	"slices"
	"time"

	"hyssopseam/core/hsid"
)

// Resources is the demand of a task or the capacity of a worker.
type Resources struct {
	Cores        hsid.MilliCores
	Memory       hsid.Bytes
	Accelerators hsid.Accelerators
}

// Plus returns the sum.
func (r Resources) Plus(o Resources) Resources {
	return Resources{Cores: r.Cores + o.Cores, Memory: r.Memory + o.Memory, Accelerators: r.Accelerators + o.Accelerators}
}

// Minus returns the difference; its fields may be negative.
func (r Resources) Minus(o Resources) Resources {
	return Resources{Cores: r.Cores - o.Cores, Memory: r.Memory - o.Memory, Accelerators: r.Accelerators - o.Accelerators}
}

// Holds reports whether o fits into r.
func (r Resources) Holds(o Resources) bool {
	return r.Cores >= o.Cores && r.Memory >= o.Memory && r.Accelerators >= o.Accelerators
}

// Step is a number of identical tasks with their demands and constraints.
type Step struct {
	Count int
	// Need is the demand of each task. The cores of a step that Fills aren't counted against a worker.
	Need Resources
	// Estimate is the run time of a task as declared by the caller. It is a hint.
	Estimate time.Duration
	// After lists the steps, by position, that this one depends on.
	After []int
	// Gang is set when the tasks make progress only while all of them run; they start and finish as one.
	Gang bool
	// SameRack is set when the tasks run much slower spread over several racks.
	SameRack bool
	// Label is a label that the worker must have; empty for any worker.
	Label Label
	// DataRack is the label of the rack that holds the tasks' data, near which they run fast; empty for any.
	DataRack Label
	// Spread is the largest number of tasks of one occurrence on one worker; 0 for no limit.
	Spread int
	// Saves is set when the tasks save checkpoints of their progress.
	Saves bool
	// Speculative is set when several copies of a task may run at once.
	Speculative bool
	// Lasts is set for long-running tasks, which run until the job is cancelled and are restarted when they end.
	Lasts bool
	Image string
	// TailTarget is the objective for the tail latency with which a long-running task serves its users; 0 for
	// none.
	TailTarget time.Duration
	// Fills is set for tasks that run on whatever cores other tasks leave idle, and may be slowed down for them.
	Fills bool
	// MayMiss is the number of tasks of a long-running step that the scheduler may have down at once by its own
	// decisions.
	MayMiss int
}

// Submission is a step job as its caller submits it.
type Submission struct {
	ID ID
	// Spec is opaque to the scheduler and is handed to the endpoints as it is.
	Spec  string
	Steps []Step
	// Start is the due time of the first occurrence as a Unix time in milliseconds; 0 for at once.
	Start int64
	// Every is the time between the due times of two occurrences.
	Every time.Duration
	// Times is the number of occurrences; 0 means 1.
	Times int
}

// Occurrences returns the number of occurrences, at least 1.
func (s *Submission) Occurrences() int { return max(s.Times, 1) }

// Due returns the due time of an occurrence as a Unix time in milliseconds.
func (s *Submission) Due(occurrence int) int64 {
	return s.Start + int64(occurrence)*s.Every.Milliseconds()
}

// Phase is the lifecycle phase of a step job.
type Phase string

// The phases of a step job. An open job waits or runs; the other phases are final.
const (
	Open      Phase = "open"
	Completed Phase = "completed"
	Failed    Phase = "failed"
	Cancelled Phase = "cancelled"
)

// How is the way in which a run ended.
type How string

// The ways in which a run ends.
const (
	EndDone    How = "done"
	EndFailed  How = "failed"
	EndStopped How = "stopped"
	EndLapsed  How = "lapsed"
	EndBroken  How = "broken"
	EndAlone   How = "alone"
	// EndLost means that the endpoint restarted or its lease expired, and that the fate of the run is unknown.
	EndLost How = "lost"
	// EndNever means that the run provably never began and can't begin any more.
	EndNever How = "never"
)

// Place is the assignment of a run to one incarnation of a worker's endpoint.
type Place struct {
	Number RunNumber
	Worker hsid.InstanceID
	Life   Life
}

// Task is the state of one task.
type Task struct {
	Done bool
	// Run is the number of the newest run; 0 when the task wasn't started yet.
	Run RunNumber
	// Failed lists the runs that failed; Job.MaxAttempts of them make the job fail.
	Failed     []RunNumber
	Checkpoint Checkpoint
	// Places lists the runs that aren't known to have ended.
	Places []Place
}

// Place returns the place of a run, or nil when the run has none.
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

// Job is one accepted step job. It keeps the settings that its queue had when it was accepted.
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
	// Begun is set once the end of a run proved that a task ran.
	Begun bool
	Ended time.Duration
	// Rounds holds the occurrences in order, up to the newest one of which a task was started; Round adds the
	// next one.
	Rounds []Occurrence
}

// Round returns an occurrence, and first adds the missing ones up to it to Rounds. It returns nil for a negative
// number and past the last occurrence.
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

// Task returns the state of a task, or nil when the task doesn't exist or its occurrence isn't in Rounds yet.
func (j *Job) Task(t TaskID) *Task {
	if t.Occurrence >= len(j.Rounds) || t.Step >= len(j.Steps) || t.Index >= j.Steps[t.Step].Count {
		return nil
	}
	return &j.Rounds[t.Occurrence].Steps[t.Step][t.Index]
}

// EachPlace visits the runs that aren't known to have ended, in the order of their tasks.
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
