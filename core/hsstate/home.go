package hsstate

import (
	"hyssopseam/core/hsid"
	"hyssopseam/core/hsshape"
)

// HomePart is the part of a Home on one worker.
type HomePart struct {
	Worker       hsid.InstanceID
	Accelerators hsshape.Set
}

// Home is the set of adjacent accelerators that backs the guarantee of a Shape to a Workspace. Without Parts the
// guarantee is unbacked, and Reason says why.
type Home struct {
	Workspace hsid.WorkspaceID
	Shape     hsshape.Shape
	Parts     []HomePart
	Reason    string
}

// Holds reports whether accelerator x of worker w belongs to the home.
func (h *Home) Holds(w hsid.InstanceID, x hsid.AcceleratorIndex) bool {
	for _, p := range h.Parts {
		if p.Worker == w && p.Accelerators.Contains(x) {
			return true
		}
	}
	return false
}
