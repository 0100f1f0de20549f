// Package hslease keeps the rules leases that a leader granted to entries and agents.
//
// A holder acts on a rule number only while its lease lasts. It counts from when it sent the request
// that was granted; the leader counts from when it granted, and adds the drift of two clocks (Gray and
// Cheriton, 1989). So once every lease that was granted for an older number is over, or its holder has
// confirmed the new one, the new number is in force everywhere.
//
// A Table isn't safe for concurrent use.
//
// # Usage
//
//	lease := table.Renew(peer, renew, rules, term, now)
//	lagging := table.Lagging(rules.Number, now)
package hslease

import (
	"cmp"
	"slices"
	"time"

	"hyssopseam/core/hsid"
	"hyssopseam/core/hsmessage"
	"hyssopseam/core/hsstate"
)

// driftShare is the longest that two clocks differ over a lease, in percent of it.
const driftShare = 4

// WithDrift returns how long a grantor waits for a lease of this length to be over.
func WithDrift(d time.Duration) time.Duration {
	return d + d*driftShare/100
}

// Holder is one process under a rules lease.
type Holder struct {
	Peer        hsstate.Peer
	Instance    hsid.InstanceID
	Role        hsmessage.Role
	Incarnation hsid.Incarnation
	Rules       hsid.RuleNumber
	// Granted is when the lease was last granted for Rules.
	Granted  time.Time
	Heard    time.Time
	sequence hsid.Sequence
}

type key struct {
	instance hsid.InstanceID
	role     hsmessage.Role
}

// Table holds the leases of one leadership.
type Table struct {
	length  time.Duration
	since   time.Time
	holders map[key]*Holder
}

// New returns a table without holders. Leases that an earlier leader granted may last until length,
// with drift, after since.
func New(length time.Duration, since time.Time) *Table {
	return &Table{length: length, since: since, holders: map[key]*Holder{}}
}

// Renew takes a holder's request and returns the lease. A holder that is behind gets the rules and no
// longer lease for the old ones.
func (t *Table) Renew(from hsstate.Peer, r hsmessage.Renew, rules *hsstate.RuleSet, term hsid.Term, now time.Time) hsmessage.Lease {
	k := key{instance: r.Instance, role: r.Role}
	h := t.holders[k]
	if h == nil {
		h = &Holder{Instance: r.Instance, Role: r.Role}
		t.holders[k] = h
	}
	if h.Incarnation != r.Incarnation {
		h.Incarnation = r.Incarnation
		h.sequence = 0
		h.Rules = 0
	}
	h.Peer = from
	h.Heard = now
	if r.Sequence >= h.sequence {
		h.sequence = r.Sequence
		h.Rules = max(h.Rules, r.Rules)
	}
	lease := hsmessage.Lease{Role: r.Role, Term: term, Sequence: r.Sequence, For: t.length, Number: rules.Number}
	if r.Rules < rules.Number {
		lease.Rules = rules
		return lease
	}
	h.Granted = now
	return lease
}

// Announce returns the lease message that tells every holder of new rules without renewing anything.
func Announce(rules *hsstate.RuleSet, term hsid.Term) hsmessage.Lease {
	return hsmessage.Lease{Term: term, Number: rules.Number, Rules: rules}
}

// Each visits the holders in the order of their names.
func (t *Table) Each(visit func(h *Holder)) {
	for _, h := range t.sorted() {
		visit(h)
	}
}

func (t *Table) sorted() []*Holder {
	all := make([]*Holder, 0, len(t.holders))
	for _, h := range t.holders {
		all = append(all, h)
	}
	slices.SortFunc(all, func(a, b *Holder) int {
		return cmp.Or(cmp.Compare(a.Instance, b.Instance), cmp.Compare(a.Role, b.Role))
	})
	return all
}

// Lagging returns the holders that may still act on a number below n.
func (t *Table) Lagging(n hsid.RuleNumber, now time.Time) []hsid.InstanceID {
	var lagging []hsid.InstanceID
	for _, h := range t.sorted() {
		if h.Rules < n && t.alive(h, now) && !slices.Contains(lagging, h.Instance) {
			lagging = append(lagging, h.Instance)
		}
	}
	return lagging
}

// alive reports whether a holder may still act on its older number.
func (t *Table) alive(h *Holder, now time.Time) bool {
	return h.Rules > 0 && now.Sub(h.Granted) < WithDrift(t.length)
}

// Settled reports whether the leases of earlier leaders are over.
func (t *Table) Settled(now time.Time) bool {
	return now.Sub(t.since) >= WithDrift(t.length)
}

// Everywhere reports whether no process acts on a number below n.
func (t *Table) Everywhere(n hsid.RuleNumber, now time.Time) bool {
	return t.Settled(now) && len(t.Lagging(n, now)) == 0
}

// Forget drops the holders that were silent for longer than a time.
func (t *Table) Forget(silent time.Duration, now time.Time) {
	for k, h := range t.holders {
		if now.Sub(h.Heard) > silent {
			delete(t.holders, k)
		}
	}
}

// Len returns the number of holders.
func (t *Table) Len() int { return len(t.holders) }
