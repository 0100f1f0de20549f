// Package hsholder implements the client side of a rules lease, for an entry or an agent. A runner uses it to find
// the leader.
//
// A Holder finds the leader through any control replica, renews its lease there, and adopts newer rules. A lease
// counts from when the request that it answers was sent. A Holder never returns to an older rule number and
// ignores a leader of an older term.
//
// A Holder isn't safe for concurrent use.
//
// # Usage
//
//	renewal := h.Renew(hsmessage.RoleEntry)
//	sender.Send(h.Target(), renewal)
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
	// silentIntervals is the number of renewal intervals without an answer after which the holder turns to another
	// control replica.
	silentIntervals = 2
	// DefaultPatience is how long an answer may take before the holder asks all control replicas. It is many times
	// the round trip between availability zones, and less than an election takes.
	DefaultPatience = 300 * time.Millisecond
	// unreachableFor is how long redirects to a replica that couldn't be reached are ignored: the longest time that
	// an election takes.
	unreachableFor = time.Second
	// maxSentRenewals is the number of renewals whose send times are kept.
	maxSentRenewals = 100
)

// Clock returns the current time of a monotonic clock.
type Clock interface {
	Now() time.Time
}

// Config identifies a holder and lists the control replicas.
type Config struct {
	Instance    hsid.InstanceID
	Incarnation hsid.Incarnation
	// Controls are the addresses of the control replicas; at least one is required.
	Controls []hsstate.Peer
	// Interval is the time between two renewals.
	Interval time.Duration
	// Patience is how long an answer may take before all control replicas are asked; zero for DefaultPatience.
	Patience time.Duration
}

// Holder holds the rules lease for one role of a process.
type Holder struct {
	config Config
	clock  Clock

	// controlIndex counts the turns to another control replica. Modulo the length of Controls it selects the replica
	// to ask while the leader is unknown.
	controlIndex int
	leader       hsstate.Peer
	// askedAt is when the holder turned to the replica that it asks now, other than by a redirect or a lease.
	askedAt time.Time

	term        hsid.Term
	rules       hsstate.RuleSet
	validUntil  time.Time
	lastContact time.Time
	sequence    hsid.Sequence
	sentAt      map[hsid.Sequence]time.Time
	// unreachablePeer is the replica that most recently couldn't be reached, and unreachableSince when that was
	// noticed.
	unreachablePeer  hsstate.Peer
	unreachableSince time.Time
	// waitingSince is when the oldest renewal since the last answer was made; zero when none is unanswered.
	waitingSince time.Time
}

// New returns a holder that has no lease and doesn't know the leader.
func New(c Config, clock Clock) *Holder {
	now := clock.Now()
	if c.Patience == 0 {
		c.Patience = DefaultPatience
	}
	return &Holder{config: c, clock: clock, lastContact: now, askedAt: now, sentAt: map[hsid.Sequence]time.Time{}}
}

// Rules returns the newest rules that the holder knows. They may be applied only while Valid returns true.
func (h *Holder) Rules() *hsstate.RuleSet { return &h.rules }

// Valid reports whether the rules lease is valid now.
func (h *Holder) Valid() bool { return h.clock.Now().Before(h.validUntil) }

// Term returns the newest term of a leader that sent a lease; zero before the first.
func (h *Holder) Term() hsid.Term { return h.term }

// Contact returns the send time of the newest renewal that was answered; before the first answer, the time at which
// the holder was created.
func (h *Holder) Contact() time.Time { return h.lastContact }

// Leader returns the address of the replica that the holder believes to be the leader; empty when unknown.
func (h *Holder) Leader() hsstate.Peer { return h.leader }

// Target returns the control replica to ask next: the leader, or one of the known replicas in turn while the
// leader is unknown.
func (h *Holder) Target() hsstate.Peer {
	if h.leader != "" {
		return h.leader
	}
	return h.config.Controls[h.controlIndex%len(h.config.Controls)]
}

// Targets returns the control replicas to ask next: Target alone, or all of them while an answer is late. Asking all
// finds a new leader as soon as one is elected, whatever the other replicas believe.
func (h *Holder) Targets() []hsstate.Peer {
	if !h.answerLate() {
		return []hsstate.Peer{h.Target()}
	}
	targets := slices.Clone(h.config.Controls)
	if t := h.Target(); !slices.Contains(targets, t) {
		targets = append(targets, t)
	}
	return targets
}

// answerLate reports whether a renewal has been unanswered for longer than Patience.
func (h *Holder) answerLate() bool {
	return !h.waitingSince.IsZero() && h.clock.Now().Sub(h.waitingSince) >= h.config.Patience
}

// LateAt returns the time at which the pending answer will be late. It returns false when no answer is pending or it
// is late already.
func (h *Holder) LateAt() (time.Time, bool) {
	if h.waitingSince.IsZero() || h.answerLate() {
		return time.Time{}, false
	}
	return h.waitingSince.Add(h.config.Patience), true
}

// SetControls replaces the addresses of the control replicas. An empty list changes nothing.
func (h *Holder) SetControls(controls []hsstate.Peer) {
	if len(controls) > 0 {
		h.config.Controls = controls
	}
}

// Renew returns the next renewal request and records the current time as its send time.
func (h *Holder) Renew(role hsmessage.Role) hsmessage.Renewal {
	h.sequence++
	h.sentAt[h.sequence] = h.clock.Now()
	if h.waitingSince.IsZero() {
		h.waitingSince = h.clock.Now()
	}
	delete(h.sentAt, h.sequence-maxSentRenewals)
	return hsmessage.Renewal{
		Instance:    h.config.Instance,
		Incarnation: h.config.Incarnation,
		Role:        role,
		Sequence:    h.sequence,
		Rules:       h.rules.Number,
	}
}

// Take handles a lease from a leader and reports whether the rules changed. A lease of an older term is ignored. One
// that answers no known renewal can update the rules but doesn't extend the lease.
func (h *Holder) Take(from hsstate.Peer, m hsmessage.Lease) bool {
	if m.Term < h.term {
		return false
	}
	h.term = m.Term
	h.leader = from
	h.waitingSince = time.Time{}
	h.SetControls(m.Controls)
	changed := m.Rules != nil && m.Rules.Number > h.rules.Number
	if changed {
		h.rules = *m.Rules
	}
	if sent, ok := h.sentAt[m.Sequence]; ok && m.Number == h.rules.Number {
		h.extend(sent, m)
	}
	return changed
}

// extend moves the end of the lease, which never gets earlier, and drops the send times up to the answered renewal.
func (h *Holder) extend(sent time.Time, m hsmessage.Lease) {
	if sent.After(h.lastContact) {
		h.lastContact = sent
	}
	if until := sent.Add(m.Duration); until.After(h.validUntil) {
		h.validUntil = until
	}
	for s := range h.sentAt {
		if s <= m.Sequence {
			delete(h.sentAt, s)
		}
	}
}

// Turn handles a redirect from the replica that is asked: it follows the hint about the leader, or turns to the next
// replica when the hint is empty, names the sender, or names a replica that recently couldn't be reached. Redirects
// from other replicas are ignored. It reports whether the target changed.
func (h *Holder) Turn(from, leader hsstate.Peer) bool {
	if from != h.Target() {
		return false
	}
	if leader != "" && leader != from && !h.recentlyUnreachable(leader) {
		h.leader = leader
		return true
	}
	return h.turnToNext()
}

// recentlyUnreachable reports whether a replica couldn't be reached within the last unreachableFor. The other replicas
// may still name it as the leader until they have elected the next one.
func (h *Holder) recentlyUnreachable(peer hsstate.Peer) bool {
	return peer == h.unreachablePeer && h.clock.Now().Sub(h.unreachableSince) < unreachableFor
}

// Lost handles the notice that a control replica can't be reached, and turns to the next one if it is the target. It
// reports whether the target changed.
func (h *Holder) Lost(peer hsstate.Peer) bool {
	h.unreachablePeer = peer
	h.unreachableSince = h.clock.Now()
	if peer != h.Target() {
		return false
	}
	return h.turnToNext()
}

// turnToNext forgets the leader, selects the next control replica and reports whether there is more than one.
func (h *Holder) turnToNext() bool {
	h.leader = ""
	h.controlIndex++
	h.askedAt = h.clock.Now()
	return len(h.config.Controls) > 1
}

// Check turns to the next control replica when the current one has been silent for silentIntervals.
func (h *Holder) Check() {
	now := h.clock.Now()
	timeout := silentIntervals * h.config.Interval
	if now.Sub(h.lastContact) >= timeout && now.Sub(h.askedAt) >= timeout {
		h.turnToNext()
	}
}
