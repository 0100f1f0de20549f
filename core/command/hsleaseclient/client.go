// Package hsleaseclient implements the client side of a rules lease, for an entry or an agent. A runner uses it to
// find the leader.
//
// A Client finds the leader through any control replica, renews its lease there, and adopts newer rules. A lease
// counts from when the request that it answers was sent. A Client never returns to an older rule number and
// ignores a leader of an older term.
//
// A Client isn't safe for concurrent use.
//
// # Usage
//
//	renewal := c.Renew(hsmessage.RoleEntry)
//	sender.Send(c.Target(), renewal)
//	c.HandleLease(peer, lease)
//	if c.Valid() {
//		number := c.Rules().Number
//	}
package hsleaseclient

import (
	"slices"
	"time"

	"hyssopseam/core/hsid"
	"hyssopseam/core/hsmessage"
	"hyssopseam/core/hsstate"
)

const (
	// silentIntervals is the number of renewal intervals without an answer after which the client turns to another
	// control replica.
	silentIntervals = 2
	// DefaultAnswerTimeout is how long an answer may take before the client asks all control replicas. It is many times
	// the round trip between availability zones, and less than an election takes.
	DefaultAnswerTimeout = 300 * time.Millisecond
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

// Config identifies a client and lists the control replicas.
type Config struct {
	Instance    hsid.InstanceID
	Incarnation hsid.Incarnation
	// Controls are the addresses of the control replicas; at least one is required.
	Controls []hsstate.Peer
	// Interval is the time between two renewals.
	Interval time.Duration
	// AnswerTimeout is how long an answer may take before all control replicas are asked; zero for DefaultAnswerTimeout.
	AnswerTimeout time.Duration
}

// Client holds the rules lease for one role of a process.
type Client struct {
	config Config
	clock  Clock

	// controlIndex counts the turns to another control replica. Modulo the length of Controls it selects the replica
	// to ask while the leader is unknown.
	controlIndex int
	leader       hsstate.Peer
	// askedAt is when the client turned to the replica that it asks now, other than by a redirect or a lease.
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

// New returns a client that has no lease and doesn't know the leader.
func New(c Config, clock Clock) *Client {
	now := clock.Now()
	if c.AnswerTimeout == 0 {
		c.AnswerTimeout = DefaultAnswerTimeout
	}
	return &Client{config: c, clock: clock, lastContact: now, askedAt: now, sentAt: map[hsid.Sequence]time.Time{}}
}

// Rules returns the newest rules that the client knows. They may be applied only while Valid returns true.
func (c *Client) Rules() *hsstate.RuleSet { return &c.rules }

// Valid reports whether the rules lease is valid now.
func (c *Client) Valid() bool { return c.clock.Now().Before(c.validUntil) }

// Term returns the newest term of a leader that sent a lease; zero before the first.
func (c *Client) Term() hsid.Term { return c.term }

// LastContact returns the send time of the newest renewal that was answered; before the first answer, the time at
// which the client was created.
func (c *Client) LastContact() time.Time { return c.lastContact }

// Leader returns the address of the replica that the client believes to be the leader; empty when unknown.
func (c *Client) Leader() hsstate.Peer { return c.leader }

// Target returns the control replica to ask next: the leader, or one of the known replicas in turn while the
// leader is unknown.
func (c *Client) Target() hsstate.Peer {
	if c.leader != "" {
		return c.leader
	}
	return c.config.Controls[c.controlIndex%len(c.config.Controls)]
}

// Targets returns the control replicas to ask next: Target alone, or all of them while an answer is late. Asking all
// finds a new leader as soon as one is elected, whatever the other replicas believe.
func (c *Client) Targets() []hsstate.Peer {
	if !c.AnswerLate() {
		return []hsstate.Peer{c.Target()}
	}
	targets := slices.Clone(c.config.Controls)
	if t := c.Target(); !slices.Contains(targets, t) {
		targets = append(targets, t)
	}
	return targets
}

// AnswerLate reports whether a renewal has been unanswered for longer than Config.AnswerTimeout.
func (c *Client) AnswerLate() bool {
	return !c.waitingSince.IsZero() && c.clock.Now().Sub(c.waitingSince) >= c.config.AnswerTimeout
}

// AnswerDeadline returns the time at which the pending answer will be late. It returns false when no answer is
// pending or it is late already.
func (c *Client) AnswerDeadline() (time.Time, bool) {
	if c.waitingSince.IsZero() || c.AnswerLate() {
		return time.Time{}, false
	}
	return c.waitingSince.Add(c.config.AnswerTimeout), true
}

// SetControls replaces the addresses of the control replicas. An empty list changes nothing.
func (c *Client) SetControls(controls []hsstate.Peer) {
	if len(controls) > 0 {
		c.config.Controls = controls
	}
}

// Renew returns the next renewal request and records the current time as its send time.
func (c *Client) Renew(role hsmessage.Role) hsmessage.Renewal {
	c.sequence++
	c.sentAt[c.sequence] = c.clock.Now()
	if c.waitingSince.IsZero() {
		c.waitingSince = c.clock.Now()
	}
	delete(c.sentAt, c.sequence-maxSentRenewals)
	return hsmessage.Renewal{
		Instance:    c.config.Instance,
		Incarnation: c.config.Incarnation,
		Role:        role,
		Sequence:    c.sequence,
		Rules:       c.rules.Number,
	}
}

// HandleLease handles a lease from a leader and reports whether the rules changed. A lease of an older term is
// ignored. One that answers no known renewal can update the rules but doesn't extend the lease.
func (c *Client) HandleLease(from hsstate.Peer, m hsmessage.Lease) bool {
	if m.Term < c.term {
		return false
	}
	c.term = m.Term
	c.leader = from
	c.waitingSince = time.Time{}
	c.SetControls(m.Controls)
	changed := m.Rules != nil && m.Rules.Number > c.rules.Number
	if changed {
		c.rules = *m.Rules
	}
	if sent, ok := c.sentAt[m.Sequence]; ok && m.Number == c.rules.Number {
		c.extend(sent, m)
	}
	return changed
}

// extend moves the end of the lease, which never gets earlier, and drops the send times up to the answered renewal.
func (c *Client) extend(sent time.Time, m hsmessage.Lease) {
	if sent.After(c.lastContact) {
		c.lastContact = sent
	}
	if until := sent.Add(m.Duration); until.After(c.validUntil) {
		c.validUntil = until
	}
	for s := range c.sentAt {
		if s <= m.Sequence {
			delete(c.sentAt, s)
		}
	}
}

// FollowRedirect handles a redirect from the replica that is asked: it follows the hint about the leader, or turns to
// the next replica when the hint is empty, names the sender, or names a replica that recently couldn't be reached.
// Redirects from other replicas are ignored. It reports whether the target changed.
func (c *Client) FollowRedirect(from, leader hsstate.Peer) bool {
	if from != c.Target() {
		return false
	}
	if leader != "" && leader != from && !c.recentlyUnreachable(leader) {
		c.leader = leader
		return true
	}
	return c.tryNext()
}

// recentlyUnreachable reports whether a replica couldn't be reached within the last unreachableFor. The other
// replicas may still name it as the leader until they have elected the next one.
func (c *Client) recentlyUnreachable(peer hsstate.Peer) bool {
	return peer == c.unreachablePeer && c.clock.Now().Sub(c.unreachableSince) < unreachableFor
}

// PeerUnreachable handles the notice that a control replica can't be reached, and turns to the next one if it is the
// target. It reports whether the target changed.
func (c *Client) PeerUnreachable(peer hsstate.Peer) bool {
	c.unreachablePeer = peer
	c.unreachableSince = c.clock.Now()
	if peer != c.Target() {
		return false
	}
	return c.tryNext()
}

// tryNext forgets the leader, selects the next control replica and reports whether there is more than one.
func (c *Client) tryNext() bool {
	c.leader = ""
	c.controlIndex++
	c.askedAt = c.clock.Now()
	return len(c.config.Controls) > 1
}

// CheckSilence turns to the next control replica when the current one has been silent for silentIntervals.
func (c *Client) CheckSilence() {
	now := c.clock.Now()
	timeout := silentIntervals * c.config.Interval
	if now.Sub(c.lastContact) >= timeout && now.Sub(c.askedAt) >= timeout {
		c.tryNext()
	}
}
