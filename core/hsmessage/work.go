package hsmessage

import (
	"time"

	"hyssopseam/core/hsid"
	"hyssopseam/core/hsstate"
	"hyssopseam/core/hswork"
)

// RoleRunner is the role that runs the tasks of step jobs on the endpoint of its instance.
const RoleRunner Role = "runner"

// WorkAction is the kind of a WorkRequest.
type WorkAction string

// The kinds of WorkRequest.
const (
	WorkSubmit     WorkAction = "submit"
	WorkState      WorkAction = "state"
	WorkCancel     WorkAction = "cancel"
	WorkWaiting    WorkAction = "waiting"
	WorkPutCatalog WorkAction = "putCatalog"
	WorkGetCatalog WorkAction = "getCatalog"
	WorkStartWave  WorkAction = "startWave"
	WorkGetWave    WorkAction = "getWave"
	// WorkEvacuate keeps new runs off the workers of an availability zone; WorkRestore ends that.
	WorkEvacuate WorkAction = "evacuateZone"
	WorkRestore  WorkAction = "restoreZone"
)

// WorkRequest is a request about step jobs. Host, Path and Key are as the caller sent them; from them the leader
// determines the queue and the workspace by the catalog in force.
type WorkRequest struct {
	Action WorkAction
	Host   string
	Path   string
	Key    string
	// Submission is set for WorkSubmit. The leader takes the identifier of the job from Path.
	Submission *hswork.Submission
	// Catalog is set for WorkPutCatalog.
	Catalog *hswork.Catalog
	// Wave is set for WorkStartWave, and for WorkGetWave with only its identifier.
	Wave *hswork.Wave
	// Zone is set for WorkEvacuate and WorkRestore. For WorkSubmit it is the zone of the entry that took the request, which
	// stands for that of the caller.
	Zone hsid.ZoneID
}

// WorkVerdict is the result of a WorkRequest.
type WorkVerdict string

// The verdicts. WorkNotReady and WorkOverloaded mean that the request had no effect and may be retried.
const (
	WorkDone       WorkVerdict = "done"
	WorkNoQueue    WorkVerdict = "noQueue"
	WorkNoKey      WorkVerdict = "noKey"
	WorkNoJob      WorkVerdict = "noJob"
	WorkBad        WorkVerdict = "bad"
	WorkNotReady   WorkVerdict = "notReady"
	WorkOverloaded WorkVerdict = "overloaded"
	WorkNoZone     WorkVerdict = "noZone"
)

// WorkReply is the answer to a WorkRequest.
type WorkReply struct {
	Verdict WorkVerdict
	// Stage is the stage of a job, as hsprogress.Stage names it.
	Stage string
	// Waiting is the number of jobs of a queue that haven't started.
	Waiting int
	// Content is the catalog in force as its operator sent it, and Version its version.
	Content []byte
	Version hswork.Version
	// WaveDone is set once a maintenance wave is complete.
	WaveDone bool
}

// Endpoint describes the endpoint of a runner, as the endpoint announced itself.
type Endpoint struct {
	ID          hswork.EndpointID
	Incarnation hswork.EndpointIncarnation
	Pool        hswork.PoolName
	Labels      []hswork.Label
	// Rack is the one of Labels that identifies the rack; empty when it is unknown.
	Rack     hswork.Label
	Capacity hswork.Resources
	// Leaving is set when the endpoint accepts no new work; LeavesIn is the least time that it keeps running.
	Leaving  bool
	LeavesIn time.Duration
}

// RunningTask is one run in progress.
type RunningTask struct {
	Run        hswork.RunID
	Checkpoint hswork.Checkpoint
	Percent    hswork.Percent
	// Load is the tail latency in milliseconds for a run that serves users, and the processor use in thousandths of
	// a core for any other run.
	Load int64
}

// EndedTask is one ended run, as the endpoint lists it.
type EndedTask struct {
	Number     hswork.EndNumber
	Run        hswork.RunID
	Kind       hswork.EndKind
	Checkpoint hswork.Checkpoint
}

// RunnerReport describes the full state of a runner's endpoint. It also asks for the renewal of the run lease.
type RunnerReport struct {
	Instance    hsid.InstanceID
	Incarnation hsid.Incarnation
	Sequence    hsid.Sequence
	Zone        hsid.ZoneID
	Endpoint    Endpoint
	// ListsKnown is set once the runner has read the endpoint's own lists of running and ended tasks. Before that,
	// Running and Ended may be incomplete.
	ListsKnown bool
	// Healthy is set while calls to the endpoint succeed.
	Healthy bool
	// EndpointTerminated is set when nothing that was started on this incarnation of the endpoint runs any more.
	EndpointTerminated bool
	Running            []RunningTask
	Ended              []EndedTask
	// NeverStarted lists the runs that were to be stopped, and that provably never started and can't start any more.
	NeverStarted []hswork.RunID
	// Refused lists the runs that the endpoint rejected, for lack of capacity or for another reason.
	Refused []RefusedRun
	// MinFence is the lowest fence with which the runner extends the endpoint's lease; zero for any.
	MinFence hswork.Fence
}

// RefusedRun is a run whose start the endpoint rejected.
type RefusedRun struct {
	Run    hswork.RunID
	Reason string
}

// PlannedRun is a run that should be in progress.
type PlannedRun struct {
	Run hswork.RunID
	// Listed is set once the endpoint has listed the run, and while its start is deferred. Spec is empty then, and the run
	// isn't started.
	Listed     bool
	Spec       string
	Checkpoint hswork.Checkpoint
	Ticket     hswork.Ticket
	// TailTarget is the objective for the tail latency with which the run serves its users; 0 for none.
	TailTarget time.Duration
	// BestEffort is set for a run that uses the cores that other runs leave idle, and may be slowed down for them.
	BestEffort bool
}

// Plan lists everything that a runner's endpoint should run. It also renews the run lease.
type Plan struct {
	Term hsid.Term
	// Serial numbers the plans that a leader sends to this runner in one term.
	Serial hsid.Sequence
	// Incarnation is that of the runner; a later one ignores the plan.
	Incarnation hsid.Incarnation
	// Sequence is that of the latest report that the plan is based on; zero for none.
	Sequence hsid.Sequence
	// RunLease is the length of the run lease, counted from the time at which that report was sent.
	RunLease time.Duration
	// EndpointIncarnation is the incarnation of the endpoint that the plan is for.
	EndpointIncarnation hswork.EndpointIncarnation
	Runs                []PlannedRun
	// Stops lists the runs that must be stopped, and must not begin any more.
	Stops []hswork.RunID
	// AckedEnd is the highest number up to which all ended runs of this incarnation of the endpoint are committed;
	// the endpoint may forget them.
	AckedEnd hswork.EndNumber
	// Controls holds the addresses of the control replicas.
	Controls []hsstate.Peer
	// Fence is the fence of calls to the endpoint. It rises within a term when the leader gives up a run there.
	Fence hswork.Fence
}

func (RunnerReport) message() {}
func (Plan) message()         {}
