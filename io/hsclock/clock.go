// Package hsclock is the clock and the random source of a running process.
//
// # Usage
//
//	clock := hsclock.New()
//	now := clock.Now()
package hsclock

import (
	"math/rand/v2"
	"time"

	"golang.org/x/sys/unix"

	"hyssopseam/core/hsid"
)

// System is the machine's clock. It goes on while the machine is suspended, which Go's own monotonic clock
// doesn't, so that a lease isn't taken to last when others know it to be over. Setting the wall clock
// doesn't move it. It is safe for concurrent use.
type System struct {
	began time.Time
	boot  time.Duration
}

// New returns a clock whose wall time is right now and then goes on by the time since boot.
func New() System {
	return System{began: time.Now().Round(0), boot: sinceBoot()}
}

// Now returns the current time. A System that New didn't make counts from 1970.
func (s System) Now() time.Time {
	began := s.began
	if began.IsZero() {
		began = time.Unix(0, 0)
	}
	return began.Add(sinceBoot() - s.boot)
}

// sinceBoot reads the clock that includes suspension; see clock_gettime(2), CLOCK_BOOTTIME.
func sinceBoot() time.Duration {
	var t unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &t); err != nil {
		panic("hsclock: no CLOCK_BOOTTIME: " + err.Error())
	}
	return time.Duration(t.Nano())
}

// Random draws from the runtime's generator, which is seeded at random. It is safe for concurrent use.
type Random struct{}

// Int64N returns a number from [0, n); it panics when n isn't positive.
func (Random) Int64N(n int64) int64 { return rand.Int64N(n) }

// NewIncarnation returns a number that no other life of a process has.
func NewIncarnation() hsid.Incarnation {
	return hsid.Incarnation(rand.Uint64() | 1)
}
