package hsrunner

import (
	"time"

	"hyssopseam/core/hsmessage"
	"hyssopseam/core/hswork"
)

// ClockReading is a time on the clock of an endpoint, which starts at zero with each incarnation.
type ClockReading time.Duration

// Target identifies the endpoint that a call is sent to, and its incarnation.
type Target struct {
	Address string
	ID      hswork.EndpointID
	// Generation numbers the incarnations that the runner has seen. A result of an older generation is ignored.
	Generation int
}

// StartCall starts a run.
type StartCall struct {
	Target     Target
	Run        hswork.RunID
	Spec       string
	Checkpoint hswork.Checkpoint
	Ticket     hswork.Ticket
	// Deadline is when the lease expires, and with it every run on the endpoint, unless it is extended.
	Deadline ClockReading
	Fence    hswork.Fence
}

// StopCall stops a run. If the run hasn't started yet, the endpoint rejects a later start of it.
type StopCall struct {
	Target Target
	Run    hswork.RunID
	Fence  hswork.Fence
}

// HoldCall extends the lease that all runs share and asks for the lists of running and ended runs.
type HoldCall struct {
	Target Target
	// Number orders the holds of one incarnation. LongPoll is set for the long poll, of which there is one at a time.
	Number   int
	LongPoll bool
	// Deadline is the new end of the lease; zero leaves the lease as it is.
	Deadline ClockReading
	// AckedEnd acknowledges ends: the endpoint may forget all up to this number.
	AckedEnd hswork.EndNumber
	// Wait is how long the endpoint may delay its answer until a run ends.
	Wait  time.Duration
	Fence hswork.Fence
}

// Endpoint sends calls to the endpoint without blocking. The result of each comes back through
// Runner.HandleStartResult, HandleStopResult, HandleHoldResult or HandlePaceResult.
type Endpoint interface {
	Start(c StartCall)
	Stop(c StopCall)
	Hold(c HoldCall)
	Pace(c PaceCall)
}

// PaceCall throttles a run to a percentage of full speed; 0 pauses it.
type PaceCall struct {
	Target Target
	Run    hswork.RunID
	Pace   hswork.Percent
	Fence  hswork.Fence
}

// Verdict is the outcome of a call.
type Verdict string

// The verdicts. After CallNoAnswer the call may have been carried out, or may still be.
const (
	CallDone     Verdict = "done"
	CallNoAnswer Verdict = "noAnswer"
	// CallRefused: the endpoint rejected the call, for lack of resources or for another reason.
	CallRefused Verdict = "refused"
	// CallOutdated: this run, or a later one of the same task, was already stopped or has ended there.
	CallOutdated Verdict = "old"
	// CallDeadlinePassed: the deadline of the call had passed when it arrived.
	CallDeadlinePassed Verdict = "late"
	// CallFenced: the endpoint has already received a call with a later term.
	CallFenced Verdict = "fenced"
	// CallWrongIncarnation: another incarnation of the endpoint answered.
	CallWrongIncarnation Verdict = "other"
)

// CallResult holds the fields that all results have in common.
type CallResult struct {
	Generation int
	Verdict    Verdict
	// Clock is the reading of the endpoint's clock when it answered; zero when the answer has none.
	Clock  ClockReading
	Reason string
}

// HoldResult is the result of a HoldCall.
type HoldResult struct {
	CallResult
	Number              int
	LongPoll            bool
	EndpointIncarnation hswork.EndpointIncarnation
	Running             []hsmessage.RunningTask
	Ended               []hsmessage.EndedTask
	// EndsTruncated is set when the endpoint may have more ends than Ended lists.
	EndsTruncated bool
}

// ShutdownNotice is what an endpoint sends just before it ends.
type ShutdownNotice struct {
	Endpoint hswork.EndpointID
	// Incarnation is zero when the notice doesn't name one.
	Incarnation hswork.EndpointIncarnation
}

// Announcement is what an endpoint reports about itself to the runner.
type Announcement struct {
	Endpoint hsmessage.Endpoint
	Address  string
	// Sequence orders the announcements of one incarnation.
	Sequence uint64
	// Clock is the reading of the endpoint's clock when it announced itself.
	Clock ClockReading
}
