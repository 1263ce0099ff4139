package admission

import (
	"sync/atomic"
	"time"
)

// drainMeter measures how fast work leaves, so that a refusal can say when
// there will be room. It counts in periods and uses the last full one.
type drainMeter struct {
	period atomic.Int64 // Number of the current period.
	count  atomic.Int64
	last   atomic.Int64 // Count of the period before.
}

const meterPeriod = 5 * time.Second

func (m *drainMeter) roll(now time.Time) {
	period := now.UnixNano() / int64(meterPeriod)
	was := m.period.Load()
	if period == was || !m.period.CompareAndSwap(was, period) {
		return
	}
	count := m.count.Swap(0)
	if period != was+1 {
		count = 0
	}
	m.last.Store(count)
}

func (m *drainMeter) add(now time.Time) {
	m.roll(now)
	m.count.Add(1)
}

// timeToDrain is how long it takes until n pieces of work have left.
func (m *drainMeter) timeToDrain(now time.Time, n int64) time.Duration {
	m.roll(now)
	left := max(m.last.Load(), m.count.Load())
	if left == 0 {
		return defaultDrainTime
	}
	return time.Duration(n) * meterPeriod / time.Duration(left)
}
