package hsquorum

import (
	"fmt"
	"slices"
	"time"

	"hyssopseam/core/hsid"
	"hyssopseam/core/hsstate"
)

// entryLog holds the entries after baseIndex. The entries up to it were compacted away; a snapshot covers them.
type entryLog struct {
	baseIndex hsid.LogIndex
	baseTerm  hsid.Term
	baseClock time.Duration
	entries   []hsstate.Entry
	// sizes holds the size of each of the entries.
	sizes []hsid.Bytes
}

// reset replaces the log by an empty one after the entry at index, with that entry's term and cluster time.
func (l *entryLog) reset(index hsid.LogIndex, term hsid.Term, clock time.Duration) {
	l.baseIndex = index
	l.baseTerm = term
	l.baseClock = clock
	l.entries = nil
	l.sizes = nil
}

func (l *entryLog) lastIndex() hsid.LogIndex {
	return l.baseIndex + hsid.LogIndex(len(l.entries))
}

func (l *entryLog) lastTerm() hsid.Term {
	t, _ := l.term(l.lastIndex())
	return t
}

// lastClock returns the cluster time of the last entry.
func (l *entryLog) lastClock() time.Duration {
	if len(l.entries) == 0 {
		return l.baseClock
	}
	return l.entries[len(l.entries)-1].Clock
}

// term returns the term of an entry, and false when the log doesn't hold it.
func (l *entryLog) term(i hsid.LogIndex) (hsid.Term, bool) {
	if i == l.baseIndex {
		return l.baseTerm, true
	}
	if i < l.baseIndex || i > l.lastIndex() {
		return 0, false
	}
	return l.entry(i).Term, true
}

func (l *entryLog) entry(i hsid.LogIndex) *hsstate.Entry {
	return &l.entries[i-l.baseIndex-1]
}

// size returns the size of the entry at an index, with entryOverhead.
func (l *entryLog) size(i hsid.LogIndex) hsid.Bytes { return l.sizes[i-l.baseIndex-1] }

// entryOverhead is added to the encoded size of an entry, for what it takes in memory and in a message besides.
const entryOverhead hsid.Bytes = 256

// maxBatchBytes limits the size of the entries in one message or save, so that it fits into a frame. A single larger entry is
// sent on its own; see Config.MaxEntryBytes.
const maxBatchBytes = 2 * hsid.MiB

// entriesFrom returns at most limit entries from index i on, within maxBatchBytes, but at least one if there is one.
func (l *entryLog) entriesFrom(i hsid.LogIndex, limit int) []hsstate.Entry {
	tail := l.entries[i-l.baseIndex-1:]
	n := 0
	var size hsid.Bytes
	for n < len(tail) && n < limit {
		size += l.size(tail[n].Index)
		if n > 0 && size > maxBatchBytes {
			break
		}
		n++
	}
	return tail[:n:n]
}

// allEntries returns every entry after baseIndex.
func (l *entryLog) allEntries() []hsstate.Entry {
	return l.entries[:len(l.entries):len(l.entries)]
}

// truncateFrom drops the entries from index i on. Slices returned earlier stay unchanged.
func (l *entryLog) truncateFrom(i hsid.LogIndex) {
	kept := i - l.baseIndex - 1
	l.entries = l.entries[:kept:kept]
	l.sizes = l.sizes[:kept]
}

// compact drops the entries up to and including index i.
func (l *entryLog) compact(i hsid.LogIndex) {
	e := l.entry(i)
	term, clock := e.Term, e.Clock
	rest, sizes := slices.Clone(l.entries[i-l.baseIndex:]), slices.Clone(l.sizes[i-l.baseIndex:])
	l.reset(i, term, clock)
	l.entries, l.sizes = rest, sizes
}

// entrySize returns the size of an entry, with entryOverhead.
func (r *Replica) entrySize(e *hsstate.Entry) hsid.Bytes {
	return entryOverhead + r.ports.Sizer.EntrySize(e)
}

// appendEntry appends an entry to the log. A configuration change takes effect as soon as it is appended.
func (r *Replica) appendEntry(e hsstate.Entry) { r.appendSizedEntry(e, r.entrySize(&e)) }

func (r *Replica) appendSizedEntry(e hsstate.Entry, size hsid.Bytes) {
	r.log.entries = append(r.log.entries, e)
	r.log.sizes = append(r.log.sizes, size)
	if m := e.Command.Members; m != nil {
		r.setMembers(m.Cluster, m.Members, e.Index)
	}
}

// truncateLog drops the entries from index i on. If a configuration change is among them, the previous configuration
// takes effect again.
func (r *Replica) truncateLog(i hsid.LogIndex) {
	r.log.truncateFrom(i)
	r.disk.truncateFrom(i)
	if r.configIndex < i {
		return
	}
	for k := len(r.log.entries) - 1; k >= 0; k-- {
		e := &r.log.entries[k]
		if m := e.Command.Members; m != nil {
			r.setMembers(m.Cluster, m.Members, e.Index)
			return
		}
	}
	r.setMembers(r.snapshot.Cluster, r.snapshot.Members, r.snapshot.Index)
}

// appendCommand appends a command to the leader's own log, in its term, and returns its index. It returns an ErrTooLarge, and
// appends nothing, when the entry exceeds Config.MaxEntryBytes.
func (r *Replica) appendCommand(c hsstate.Command) (hsid.LogIndex, error) {
	e := hsstate.Entry{
		Index:   r.log.lastIndex() + 1,
		Term:    r.hardState.Term,
		Clock:   max(r.Clock(), r.log.lastClock()),
		Command: c,
	}
	size := r.entrySize(&e)
	if size > r.config.MaxEntryBytes {
		return 0, fmt.Errorf("%w: an entry of %d bytes, the limit is %d", ErrTooLarge, size, r.config.MaxEntryBytes)
	}
	r.appendSizedEntry(e, size)
	return e.Index, nil
}

// applyCommitted applies the entries that are committed and on the local disk, then compacts the log if that is due.
func (r *Replica) applyCommitted() {
	for r.appliedIndex < min(r.commitIndex, r.disk.syncedIndex) {
		r.appliedIndex++
		e := r.log.entry(r.appliedIndex)
		r.bytesSinceSnapshot += r.log.size(r.appliedIndex)
		r.ports.StateMachine.Apply(*e)
	}
	r.compactLog()
	r.stepDownIfRemoved()
}

// stepDownIfRemoved transfers leadership, or else just steps down, once a committed configuration change has removed
// this leader from the voters.
func (r *Replica) stepDownIfRemoved() {
	if r.role != Leader || r.MembershipChangePending() || r.isVoter() {
		return
	}
	if !r.TransferLeadership() {
		r.becomeFollower(r.hardState.Term, 0, "")
	}
}
