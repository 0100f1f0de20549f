// Package hslease tracks the rules leases that a leader grants to entries and agents.
//
// A holder acts on a rule number only until its lease expires. The holder counts the lease from when it sent the
// request that was granted; the leader counts it from the grant, and adds the largest drift between two clocks (Gray
// and Cheriton, 1989). So a lease expires at its holder first. Once every lease for an older number has expired, or
// its holder has confirmed the new number, the new number is in force everywhere.
//
// A Table isn't safe for concurrent use.
//
// # Usage
//
//	lease := table.Renew(peer, renewal, rules, term, now)
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

// maxDriftPercent is the largest drift between two clocks during a lease, in percent of the lease.
const maxDriftPercent = 4

// WithDrift returns how long after granting a lease of length d the grantor may consider it expired.
func WithDrift(d time.Duration) time.Duration {
	return d + d*maxDriftPercent/100
}

// Holder is one process, in one role, that asked for a rules lease.
type Holder struct {
	Peer        hsstate.Peer
	Instance    hsid.InstanceID
	Role        hsmessage.Role
	Incarnation hsid.Incarnation
	// Rules is the newest rule number that the holder has confirmed; 0 for none.
	Rules hsid.RuleNumber
	// Granted is when the lease for Rules was last granted.
	Granted time.Time
	// offered is the oldest rule number above Rules that was sent with a lease which may not have expired yet; 0 for
	// none. offeredAt is when the last such lease was granted. The holder may act on the number before it confirms it.
	offered   hsid.RuleNumber
	offeredAt time.Time
	// LastRequest is when the last request arrived.
	LastRequest time.Time
	// sequence is that of the newest request.
	sequence hsid.Sequence
}

// holderKey identifies a holder: a process with several roles has a lease for each.
type holderKey struct {
	instance hsid.InstanceID
	role     hsmessage.Role
}

// Table holds the leases that one leader granted in its term. It isn't safe for concurrent use.
type Table struct {
	length  time.Duration
	started time.Time
	holders map[holderKey]*Holder
}

// New returns a table without holders, of a leader that has led since started. Leases of the given length that
// earlier leaders granted may last until WithDrift(length) after that.
func New(length time.Duration, started time.Time) *Table {
	return &Table{length: length, started: started, holders: map[holderKey]*Holder{}}
}

// Renew records a holder's request and returns the lease. A holder with older rules is sent the current ones, and its
// lease for the older rules isn't extended.
func (t *Table) Renew(from hsstate.Peer, r hsmessage.Renewal, rules *hsstate.RuleSet, term hsid.Term, now time.Time) hsmessage.Lease {
	key := holderKey{instance: r.Instance, role: r.Role}
	holder := t.holders[key]
	if holder == nil {
		holder = &Holder{Instance: r.Instance, Role: r.Role}
		t.holders[key] = holder
	}
	if holder.Incarnation != r.Incarnation {
		holder.Incarnation = r.Incarnation
		holder.sequence = 0
		holder.Rules = 0
		holder.offered = 0
	}
	holder.Peer = from
	holder.LastRequest = now
	if r.Sequence >= holder.sequence {
		holder.sequence = r.Sequence
		holder.Rules = max(holder.Rules, r.Rules)
	}
	if holder.offered <= holder.Rules || now.Sub(holder.offeredAt) >= WithDrift(t.length) {
		holder.offered = 0
	}
	lease := hsmessage.Lease{Role: r.Role, Term: term, Sequence: r.Sequence, Duration: t.length, Number: rules.Number}
	if r.Rules < rules.Number {
		lease.Rules = rules
		if holder.offered == 0 {
			holder.offered = rules.Number
		}
		holder.offeredAt = now
		return lease
	}
	holder.Granted = now
	return lease
}

// RulesNotice returns the message that sends new rules to a holder without renewing its lease.
func RulesNotice(rules *hsstate.RuleSet, term hsid.Term) hsmessage.Lease {
	return hsmessage.Lease{Term: term, Number: rules.Number, Rules: rules}
}

// Each calls visit for every holder, ordered by instance and role.
func (t *Table) Each(visit func(h *Holder)) {
	for _, h := range t.sortedHolders() {
		visit(h)
	}
}

// sortedHolders returns the holders, ordered by instance and role.
func (t *Table) sortedHolders() []*Holder {
	all := make([]*Holder, 0, len(t.holders))
	for _, h := range t.holders {
		all = append(all, h)
	}
	slices.SortFunc(all, func(a, b *Holder) int {
		return cmp.Or(cmp.Compare(a.Instance, b.Instance), cmp.Compare(a.Role, b.Role))
	})
	return all
}

// Lagging returns the instances of the holders that may still act on a number below n, in their order and without
// duplicates.
func (t *Table) Lagging(n hsid.RuleNumber, now time.Time) []hsid.InstanceID {
	var lagging []hsid.InstanceID
	for _, h := range t.sortedHolders() {
		if t.mayActOnOlder(h, n, now) && !slices.Contains(lagging, h.Instance) {
			lagging = append(lagging, h.Instance)
		}
	}
	return lagging
}

// mayActOnOlder reports whether a holder may have a valid lease for a number below n, which it has confirmed or which
// was sent to it.
func (t *Table) mayActOnOlder(h *Holder, n hsid.RuleNumber, now time.Time) bool {
	valid := func(number hsid.RuleNumber, granted time.Time) bool {
		return number > 0 && number < n && now.Sub(granted) < WithDrift(t.length)
	}
	return valid(h.Rules, h.Granted) || valid(h.offered, h.offeredAt)
}

// EarlierLeasesExpired reports whether all leases granted by earlier leaders have expired.
func (t *Table) EarlierLeasesExpired(now time.Time) bool {
	return now.Sub(t.started) >= WithDrift(t.length)
}

// InForceEverywhere reports whether rule number n is in force everywhere, that is, no process may act on a number
// below n.
func (t *Table) InForceEverywhere(n hsid.RuleNumber, now time.Time) bool {
	return t.EarlierLeasesExpired(now) && len(t.Lagging(n, now)) == 0
}

// RemoveSilent removes the holders from which no request arrived for longer than silence.
func (t *Table) RemoveSilent(silence time.Duration, now time.Time) {
	for k, h := range t.holders {
		if now.Sub(h.LastRequest) > silence {
			delete(t.holders, k)
		}
	}
}

// Len returns the number of holders.
func (t *Table) Len() int { return len(t.holders) }
