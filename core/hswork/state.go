package hswork

import (
	"cmp"
	"slices"
	"time"

	"hyssopseam/core/hsid"
)

// State is the replicated state of step jobs.
type State struct {
	// Catalog is the catalog in force.
	Catalog Catalog
	Jobs    map[ID]*Job
	// Ended lists the jobs that aren't open, in the order in which they ended.
	Ended []ID
	// Waves lists the maintenance waves, oldest first.
	Waves []Wave
	// RunTimes holds the observed run times of each queue in the catalog.
	RunTimes map[QueueName]*RunTimeStats
	// EvacuatedZones lists the availability zones on whose workers nothing is started, by name.
	EvacuatedZones []EvacuatedZone
	// Speeds holds the speeds of workers as they were last committed; at most MaxSpeeds.
	Speeds map[hsid.InstanceID]WorkerSpeed
}

// NewState returns an empty state.
func NewState() *State {
	return &State{Jobs: map[ID]*Job{}, RunTimes: map[QueueName]*RunTimeStats{}, Speeds: map[hsid.InstanceID]WorkerSpeed{}}
}

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
	End     *EndRuns
	Cancel  *Cancel
	// Wave starts a maintenance wave.
	Wave     *Wave
	WaveDone *WaveDone
	Upkeep   *UpkeepProgress
	// Zone evacuates an availability zone or restores it.
	Zone *ZoneEvacuation
	// Speeds records the speeds of workers.
	Speeds *SpeedUpdate
}

// Submit adds an accepted job, with the settings of its queue.
type Submit struct {
	Submission  Submission
	Queue       QueueName
	Pool        PoolName
	Workspace   hsid.WorkspaceID
	Priority    int
	Attempts    int
	Stretch     float64
	Target      time.Duration
	NeedsPermit bool
	// Zone is Job.Zone.
	Zone hsid.ZoneID
}

// Member is one task of a Start and the endpoint that it is assigned to.
type Member struct {
	Task                TaskID
	Worker              hsid.InstanceID
	EndpointIncarnation EndpointIncarnation
}

// Start assigns a single task, or all tasks of a gang, to endpoints, under one run number.
type Start struct {
	Number  RunNumber
	Members []Member
}

// End records the end of one run.
type End struct {
	Run        RunID
	Kind       EndKind
	Checkpoint Checkpoint
	// Took is the run time of a run that is done; 0 when it wasn't observed. Where speeds are learned, it is that on an average
	// worker.
	Took time.Duration
}

// EndRuns records the ends of a batch of runs.
type EndRuns struct {
	Ends []End
}

// Cancel cancels a job.
type Cancel struct {
	ID ID
}

// WaveDone completes a wave.
type WaveDone struct {
	ID WaveID
}
