// Package hsadmission implements the lifecycle of a job in the replicated state: it accepts or refuses, starts,
// requeues, cancels and finishes jobs.
//
// The functions are deterministic and change the State that is passed to them. They are called on the control
// goroutine when a committed entry is applied. A command that arrives late or twice changes nothing.
//
// A submission with an idempotency key gets the identifier JobIDForKey, so that a resend through any entry finds the
// existing job. The latest MaxFinished finished jobs are kept, for Retention of cluster time at most; after that
// their keys are free again, and a resend runs as a new job. Answers are dropped earlier, oldest first, when their
// total size exceeds MaxAnswers; the outcome and the checksum are kept.
//
// # Usage
//
//	result := hsadmission.Submit(state, command, entry.Index)
//	if result.Verdict == hsstate.JobRefused {
//		return result.Reason
//	}
package hsadmission
