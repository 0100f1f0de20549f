package hswork

import (
	"cmp"
	"errors"
	"fmt"
	"strconv"
	"strings"
)

// ID names a step job. Its caller chooses it, so that a resend finds the first.
type ID string

// QueueName names a queue of the catalog.
type QueueName string

// PoolName names a set of endpoints that run the tasks of some queues.
type PoolName string

// Version orders catalogs; the highest one is in force. Zero means that there is none.
type Version uint64

// RunNumber numbers the starts of a task from 1.
type RunNumber uint32

// Life tells one life of an endpoint from the next: the Unix time of its start in milliseconds.
type Life uint64

// EndpointID names an endpoint. It may stay the same over several lives.
type EndpointID string

// Checkpoint is the saved progress of a task as its endpoint names it; empty for none.
type Checkpoint string

// Ticket proves to an endpoint that the policy service allows a step there.
type Ticket string

// EndNumber numbers the ends that one life of an endpoint lists, from 1.
type EndNumber uint64

// Label is a property of an endpoint that steps may ask for; its rack is one of them.
type Label string

// Percent is a share of progress, from 0 to 100.
type Percent int

// TaskID names one task of a step job.
type TaskID struct {
	Work       ID
	Occurrence int
	Step       int
	Index      int
}

// String returns the task as work.occurrence.step.index, which ParseTask reads.
func (t TaskID) String() string {
	return fmt.Sprintf("%s.%d.%d.%d", t.Work, t.Occurrence, t.Step, t.Index)
}

// ErrTask is returned for text that names no task.
var ErrTask = errors.New("hswork: not a task name")

// ParseTask reads what String wrote.
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
	return TaskID{Work: ID(parts[0]), Occurrence: numbers[0], Step: numbers[1], Index: numbers[2]}, nil
}

// RunID names one start of a task.
type RunID struct {
	Task   TaskID
	Number RunNumber
}

// String returns the run as task/number.
func (r RunID) String() string { return fmt.Sprintf("%s/%d", r.Task, r.Number) }

// CompareRuns orders runs by task and number.
func CompareRuns(a, b RunID) int {
	return cmp.Or(
		cmp.Compare(a.Task.Work, b.Task.Work),
		cmp.Compare(a.Task.Occurrence, b.Task.Occurrence),
		cmp.Compare(a.Task.Step, b.Task.Step),
		cmp.Compare(a.Task.Index, b.Task.Index),
		cmp.Compare(a.Number, b.Number),
	)
}
