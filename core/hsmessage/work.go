package hsmessage

import (
	"time"

	"hyssopseam/core/hsid"
	"hyssopseam/core/hsstate"
	"hyssopseam/core/hswork"
)

// RoleRunner is the role that runs the tasks of step jobs on the endpoint beside it.
const RoleRunner Role = "runner"

// WorkAction names what a request about step jobs wants.
type WorkAction string

// The actions.
const (
	WorkSubmit     WorkAction = "submit"
	WorkState      WorkAction = "state"
	WorkCancel     WorkAction = "cancel"
	WorkWaiting    WorkAction = "waiting"
	WorkPutCatalog WorkAction = "putCatalog"
	WorkGetCatalog WorkAction = "getCatalog"
	WorkStartWave  WorkAction = "startWave"
	WorkGetWave    WorkAction = "getWave"
)

// WorkRequest is a request about step jobs. Host, Path and Key come from the caller; the leader finds the
// queue and the workspace by the catalog in force.
type WorkRequest struct {
	Action WorkAction
	Host   string
	Path   string
	Key    string
	// Submission is set for WorkSubmit; its identifier is taken from Path.
	Submission *hswork.Submission
	// Catalog is set for WorkPutCatalog.
	Catalog *hswork.Catalog
	// Wave is set for WorkStartWave, and with its identifier alone for WorkGetWave.
	Wave *hswork.Wave
}

// WorkVerdict tells how a WorkRequest ended.
type WorkVerdict string

// The verdicts. With notReady and overloaded nothing was done.
const (
	WorkDone       WorkVerdict = "done"
	WorkNoQueue    WorkVerdict = "noQueue"
	WorkNoKey      WorkVerdict = "noKey"
	WorkNoJob      WorkVerdict = "noJob"
	WorkBad        WorkVerdict = "bad"
	WorkNotReady   WorkVerdict = "notReady"
	WorkOverloaded WorkVerdict = "overloaded"
)

// WorkReply answers a WorkRequest.
type WorkReply struct {
	Verdict WorkVerdict
	// Stage is the stage of a job, as hsprogress.Stage names it.
	Stage string
	// Waiting counts the jobs of a queue that haven't begun.
	Waiting int
	// Content is the catalog in force as it was sent, and Version its number.
	Content []byte
	Version hswork.Version
	// WaveDone is set once a wave has come to its end.
	WaveDone bool
}

// Endpoint describes the endpoint beside a runner, as it announced itself.
type Endpoint struct {
	ID     hswork.EndpointID
	Life   hswork.Life
	Pool   hswork.PoolName
	Labels []hswork.Label
	// Rack is the label among them that names the rack; empty where it isn't known.
	Rack     hswork.Label
	Capacity hswork.Resources
	// Leaving is set when it takes no new work; LeavesIn is how long it still runs at least.
	Leaving  bool
	LeavesIn time.Duration
}

// RunningTask is one run at work.
type RunningTask struct {
	Run        hswork.RunID
	Checkpoint hswork.Checkpoint
	Percent    hswork.Percent
	// Load is the tail of the response times of a run that serves, in milliseconds, and of others the
	// thousandths of cores in use.
	Load int64
}

// EndedTask is one end that the endpoint lists.
type EndedTask struct {
	Number     hswork.EndNumber
	Run        hswork.RunID
	How        hswork.How
	Checkpoint hswork.Checkpoint
}

// Tally is the whole of what a runner knows of its endpoint. It asks for the run lease as well.
type Tally struct {
	Instance    hsid.InstanceID
	Incarnation hsid.Incarnation
	Sequence    hsid.Sequence
	Zone        hsid.ZoneID
	Endpoint    Endpoint
	// Listed is set once the endpoint's own lists of this life were read.
	Listed bool
	// Healthy is cleared while calls to the endpoint fail.
	Healthy bool
	// Over is set when nothing that was started on this life runs any more.
	Over    bool
	Running []RunningTask
	Ended   []EndedTask
	// Never lists the runs that were asked to stop and are proved never to begin.
	Never []hswork.RunID
	// Refused lists the runs that the endpoint had no room for, or didn't take for another reason.
	Refused []RefusedRun
}

// RefusedRun is a start that the endpoint didn't take.
type RefusedRun struct {
	Run    hswork.RunID
	Reason string
}

// PlannedRun is a run that should be at work.
type PlannedRun struct {
	Run hswork.RunID
	// Known is set once the endpoint was seen to have the run; Spec is left out then.
	Known      bool
	Spec       string
	Checkpoint hswork.Checkpoint
	Ticket     hswork.Ticket
	// TailTarget is the response time that the run has to serve its users within; 0 for none.
	TailTarget time.Duration
	// Fills is set for a run that takes what others leave, and may be slowed down for them.
	Fills bool
}

// Plan is the whole of what the endpoint of a runner should run, and the run lease.
type Plan struct {
	Term        hsid.Term
	Serial      hsid.Sequence
	Incarnation hsid.Incarnation
	// Sequence is that of the tally that the plan answers; zero when it answers none.
	Sequence hsid.Sequence
	// For is the run lease, counted from when that tally was sent.
	For  time.Duration
	Life hswork.Life
	Runs []PlannedRun
	// Stops lists the runs that must not be at work, and never begin.
	Stops []hswork.RunID
	// Noted is the newest end of this life that is committed with all before it.
	Noted hswork.EndNumber
	// Controls are the addresses of the control replicas.
	Controls []hsstate.Peer
}

func (Tally) message() {}
func (Plan) message()  {}
