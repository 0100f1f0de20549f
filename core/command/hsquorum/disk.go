package hsquorum

import (
	"time"

	"hyssopseam/core/hsid"
	"hyssopseam/core/hsmessage"
	"hyssopseam/core/hsstate"
)

// diskState tracks what is on the disk and what waits for it. At most one save is under way, so that
// one sync covers all that came meanwhile.
type diskState struct {
	number hsid.Sequence
	busy   bool
	// began is when the save under way was handed over.
	began     time.Time
	dirtyHard bool
	// saved is the last index handed to a save, synced the last one known to be on the disk.
	saved  hsid.LogIndex
	synced hsid.LogIndex
	// flying is the last index that the save under way brings.
	flying  hsid.LogIndex
	pending *Snapshot
	waiting []heldMessage
}

// heldMessage is sent once the hard state that it speaks of is synced.
type heldMessage struct {
	to      hsstate.Peer
	after   hsid.Sequence
	message hsmessage.Message
}

// stuckElections is how many election timeouts a save may take before the disk counts as stuck.
const stuckElections = 2

// diskStuck reports whether the save under way takes so long that this replica had better not lead: its disk is
// full, or answers nothing.
func (r *Replica) diskStuck() bool {
	return r.disk.busy && r.ports.Clock.Now().Sub(r.disk.began) > stuckElections*r.config.Election
}

func (d *diskState) truncated(i hsid.LogIndex) {
	d.saved = min(d.saved, i-1)
	d.synced = min(d.synced, i-1)
	d.flying = min(d.flying, i-1)
}

// hold sends a message after the hard state as it is now is synced.
func (r *Replica) hold(to hsstate.Peer, m hsmessage.Message) {
	switch {
	case r.disk.dirtyHard:
		r.disk.waiting = append(r.disk.waiting, heldMessage{to: to, after: r.disk.number + 1, message: m})
	case r.disk.busy:
		r.disk.waiting = append(r.disk.waiting, heldMessage{to: to, after: r.disk.number, message: m})
	default:
		r.send(to, m)
	}
}

func (r *Replica) startSave() {
	fresh := r.disk.saved < r.log.last()
	if r.disk.busy || !(fresh || r.disk.dirtyHard || r.disk.pending != nil) {
		return
	}
	s := Save{Hard: r.hard, Snapshot: r.disk.pending}
	switch {
	case s.Snapshot != nil:
		s.Entries = r.log.all()
		r.disk.saved = r.log.last()
	case fresh:
		s.Entries = r.log.from(r.disk.saved+1, r.config.MaxBatch)
		r.disk.saved += hsid.LogIndex(len(s.Entries))
	}
	r.disk.pending = nil
	r.disk.dirtyHard = false
	r.disk.busy = true
	r.disk.began = r.ports.Clock.Now()
	r.disk.flying = r.disk.saved
	r.disk.number++
	s.Number = r.disk.number
	r.ports.Storage.Save(s)
}

// Synced tells that the save with this number is on the disk.
func (r *Replica) Synced(n hsid.Sequence) {
	if n != r.disk.number || !r.disk.busy {
		return
	}
	r.disk.busy = false
	r.disk.synced = max(r.disk.synced, r.disk.flying)
	r.releaseHeld(n)
	if r.role == Leader {
		r.advanceCommit()
	} else {
		r.acknowledge()
	}
	r.applyCommitted()
	r.startSave()
}

func (r *Replica) releaseHeld(n hsid.Sequence) {
	var rest []heldMessage
	for _, h := range r.disk.waiting {
		if h.after <= n {
			r.send(h.to, h.message)
			continue
		}
		rest = append(rest, h)
	}
	r.disk.waiting = rest
	if r.role == Candidate && !r.preVote && !r.disk.dirtyHard {
		r.countVote(r.config.ID)
	}
}
