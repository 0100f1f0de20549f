// Package hsclock is the clock and the random source of a running process.
//
// # Usage
//
//	var clock hsclock.System
//	now := clock.Now()
package hsclock

import (
	"math/rand/v2"
	"time"

	"hyssopseam/core/hsid"
)

// System is the machine's clock. Its times carry the monotonic reading, so differences don't jump when
// the wall clock is set. It is safe for concurrent use.
type System struct{}

// Now returns the current time.
func (System) Now() time.Time { return time.Now() }

// Random draws from the runtime's generator, which is seeded at random. It is safe for concurrent use.
type Random struct{}

// Int64N returns a number from [0, n); it panics when n isn't positive.
func (Random) Int64N(n int64) int64 { return rand.Int64N(n) }

// NewIncarnation returns a number that no other life of a process has.
func NewIncarnation() hsid.Incarnation {
	return hsid.Incarnation(rand.Uint64() | 1)
}
