package hsrunner

import (
	"time"

	"hyssopseam/core/hsid"
	"hyssopseam/core/hsmessage"
	"hyssopseam/core/hswork"
)

// Reading is a time on the clock of an endpoint, which counts from the start of its life.
type Reading time.Duration

// Target names the life of an endpoint that a call is meant for.
type Target struct {
	Address string
	ID      hswork.EndpointID
	// Turn tells the calls for one life from those for the next; results of an older turn are dropped.
	Turn int
}

// StartCall asks for a run.
type StartCall struct {
	Target     Target
	Run        hswork.RunID
	Spec       string
	Checkpoint hswork.Checkpoint
	Ticket     hswork.Ticket
	// Deadline is when everything on the endpoint ends unless it is held longer.
	Deadline Reading
	Term     hsid.Term
}

// StopCall asks for the end of a run. One that isn't there yet will not begin.
type StopCall struct {
	Target Target
	Run    hswork.RunID
	Term   hsid.Term
}

// HoldCall extends the lease of all runs and asks for what the endpoint lists.
type HoldCall struct {
	Target Target
	// Number orders the holds of one life. Main is set for the one that waits.
	Number int
	Main   bool
	// Deadline is zero when the lease isn't extended.
	Deadline Reading
	// Noted is the newest end that may be forgotten.
	Noted hswork.EndNumber
	// Wait is how long the answer may wait for an end.
	Wait time.Duration
	Term hsid.Term
}

// Endpoint carries out calls without blocking. The result of each comes back to the Runner.
type Endpoint interface {
	Start(c StartCall)
	Stop(c StopCall)
	Hold(c HoldCall)
	Pace(c PaceCall)
}

// PaceCall has a run work at a share of its speed.
type PaceCall struct {
	Target Target
	Run    hswork.RunID
	Pace   hswork.Percent
	Term   hsid.Term
}

// Verdict tells how a call ended.
type Verdict string

// The verdicts. Without an answer the call may have been carried out, or may be later.
const (
	CallDone     Verdict = "done"
	CallNoAnswer Verdict = "noAnswer"
	// CallRefused: the endpoint didn't do it, and has no room or won't for another reason.
	CallRefused Verdict = "refused"
	// CallOld: this run, or a later one, was stopped or ended there.
	CallOld Verdict = "old"
	// CallLate: the deadline of the call had passed.
	CallLate Verdict = "late"
	// CallFenced: a later leader has spoken.
	CallFenced Verdict = "fenced"
	// CallOther: another life answered.
	CallOther Verdict = "other"
)

// CallResult is what all results share.
type CallResult struct {
	Turn    int
	Verdict Verdict
	// Clock is what the endpoint's clock showed when it answered; zero when it didn't say.
	Clock  Reading
	Reason string
}

// HoldResult is the answer to a HoldCall.
type HoldResult struct {
	CallResult
	Number  int
	Main    bool
	Life    hswork.Life
	Running []hsmessage.RunningTask
	Ended   []hsmessage.EndedTask
}

// Announcement is what an endpoint says of itself.
type Announcement struct {
	Endpoint hsmessage.Endpoint
	Address  string
	// Sequence orders the announcements of one life.
	Sequence uint64
	// Clock is what the endpoint's clock showed.
	Clock Reading
}
