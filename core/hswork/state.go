package hswork

import (
	"cmp"
	"slices"
	"time"

	"hyssopseam/core/hsid"
)

// State is the replicated state of step jobs.
type State struct {
	Catalog Catalog
	Jobs    map[ID]*Job
	// Ended lists the jobs that aren't open, oldest first.
	Ended []ID
	// Waves are the waves of upkeep, oldest first.
	Waves []Wave
	// Experiences hold what was seen of the runs of each queue in the catalog.
	Experiences map[QueueName]*Experience
}

// NewState returns an empty state.
func NewState() *State { return &State{Jobs: map[ID]*Job{}, Experiences: map[QueueName]*Experience{}} }

// OpenJobs returns the open jobs in the order in which they were accepted.
func (s *State) OpenJobs() []*Job {
	var open []*Job
	for _, j := range s.Jobs {
		if j.Phase == Open {
			open = append(open, j)
		}
	}
	slices.SortFunc(open, func(a, b *Job) int { return cmp.Or(cmp.Compare(a.Index, b.Index), cmp.Compare(a.ID, b.ID)) })
	return open
}

// Command is one change of the State; exactly one field is set.
type Command struct {
	Catalog *Catalog
	Submit  *Submit
	Start   *Start
	End     *Ends
	Cancel  *Cancel
	// Wave starts a wave of upkeep.
	Wave     *Wave
	WaveDone *WaveDone
	Upkeep   *UpkeepNote
}

// catalogFactor is how many times its content a catalog takes: the content, and what was read from it.
const catalogFactor = 2

// Size returns about how many bytes a command takes in the log.
func (c *Command) Size() hsid.Bytes {
	switch {
	case c.Catalog != nil:
		return catalogFactor * hsid.Bytes(len(c.Catalog.Content))
	case c.Submit != nil:
		return hsid.Bytes(len(c.Submit.Submission.Spec))
	}
	return 0
}

// Submit accepts a job.
type Submit struct {
	Submission Submission
	Queue      QueueName
	Pool       PoolName
	Workspace  hsid.WorkspaceID
	Priority   int
	Attempts   int
	Stretch    float64
	Target     time.Duration
	Advised    bool
}

// Member is one task of a start and where it goes.
type Member struct {
	Task   TaskID
	Worker hsid.InstanceID
	Life   Life
}

// Start places the tasks of one gang, or one task, under one run number.
type Start struct {
	Number  RunNumber
	Members []Member
}

// End is the end of one run.
type End struct {
	Run        RunID
	How        How
	Checkpoint Checkpoint
	// Took is how long a run that is done was at work; 0 where that wasn't seen.
	Took time.Duration
}

// Ends is a batch of ends.
type Ends struct {
	Ends []End
}

// Cancel cancels a job.
type Cancel struct {
	ID ID
}

// WaveDone ends a wave.
type WaveDone struct {
	ID WaveID
}
