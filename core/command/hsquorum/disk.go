package hsquorum

import (
	"time"

	"hyssopseam/core/hsid"
	"hyssopseam/core/hsmessage"
	"hyssopseam/core/hsstate"
)

// diskState tracks which state is durable and which messages wait for a save. At most one save is in flight;
// whatever changes meanwhile goes into the next one, so that one sync covers all of it.
type diskState struct {
	// saveNumber is the number of the latest save.
	saveNumber   hsid.Sequence
	saveInFlight bool
	// saveStartedAt is when the save in flight was handed to the storage.
	saveStartedAt  time.Time
	hardStateDirty bool
	// submittedIndex is the last index handed to the storage, syncedIndex the last one known to be durable.
	submittedIndex hsid.LogIndex
	syncedIndex    hsid.LogIndex
	// inFlightIndex is the last index that will be durable once the save in flight is.
	inFlightIndex   hsid.LogIndex
	pendingSnapshot *Snapshot
	heldMessages    []heldMessage
}

// heldMessage is a message that is sent once the hard state that it depends on is durable.
type heldMessage struct {
	to        hsstate.Peer
	afterSave hsid.Sequence
	message   hsmessage.Message
}

// stuckElectionTimeouts is how many minimum election timeouts a save may take before the disk counts as stuck.
const stuckElectionTimeouts = 2

// diskStuck reports whether the save in flight takes so long that this replica shouldn't lead, because its disk is
// full or doesn't respond.
func (r *Replica) diskStuck() bool {
	return r.disk.saveInFlight && r.ports.Clock.Now().Sub(r.disk.saveStartedAt) > stuckElectionTimeouts*r.config.ElectionTimeout
}

// truncateFrom records that the log was truncated from index i on.
func (d *diskState) truncateFrom(i hsid.LogIndex) {
	d.submittedIndex = min(d.submittedIndex, i-1)
	d.syncedIndex = min(d.syncedIndex, i-1)
	d.inFlightIndex = min(d.inFlightIndex, i-1)
}

// sendAfterSync sends a message once the current hard state is durable: at once when it already is.
func (r *Replica) sendAfterSync(to hsstate.Peer, m hsmessage.Message) {
	switch {
	case r.disk.hardStateDirty:
		r.disk.heldMessages = append(r.disk.heldMessages, heldMessage{to: to, afterSave: r.disk.saveNumber + 1, message: m})
	case r.disk.saveInFlight:
		r.disk.heldMessages = append(r.disk.heldMessages, heldMessage{to: to, afterSave: r.disk.saveNumber, message: m})
	default:
		r.send(to, m)
	}
}

// startSave hands unsaved state to the storage, unless a save is in flight. A pending snapshot is saved with the
// whole log; otherwise at most MaxBatch entries are saved.
func (r *Replica) startSave() {
	hasUnsaved := r.disk.submittedIndex < r.log.lastIndex()
	if r.disk.saveInFlight || !(hasUnsaved || r.disk.hardStateDirty || r.disk.pendingSnapshot != nil) {
		return
	}
	s := Save{HardState: r.hardState, Snapshot: r.disk.pendingSnapshot}
	switch {
	case s.Snapshot != nil:
		s.Entries = r.log.allEntries()
		r.disk.submittedIndex = r.log.lastIndex()
	case hasUnsaved:
		s.Entries = r.log.entriesFrom(r.disk.submittedIndex+1, r.config.MaxBatch)
		r.disk.submittedIndex += hsid.LogIndex(len(s.Entries))
	}
	r.disk.pendingSnapshot = nil
	r.disk.hardStateDirty = false
	r.disk.saveInFlight = true
	r.disk.saveStartedAt = r.ports.Clock.Now()
	r.disk.inFlightIndex = r.disk.submittedIndex
	r.disk.saveNumber++
	s.Number = r.disk.saveNumber
	r.ports.Storage.Save(s)
}

// SaveCompleted reports that the save with this number is durable. It ignores any number but that of the save in
// flight.
func (r *Replica) SaveCompleted(n hsid.Sequence) {
	if n != r.disk.saveNumber || !r.disk.saveInFlight {
		return
	}
	r.disk.saveInFlight = false
	r.disk.syncedIndex = max(r.disk.syncedIndex, r.disk.inFlightIndex)
	r.sendHeldMessages(n)
	if r.role == Leader {
		r.advanceCommit()
	} else {
		r.acknowledge()
	}
	r.applyCommitted()
	r.startSave()
}

// sendHeldMessages sends the messages that waited for save n. A candidate whose term and vote are durable then
// counts its own vote.
func (r *Replica) sendHeldMessages(n hsid.Sequence) {
	var rest []heldMessage
	for _, h := range r.disk.heldMessages {
		if h.afterSave <= n {
			r.send(h.to, h.message)
			continue
		}
		rest = append(rest, h)
	}
	r.disk.heldMessages = rest
	if r.role == Candidate && !r.preVote && !r.disk.hardStateDirty {
		r.countVote(r.config.ID)
	}
}
