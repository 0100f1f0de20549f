package hsquorum

import "hyssopseam/core/hsid"

// Unanswered returns the number of rounds without a reply that a leader remembers of a replica.
func (r *Replica) Unanswered(id hsid.ReplicaID) int { return len(r.peers[id].unanswered) }
