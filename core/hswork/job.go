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

// Max returns the larger value of each resource.
func (r Resources) Max(o Resources) Resources {
	return Resources{Cores: max(r.Cores, o.Cores), Memory: max(r.Memory, o.Memory), Accelerators: max(r.Accelerators, o.Accelerators)}
}

// Holds reports whether o fits into r.
func (r Resources) Holds(o Resources) bool {
	return r.Cores >= o.Cores && r.Memory >= o.Memory && r.Accelerators >= o.Accelerators
}

// Step is a number of identical tasks with their demands and constraints.
type Step struct {
	Count int
	// Need is the demand of each task. The cores of a step that is BestEffort aren't counted against a worker.
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
	// Checkpoints is set when the tasks save checkpoints of their progress.
	Checkpoints bool
	// Speculative is set when several copies of a task may run at once.
	Speculative bool
	// LongRunning is set for long-running tasks, which run until the job is cancelled and are restarted when they
	// end.
	LongRunning bool
	Image       string
	// TailTarget is the objective for the tail latency with which a long-running task serves its users; 0 for
	// none.
	TailTarget time.Duration
	// BestEffort is set for tasks that run on whatever cores other tasks leave idle, and may be slowed down for them.
	BestEffort bool
	// MaxUnavailable limits preemption and draining of a long-running step: a task isn't stopped while this many of
	// the others aren't serving.
	MaxUnavailable int
}

// Submission is a step job as its caller submits it.
type Submission struct {
	ID ID
	// Spec is opaque to the scheduler and is handed to the endpoints as it is.
	Spec  string
	Steps []Step
	// Start is the due time of the first occurrence as a Unix time in milliseconds; 0 for at once.
	Start int64
	// Interval is the time between the due times of two occurrences.
	Interval time.Duration
	// RepeatCount is the number of occurrences; 0 means 1.
	RepeatCount int
}

// OccurrenceCount returns the number of occurrences, at least 1.
func (s *Submission) OccurrenceCount() int { return max(s.RepeatCount, 1) }

// Due returns the due time of an occurrence as a Unix time in milliseconds.
func (s *Submission) Due(occurrence int) int64 {
	return s.Start + int64(occurrence)*s.Interval.Milliseconds()
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

// EndKind is the way in which a run ended.
type EndKind string

// The ways in which a run ends.
const (
	EndDone    EndKind = "done"
	EndFailed  EndKind = "failed"
	EndStopped EndKind = "stopped"
	// EndLapsed means that the endpoint stopped the run because the run lease expired.
	EndLapsed EndKind = "lapsed"
	// EndBroken means that another member of the run's gang was lost.
	EndBroken EndKind = "broken"
	// EndAlone means that the other members of the run's gang didn't start in time.
	EndAlone EndKind = "alone"
	// EndLost means that the endpoint restarted or its lease expired, and that the fate of the run is unknown.
	EndLost EndKind = "lost"
	// EndNever means that the run provably never started and can't start any more.
	EndNever EndKind = "never"
)

// Assignment records that a run is assigned to one incarnation of a worker's endpoint.
type Assignment struct {
	Number              RunNumber
	Worker              hsid.InstanceID
	EndpointIncarnation EndpointIncarnation
}

// Task is the state of one task.
type Task struct {
	Done bool
	// Run is the number of the newest run; 0 when the task wasn't started yet.
	Run RunNumber
	// Failed lists the runs that failed; Job.MaxAttempts of them make the job fail.
	Failed     []RunNumber
	Checkpoint Checkpoint
	// Assignments lists the runs that aren't known to have ended.
	Assignments []Assignment
}

// Assignment returns the assignment of a run, or nil when the run has none.
func (t *Task) Assignment(n RunNumber) *Assignment {
	i := slices.IndexFunc(t.Assignments, func(a Assignment) bool { return a.Number == n })
	if i < 0 {
		return nil
	}
	return &t.Assignments[i]
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
	NeedsPermit bool
	// Accepted is the cluster time, and Index the log index, at which the job was accepted.
	Accepted time.Duration
	Index    hsid.LogIndex

	Phase Phase
	// Started is set once the end of a run proved that a task ran.
	Started bool
	// Ended is the cluster time at which the job left the phase Open; 0 before.
	Ended time.Duration
	// Occurrences holds the occurrences in order, up to the newest one of which a task was started; EnsureOccurrence
	// adds the next one.
	Occurrences []Occurrence
	// Zone is the availability zone that the caller's request came from; empty if it isn't recorded.
	Zone hsid.ZoneID
}

// EnsureOccurrence returns an occurrence, and first adds the missing ones up to it to Occurrences. It returns nil for
// a negative number and past the last occurrence.
func (j *Job) EnsureOccurrence(k int) *Occurrence {
	for k >= len(j.Occurrences) && len(j.Occurrences) < j.OccurrenceCount() {
		o := Occurrence{Steps: make([][]Task, len(j.Steps))}
		for i := range j.Steps {
			o.Steps[i] = make([]Task, j.Steps[i].Count)
		}
		j.Occurrences = append(j.Occurrences, o)
	}
	if k < 0 || k >= len(j.Occurrences) {
		return nil
	}
	return &j.Occurrences[k]
}

// Step returns the step of a task, or nil when there is none.
func (j *Job) Step(t TaskID) *Step {
	if t.Step < 0 || t.Step >= len(j.Steps) {
		return nil
	}
	return &j.Steps[t.Step]
}

// Task returns the state of a task, or nil when the task doesn't exist or its occurrence isn't in Occurrences yet. Any
// numbers are allowed, as they may come from another process.
func (j *Job) Task(t TaskID) *Task {
	s := j.Step(t)
	if s == nil || t.Index < 0 || t.Index >= s.Count || t.Occurrence < 0 || t.Occurrence >= len(j.Occurrences) {
		return nil
	}
	return &j.Occurrences[t.Occurrence].Steps[t.Step][t.Index]
}

// EachAssignment visits the runs that aren't known to have ended, in the order of their tasks.
func (j *Job) EachAssignment(visit func(t TaskID, task *Task, a Assignment)) {
	for k := range j.Occurrences {
		for s := range j.Occurrences[k].Steps {
			for i := range j.Occurrences[k].Steps[s] {
				task := &j.Occurrences[k].Steps[s][i]
				for _, a := range task.Assignments {
					visit(TaskID{Job: j.ID, Occurrence: k, Step: s, Index: i}, task, a)
				}
			}
		}
	}
}
