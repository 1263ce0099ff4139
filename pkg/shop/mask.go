package shop

import "math/bits"

// Mask is a set of accelerators of one worker, with bit i for accelerator i.
type Mask uint64

// MaskOf returns the set of the n lowest accelerators.
func MaskOf(n int) Mask {
	if n >= MaxWorkerAccelerators {
		return ^Mask(0)
	}
	return Mask(1)<<n - 1
}

// Len returns the number of accelerators in the set.
func (m Mask) Len() int { return bits.OnesCount64(uint64(m)) }

// Has reports whether accelerator i is in the set.
func (m Mask) Has(i int) bool { return m>>i&1 == 1 }

// First returns the n lowest accelerators of the set, or the whole set when it has fewer.
func (m Mask) First(n int) Mask {
	var out Mask
	for rest := m; rest != 0 && n > 0; n-- {
		low := rest & -rest
		out |= low
		rest &^= low
	}
	return out
}

// All iterates over the accelerators of the set in ascending order.
func (m Mask) All(yield func(int) bool) {
	for rest := uint64(m); rest != 0; rest &= rest - 1 {
		if !yield(bits.TrailingZeros64(rest)) {
			return
		}
	}
}
