package hsquorum

import (
	"time"

	"hyssopseam/core/hsid"
	"hyssopseam/core/hsstate"
)

// entryLog holds the entries after a base, which is the last one covered by a snapshot.
type entryLog struct {
	base      hsid.LogIndex
	baseTerm  hsid.Term
	baseClock time.Duration
	entries   []hsstate.Entry
}

func (l *entryLog) reset(index hsid.LogIndex, term hsid.Term, clock time.Duration) {
	l.base = index
	l.baseTerm = term
	l.baseClock = clock
	l.entries = nil
}

func (l *entryLog) last() hsid.LogIndex {
	return l.base + hsid.LogIndex(len(l.entries))
}

func (l *entryLog) lastTerm() hsid.Term {
	t, _ := l.term(l.last())
	return t
}

func (l *entryLog) clock() time.Duration {
	if len(l.entries) == 0 {
		return l.baseClock
	}
	return l.entries[len(l.entries)-1].Clock
}

// term returns the term of an entry, and false when the log doesn't hold it.
func (l *entryLog) term(i hsid.LogIndex) (hsid.Term, bool) {
	if i == l.base {
		return l.baseTerm, true
	}
	if i < l.base || i > l.last() {
		return 0, false
	}
	return l.at(i).Term, true
}

func (l *entryLog) at(i hsid.LogIndex) *hsstate.Entry {
	return &l.entries[i-l.base-1]
}

// maxBatchBytes bounds the contents of one message or save, so that it fits into a frame. A single
// larger entry goes alone.
const maxBatchBytes = 2 * hsid.MiB

// from returns at most most entries from index i on, within maxBatchBytes.
func (l *entryLog) from(i hsid.LogIndex, most int) []hsstate.Entry {
	tail := l.entries[i-l.base-1:]
	n := 0
	var size hsid.Bytes
	for n < len(tail) && n < most {
		size += weight(&tail[n].Command)
		if n > 0 && size > maxBatchBytes {
			break
		}
		n++
	}
	return tail[:n:n]
}

// all returns every entry after the base.
func (l *entryLog) all() []hsstate.Entry {
	return l.entries[:len(l.entries):len(l.entries)]
}

// weight estimates the size of a command when it is sent.
func weight(c *hsstate.Command) hsid.Bytes {
	size := 256
	switch {
	case c.Rules != nil:
		size += 2 * len(c.Rules.Content)
	case c.Submit != nil:
		size += len(c.Submit.Spec.Input)
	case c.Finish != nil:
		size += len(c.Finish.Answer)
	case c.Cancel != nil:
		size += 64 * len(c.Cancel.Jobs)
	case c.Start != nil:
		size += 512 * len(c.Start.Members)
	}
	return hsid.Bytes(size)
}

// cut drops the entries from index i on. Slices handed out before stay as they are.
func (l *entryLog) cut(i hsid.LogIndex) {
	keep := i - l.base - 1
	l.entries = l.entries[:keep:keep]
}

// compact drops the entries up to index i.
func (l *entryLog) compact(i hsid.LogIndex) {
	e := l.at(i)
	term, clock := e.Term, e.Clock
	rest := append([]hsstate.Entry(nil), l.entries[i-l.base:]...)
	l.reset(i, term, clock)
	l.entries = rest
}

// appendEntry appends to the log and takes over the members that the entry carries.
func (r *Replica) appendEntry(e hsstate.Entry) {
	r.log.entries = append(r.log.entries, e)
	if m := e.Command.Members; m != nil {
		r.useMembers(m.Cluster, m.Members, e.Index)
	}
}

// truncate drops the entries from index i on, and the members that they brought.
func (r *Replica) truncate(i hsid.LogIndex) {
	r.log.cut(i)
	r.disk.truncated(i)
	if r.configIndex < i {
		return
	}
	for k := len(r.log.entries) - 1; k >= 0; k-- {
		e := &r.log.entries[k]
		if m := e.Command.Members; m != nil {
			r.useMembers(m.Cluster, m.Members, e.Index)
			return
		}
	}
	r.useMembers(r.snapshot.Cluster, r.snapshot.Members, r.snapshot.Index)
}

func (r *Replica) appendOwn(c hsstate.Command) hsid.LogIndex {
	e := hsstate.Entry{
		Index:   r.log.last() + 1,
		Term:    r.hard.Term,
		Clock:   max(r.Clock(), r.log.clock()),
		Command: c,
	}
	r.appendEntry(e)
	return e.Index
}

// applyCommitted applies what is committed and synced here.
func (r *Replica) applyCommitted() {
	for r.applied < min(r.commit, r.disk.synced) {
		r.applied++
		e := r.log.at(r.applied)
		r.appliedBytes += e.Command.Size()
		r.ports.Machine.Apply(*e)
	}
	r.compactLog()
	r.leaveIfRemoved()
}

// leaveIfRemoved hands over once a committed change has taken this leader out of the voters.
func (r *Replica) leaveIfRemoved() {
	if r.role != Leader || r.Changing() || r.isVoter() {
		return
	}
	if !r.HandOver() {
		r.becomeFollower(r.hard.Term, 0, "")
	}
}
