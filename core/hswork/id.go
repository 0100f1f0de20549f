package hswork

import (
	"cmp"
	"errors"
	"fmt"
	"strconv"
	"strings"
)

// ID identifies a step job. The caller chooses it, so that a repeated submission finds the existing job.
type ID string

// QueueName identifies a queue of the catalog.
type QueueName string

// PoolName identifies a pool of endpoints in the catalog.
type PoolName string

// Version is the version of a catalog. The highest one that was committed is in force; zero means that there is
// no catalog.
type Version uint64

// RunNumber counts the runs of a task from 1. A restarted task gets a higher number.
type RunNumber uint32

// EndpointIncarnation identifies one incarnation of an endpoint by the Unix time of its start in milliseconds. Zero
// means that there is no endpoint.
type EndpointIncarnation uint64

// EndpointID identifies an endpoint. It may stay the same when the endpoint restarts.
type EndpointID string

// Checkpoint is an endpoint's opaque reference to the saved progress of a task; empty for none.
type Checkpoint string

// Ticket proves to an endpoint that the policy service allows a step to run there.
type Ticket string

// EndNumber numbers the ended runs that one incarnation of an endpoint lists, from 1.
type EndNumber uint64

// Label is a property of an endpoint that steps may require. The rack of an endpoint is given as a label too.
type Label string

// Percent is the progress of a run, from 0 to 100.
type Percent int

// TaskID identifies one task of a step job. Occurrence, Step and Index count from 0.
type TaskID struct {
	Job        ID
	Occurrence int
	Step       int
	Index      int
}

// String returns the identifier as job.occurrence.step.index, the form that ParseTask reads.
func (t TaskID) String() string {
	return fmt.Sprintf("%s.%d.%d.%d", t.Job, t.Occurrence, t.Step, t.Index)
}

// ErrTask is wrapped by the errors of ParseTask.
var ErrTask = errors.New("hswork: not a task name")

// ParseTask parses the form that TaskID.String returns. Its error wraps ErrTask.
func ParseTask(text string) (TaskID, error) {
	parts := strings.Split(text, ".")
	if len(parts) != 4 || parts[0] == "" {
		return TaskID{}, fmt.Errorf("%w: %q", ErrTask, text)
	}
	var numbers [3]int
	for i, p := range parts[1:] {
		n, err := strconv.Atoi(p)
		if err != nil || n < 0 {
			return TaskID{}, fmt.Errorf("%w: %q", ErrTask, text)
		}
		numbers[i] = n
	}
	return TaskID{Job: ID(parts[0]), Occurrence: numbers[0], Step: numbers[1], Index: numbers[2]}, nil
}

// RunID identifies one run of a task.
type RunID struct {
	Task   TaskID
	Number RunNumber
}

// String returns the identifier as task/number.
func (r RunID) String() string { return fmt.Sprintf("%s/%d", r.Task, r.Number) }

// CompareRuns orders runs by task and then by number. Its result is that of cmp.Compare.
func CompareRuns(a, b RunID) int {
	return cmp.Or(
		cmp.Compare(a.Task.Job, b.Task.Job),
		cmp.Compare(a.Task.Occurrence, b.Task.Occurrence),
		cmp.Compare(a.Task.Step, b.Task.Step),
		cmp.Compare(a.Task.Index, b.Task.Index),
		cmp.Compare(a.Number, b.Number),
	)
}
