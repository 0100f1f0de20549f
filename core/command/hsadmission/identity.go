package hsadmission

import (
	"crypto/sha256"
	"fmt"

	"hyssopseam/core/hsid"
	"hyssopseam/core/hsstate"
)

// JobIDForKey returns the identifier of the job with an idempotency key in a workspace.
func JobIDForKey(w hsid.WorkspaceID, k hsid.IdempotencyKey) hsid.JobID {
	sum := sha256.Sum256([]byte(string(w) + "\x00" + string(k)))
	return hsid.JobID(fmt.Sprintf("%s-%x", w, sum[:12]))
}

// UniqueJobID returns a unique identifier for a submission without an idempotency key: the n-th of the entry that
// accepted it, which its incarnation identifies.
func UniqueJobID(w hsid.WorkspaceID, entry hsid.Incarnation, n hsid.Sequence) hsid.JobID {
	return hsid.JobID(fmt.Sprintf("%s-%016x.%d", w, uint64(entry), n))
}

// Checksum returns the SHA-256 checksum of a content in hexadecimal digits.
func Checksum(content []byte) string {
	return fmt.Sprintf("%x", sha256.Sum256(content))
}

// SubmissionChecksum returns the checksum of all fields of a submission except the idempotency key.
func SubmissionChecksum(s *hsstate.Spec) string {
	body := fmt.Sprintf("%q %q %s %s %d %d %d %d %x", s.Workspace, s.Kind, s.Shape, s.Class,
		s.Expect, s.StartWithin, s.Cores, s.Memory, sha256.Sum256(s.Input))
	return Checksum([]byte(body))
}
