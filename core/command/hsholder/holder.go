// Package hsholder is the side of a rules lease that holds it: an entry or an agent.
//
// A Holder finds the leader through any control replica, renews its lease there, and takes over newer
// rules. It counts every lease from when it sent the request that was answered. It never goes back to
// an older rule number, nor follows a leader of an older term.
//
// A Holder isn't safe for concurrent use.
//
// # Usage
//
//	renew := h.Renew(hsmessage.RoleEntry)
//	sender.Send(h.Target(), renew)
//	h.Take(peer, lease)
//	if h.Valid() {
//		number := h.Rules().Number
//	}
package hsholder

import (
	"slices"
	"time"

	"hyssopseam/core/hsid"
	"hyssopseam/core/hsmessage"
	"hyssopseam/core/hsstate"
)

const (
	// silentIntervals is the number of intervals without an answer after which another control replica
	// is asked.
	silentIntervals = 2
	// DefaultPatience is how long an answer may take before the holder asks all control replicas: many times what
	// one takes between availability zones, and less than an election.
	DefaultPatience = 300 * time.Millisecond
	// lostFor is how long a replica that couldn't be reached isn't taken for the leader on the word of others: an
	// election at its longest.
	lostFor = time.Second
	// maxSent bounds the renewals whose send times are remembered.
	maxSent = 100
)

// Clock tells the time on a clock that only goes forward.
type Clock interface {
	Now() time.Time
}

// Config names the holder and the control replicas. Interval is the time between two renewals.
type Config struct {
	Instance    hsid.InstanceID
	Incarnation hsid.Incarnation
	Controls    []hsstate.Peer
	Interval    time.Duration
	// Patience is how long an answer may take; zero for DefaultPatience.
	Patience time.Duration
}

// Holder holds the rules lease of one role of a process.
type Holder struct {
	config Config
	clock  Clock

	control int
	leader  hsstate.Peer
	// askedAt is when the holder turned to the replica that it asks now.
	askedAt time.Time

	term     hsid.Term
	rules    hsstate.RuleSet
	until    time.Time
	contact  time.Time
	sequence hsid.Sequence
	sent     map[hsid.Sequence]time.Time
	// lost is the replica that couldn't be reached last, and lostAt when that was.
	lost   hsstate.Peer
	lostAt time.Time
	// waiting is when the oldest renewal since the last answer was made; zero when none waits.
	waiting time.Time
}

// New returns a holder without a lease.
func New(c Config, clock Clock) *Holder {
	now := clock.Now()
	if c.Patience == 0 {
		c.Patience = DefaultPatience
	}
	return &Holder{config: c, clock: clock, contact: now, askedAt: now, sent: map[hsid.Sequence]time.Time{}}
}

// Rules returns the newest rules that the holder knows. They are acted on only while Valid.
func (h *Holder) Rules() *hsstate.RuleSet { return &h.rules }

// Valid reports whether the lease lasts.
func (h *Holder) Valid() bool { return h.clock.Now().Before(h.until) }

// Term returns the newest term of a leader that answered.
func (h *Holder) Term() hsid.Term { return h.term }

// Contact returns when the newest answered renewal was sent; before the first, when the holder started.
func (h *Holder) Contact() time.Time { return h.contact }

// Leader returns where the leader is taken to be; empty when unknown.
func (h *Holder) Leader() hsstate.Peer { return h.leader }

// Target returns the control replica that is asked next.
func (h *Holder) Target() hsstate.Peer {
	if h.leader != "" {
		return h.leader
	}
	return h.config.Controls[h.control%len(h.config.Controls)]
}

// Targets returns the control replicas that are asked next: the one that leads, or all when it doesn't answer.
// The next leader is found as soon as there is one, whatever the others believe.
func (h *Holder) Targets() []hsstate.Peer {
	if !h.impatient() {
		return []hsstate.Peer{h.Target()}
	}
	targets := slices.Clone(h.config.Controls)
	if t := h.Target(); !slices.Contains(targets, t) {
		targets = append(targets, t)
	}
	return targets
}

// impatient reports whether an answer is late.
func (h *Holder) impatient() bool {
	return !h.waiting.IsZero() && h.clock.Now().Sub(h.waiting) >= h.config.Patience
}

// LateAt returns when the answer that is waited for is late; false when none is waited for.
func (h *Holder) LateAt() (time.Time, bool) {
	if h.waiting.IsZero() || h.impatient() {
		return time.Time{}, false
	}
	return h.waiting.Add(h.config.Patience), true
}

// Learn replaces the control replicas that are known. An empty list changes nothing.
func (h *Holder) Learn(controls []hsstate.Peer) {
	if len(controls) > 0 {
		h.config.Controls = controls
	}
}

// Renew returns the next request for the lease, and notes when it was made.
func (h *Holder) Renew(role hsmessage.Role) hsmessage.Renew {
	h.sequence++
	h.sent[h.sequence] = h.clock.Now()
	if h.waiting.IsZero() {
		h.waiting = h.clock.Now()
	}
	delete(h.sent, h.sequence-maxSent)
	return hsmessage.Renew{
		Instance:    h.config.Instance,
		Incarnation: h.config.Incarnation,
		Role:        role,
		Sequence:    h.sequence,
		Rules:       h.rules.Number,
	}
}

// Take takes a lease. It reports whether the rules changed. A lease of an older term is ignored; one
// that answers no renewal brings rules, but no time.
func (h *Holder) Take(from hsstate.Peer, m hsmessage.Lease) bool {
	if m.Term < h.term {
		return false
	}
	h.term = m.Term
	h.leader = from
	h.waiting = time.Time{}
	h.Learn(m.Controls)
	changed := m.Rules != nil && m.Rules.Number > h.rules.Number
	if changed {
		h.rules = *m.Rules
	}
	if sent, ok := h.sent[m.Sequence]; ok && m.Number == h.rules.Number {
		h.extend(sent, m)
	}
	return changed
}

func (h *Holder) extend(sent time.Time, m hsmessage.Lease) {
	if sent.After(h.contact) {
		h.contact = sent
	}
	if until := sent.Add(m.For); until.After(h.until) {
		h.until = until
	}
	for s := range h.sent {
		if s <= m.Sequence {
			delete(h.sent, s)
		}
	}
}

// Turn follows a hint about the leader from the replica that is asked, or tries the next replica when
// there is none. It reports whether the target changed.
func (h *Holder) Turn(from, leader hsstate.Peer) bool {
	if from != h.Target() {
		return false
	}
	if leader != "" && leader != from && !h.unreachable(leader) {
		h.leader = leader
		return true
	}
	return h.next()
}

// unreachable reports whether a replica couldn't be reached a short while ago. Others may name it for as long as
// they take to elect the next leader.
func (h *Holder) unreachable(peer hsstate.Peer) bool {
	return peer == h.lost && h.clock.Now().Sub(h.lostAt) < lostFor
}

// Lost takes the news that a control replica can't be reached. It reports whether the target changed.
func (h *Holder) Lost(peer hsstate.Peer) bool {
	h.lost = peer
	h.lostAt = h.clock.Now()
	if peer != h.Target() {
		return false
	}
	return h.next()
}

// next turns to the next control replica and reports whether there is another one.
func (h *Holder) next() bool {
	h.leader = ""
	h.control++
	h.askedAt = h.clock.Now()
	return len(h.config.Controls) > 1
}

// Check turns to the next control replica when this one stays silent.
func (h *Holder) Check() {
	now := h.clock.Now()
	patience := silentIntervals * h.config.Interval
	if now.Sub(h.contact) >= patience && now.Sub(h.askedAt) >= patience {
		h.next()
	}
}
