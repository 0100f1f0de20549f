// Package hsclock provides the clock and the random source of a process.
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

// System is a monotonic clock. Unlike Go's own monotonic clock it keeps running while the machine is suspended, so that
// after a suspension a process doesn't consider a lease valid that has expired for others. Setting the wall clock
// doesn't affect it. It is safe for concurrent use.
type System struct {
	start          time.Time
	startSinceBoot time.Duration
}

// New returns a clock that starts at the current wall time and from then on follows the time since boot.
func New() System {
	return System{start: time.Now().Round(0), startSinceBoot: sinceBoot()}
}

// Now returns the current time. The zero System counts the time since boot from 1970.
func (s System) Now() time.Time {
	start := s.start
	if start.IsZero() {
		start = time.Unix(0, 0)
	}
	return start.Add(sinceBoot() - s.startSinceBoot)
}

// sinceBoot returns the time since boot, including suspensions; see CLOCK_BOOTTIME in clock_gettime(2).
func sinceBoot() time.Duration {
	var t unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &t); err != nil {
		panic("hsclock: no CLOCK_BOOTTIME: " + err.Error())
	}
	return time.Duration(t.Nano())
}

// Random uses the runtime's random generator, which is seeded randomly. It is safe for concurrent use.
type Random struct{}

// Int64N returns a random number in [0, n). It panics if n isn't positive.
func (Random) Int64N(n int64) int64 { return rand.Int64N(n) }

// NewIncarnation returns a random non-zero number that distinguishes one start of a process from all others.
func NewIncarnation() hsid.Incarnation {
	return hsid.Incarnation(rand.Uint64() | 1)
}
