// Package hsadmission decides the life of a job in the replicated state: accepted or refused, started,
// queued again, cancelled, finished.
//
// Every function is deterministic and changes the State it is given; the caller is the control
// goroutine while it applies a committed entry. A command that comes late or twice changes nothing.
//
// A submission with an idempotency key gets the identifier JobOf, so it is found again through any
// entry. Finished jobs are remembered up to MaxFinished and for Retention of cluster time; past that
// their keys are free again, and a resend runs as a new job. Answers are forgotten earlier, oldest
// first, when all together exceed MaxAnswers; outcome and checksum stay.
//
// # Usage
//
//	result := hsadmission.Submit(state, command, entry.Index)
//	if result.Verdict == hsstate.JobRefused {
//		return result.Reason
//	}
package hsadmission
