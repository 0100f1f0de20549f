package hsfleet

import (
	"math/bits"

	"hyssopseam/core/hsid"
	"hyssopseam/core/hsshape"
)

// Mask is a set of accelerators of one worker; bit i represents the accelerator at position i.
type Mask uint64

// MaskOf returns the mask of a set. It ignores positions outside 0 to hsshape.MaxPerWorker-1.
func MaskOf(s hsshape.Set) Mask {
	var m Mask
	for _, x := range s {
		if x >= 0 && hsid.Accelerators(x) < hsshape.MaxPerWorker {
			m |= 1 << x
		}
	}
	return m
}

// Count returns the number of accelerators in the mask.
func (m Mask) Count() hsid.Accelerators {
	return hsid.Accelerators(bits.OnesCount64(uint64(m)))
}

// Set returns the positions in ascending order.
func (m Mask) Set() hsshape.Set {
	s := make(hsshape.Set, 0, m.Count())
	for m != 0 {
		i := bits.TrailingZeros64(uint64(m))
		s = append(s, hsid.AcceleratorIndex(i))
		m &^= 1 << i
	}
	return s
}

// Lowest returns the n lowest positions of the mask, or all of them when it has fewer.
func (m Mask) Lowest(n hsid.Accelerators) Mask {
	var low Mask
	for ; n > 0 && m != 0; n-- {
		bit := m & -m
		low |= bit
		m &^= bit
	}
	return low
}
