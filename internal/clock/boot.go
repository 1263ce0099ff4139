package clock

import (
	"sync/atomic"
	"time"

	"golang.org/x/sys/unix"
)

// Instant is a time on a clock that counts suspension of the machine, unlike the
// monotonic clock, and doesn't follow the time of day. Leases are measured by it.
type Instant int64

// nowOverride stands in for the machine's clock in tests.
var nowOverride atomic.Pointer[func() Instant]

// OverrideNow makes Now return what f does, for tests on virtual time.
func OverrideNow(f func() Instant) { nowOverride.Store(&f) }

// VirtualNow is the clock of a testing/synctest bubble.
func VirtualNow() Instant { return Instant(time.Now().UnixNano()) }

// Now returns the time since the machine started, suspension included.
func Now() Instant {
	if f := nowOverride.Load(); f != nil {
		return (*f)()
	}
	var t unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &t); err != nil {
		// The kernel has had this clock since 2.6.39; a lease must not be measured by another.
		panic("clock.Now: " + err.Error())
	}
	return Instant(t.Nano())
}

// Add returns the instant that is d later.
func (i Instant) Add(d time.Duration) Instant { return i + Instant(d) }

// Sub returns the time from o to i.
func (i Instant) Sub(o Instant) time.Duration { return time.Duration(i - o) }

// Since returns the time that has passed since i.
func Since(i Instant) time.Duration { return Now().Sub(i) }
