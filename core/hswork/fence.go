package hswork

import "hyssopseam/core/hsid"

const (
	// epochBits is the number of low bits of a Fence that hold the epoch.
	epochBits = 20
	maxEpoch  = 1<<epochBits - 1
)

// Fence orders the calls to an endpoint: the endpoint ignores a call whose fence is lower than one that it has seen. A
// fence consists of the term of the leader and of an epoch, which the leader raises for a worker whenever it gives up a
// run there. A start that is still under way then can't begin any more once a newer call has arrived.
type Fence uint64

// NewFence returns the fence of an epoch in a term. An epoch above the highest one that fits is replaced by that one.
func NewFence(t hsid.Term, epoch uint64) Fence {
	return Fence(uint64(t)<<epochBits | min(epoch, maxEpoch))
}

// EpochIn returns the lowest epoch with which a fence of the given term is at least f.
func (f Fence) EpochIn(t hsid.Term) uint64 {
	first := NewFence(t, 0)
	if f <= first {
		return 0
	}
	return min(uint64(f-first), maxEpoch)
}
