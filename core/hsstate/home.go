package hsstate

import (
	"hyssopseam/core/hsid"
	"hyssopseam/core/hsshape"
)

// HomePart is the part of a home on one worker.
type HomePart struct {
	Worker       hsid.InstanceID
	Accelerators hsshape.Set
}

// Home is the set of adjacent accelerators that backs one guarantee. Without parts the guarantee is
// unbacked and Reason says why.
type Home struct {
	Workspace hsid.WorkspaceID
	Shape     hsshape.Shape
	Parts     []HomePart
	Reason    string
}

// Holds reports whether the home includes an accelerator of a worker.
func (h *Home) Holds(w hsid.InstanceID, x hsid.AcceleratorIndex) bool {
	for _, p := range h.Parts {
		if p.Worker == w && p.Accelerators.Contains(x) {
			return true
		}
	}
	return false
}
