package admission

import (
	"sync/atomic"
	"time"
)

// drainMeter measures the rate at which work leaves the queue, so that a refusal can
// tell when to retry. It counts per period and uses the higher of the counts of the
// last full period and the current one.
type drainMeter struct {
	period atomic.Int64 // Number of the current period.
	count  atomic.Int64
	last   atomic.Int64 // Count of the previous period.
}

const meterPeriod = 5 * time.Second

// roll starts a new period if the current one is over. The previous count is zero if
// a whole period was skipped.
func (m *drainMeter) roll(now time.Time) {
	period := now.UnixNano() / int64(meterPeriod)
	previous := m.period.Load()
	if period == previous || !m.period.CompareAndSwap(previous, period) {
		return
	}
	count := m.count.Swap(0)
	if period != previous+1 {
		count = 0
	}
	m.last.Store(count)
}

func (m *drainMeter) add(now time.Time) {
	m.roll(now)
	m.count.Add(1)
}

// timeToDrain returns the estimated time until n jobs or calls have left the queue.
func (m *drainMeter) timeToDrain(now time.Time, n int64) time.Duration {
	m.roll(now)
	left := max(m.last.Load(), m.count.Load())
	if left == 0 {
		return defaultDrainTime
	}
	return time.Duration(n) * meterPeriod / time.Duration(left)
}
