package clock

import (
	"sync/atomic"
	"time"

	"golang.org/x/sys/unix"
)

// Instant is a time in nanoseconds on the boot-time clock. Unlike the monotonic clock,
// that clock runs on while the machine is suspended, and it is not affected by changes
// of the time of day. Leases are measured by it.
type Instant int64

// nowOverride replaces the boot-time clock in tests.
var nowOverride atomic.Pointer[func() Instant]

// OverrideNow makes Now call f, for tests on virtual time.
func OverrideNow(f func() Instant) { nowOverride.Store(&f) }

// VirtualNow returns the time by the fake clock of a testing/synctest bubble.
func VirtualNow() Instant { return Instant(time.Now().UnixNano()) }

// Now returns the time since the machine was booted, including time spent suspended.
func Now() Instant {
	if f := nowOverride.Load(); f != nil {
		return (*f)()
	}
	var t unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &t); err != nil {
		// Linux has had this clock since 2.6.39, so this shouldn't happen. There is no fallback,
		// as a lease must not be measured by another clock.
		panic("clock.Now: " + err.Error())
	}
	return Instant(t.Nano())
}

// Add returns the instant i+d.
func (i Instant) Add(d time.Duration) Instant { return i + Instant(d) }

// Sub returns the duration i-o.
func (i Instant) Sub(o Instant) time.Duration { return time.Duration(i - o) }

// Since returns the time elapsed since i.
func Since(i Instant) time.Duration { return Now().Sub(i) }
