package hscontrol

import (
	"fmt"
	"time"

	"hyssopseam/core/command/hscommit"
	"hyssopseam/core/command/hsquorum"
	"hyssopseam/core/hsid"
	"hyssopseam/core/hsmessage"
	"hyssopseam/core/hsstate"
)

// Control is the control role of one process.
type Control struct {
	config  Config
	ports   Ports
	replica *hsquorum.Replica
	state   *hsstate.State
	// lead is what this replica knows as the leader; nil while it doesn't lead.
	lead      *leadership
	newcomers map[hsid.ReplicaID]newcomer
	// offerAt is when this replica may offer itself next.
	offerAt  time.Time
	draining bool
}

type newcomer struct {
	message hsmessage.Newcomer
	seen    time.Time
}

// New returns the control role that continues from what was stored.
func New(c Config, p Ports, stored hsquorum.Stored) (*Control, error) {
	control := &Control{
		config:    c.WithDefaults(),
		ports:     p,
		state:     hsstate.New(),
		newcomers: map[hsid.ReplicaID]newcomer{},
	}
	ports := hsquorum.Ports{
		Clock:   p.Clock,
		Random:  p.Random,
		Sender:  p.Sender,
		Storage: p.Storage,
		Machine: machine{control},
	}
	var err error
	if control.replica, err = hsquorum.New(control.config.Quorum, ports, stored); err != nil {
		return nil, fmt.Errorf("hscontrol: %w", err)
	}
	return control, nil
}

// Replica returns the replica, for reports and tests. The caller doesn't change it.
func (c *Control) Replica() *hsquorum.Replica { return c.replica }

// State returns the replicated state, for reports and tests. The caller doesn't change it.
func (c *Control) State() *hsstate.State { return c.state }

// Leading reports whether this replica may act as the leader.
func (c *Control) Leading() bool { return c.lead != nil && c.replica.Leading() }

// Learn replaces the control replicas that a newcomer offers itself to.
func (c *Control) Learn(controls []hsstate.Peer) {
	if len(controls) > 0 {
		c.config.Controls = controls
	}
}

// Receive takes a message from another process.
func (c *Control) Receive(from hsstate.Peer, m hsmessage.Message) {
	switch m := m.(type) {
	case hsmessage.Request:
		c.receiveRequest(from, m)
	case hsmessage.Report:
		c.receiveReport(from, m)
	case hsmessage.Renew:
		c.receiveRenew(from, m)
	case hsmessage.Tally:
		c.receiveTally(from, m)
	case hsmessage.Newcomer:
		c.receiveNewcomer(m)
	default:
		c.replica.Receive(m)
	}
	c.checkLeadership()
}

// Synced tells that the save with this number is on the disk.
func (c *Control) Synced(n hsid.Sequence) {
	c.replica.Synced(n)
	c.checkLeadership()
}

// Wake acts on the passing of time.
func (c *Control) Wake() {
	c.replica.Wake()
	c.offerToJoin()
	c.checkLeadership()
	if c.Leading() {
		c.wakeLeader()
	}
}

// NextWake returns when Wake is wanted next.
func (c *Control) NextWake() time.Time {
	next := c.replica.NextWake()
	if at, ok := c.nextOffer(); ok && at.Before(next) {
		return at
	}
	return next
}

// Flush runs what was put off to the end of a batch of inputs: a scheduling pass, the orders to agents,
// and the save of new log entries.
func (c *Control) Flush() {
	if c.Leading() {
		c.flushLeader()
	}
	c.replica.Flush()
}

// Drain takes no new requests, answers those under way, and then gives up leadership. It reports whether
// the process may end; a single replica has nobody to hand over to.
func (c *Control) Drain() bool {
	c.draining = true
	if c.lead != nil && len(c.lead.replies) > 0 {
		return false
	}
	if c.replica.Role() != hsquorum.Leader {
		return true
	}
	c.replica.HandOver()
	c.checkLeadership()
	return c.replica.Role() != hsquorum.Leader || len(hsstate.Voters(c.replica.Members())) == 1
}

// checkLeadership starts and ends leadership as the replica does.
func (c *Control) checkLeadership() {
	switch {
	case c.replica.Role() != hsquorum.Leader:
		if c.lead != nil {
			c.lead = nil
			c.ports.Observer.Led(false)
		}
	case c.lead != nil && c.lead.term == c.replica.Term():
	case c.replica.Leading():
		c.lead = c.newLeadership()
		c.ports.Observer.Led(true)
	}
}

// machine lets the replica apply entries without making the methods public on Control.
type machine struct {
	c *Control
}

// Apply applies a committed entry, and on a leader acts on what it changed.
func (m machine) Apply(e hsstate.Entry) {
	result := hscommit.Apply(m.c.state, e)
	if m.c.lead != nil && m.c.lead.term == m.c.replica.Term() {
		m.c.applied(e, result)
	}
}

// Snapshot returns the encoded state.
func (m machine) Snapshot() []byte {
	return m.c.ports.Codec.EncodeState(m.c.state)
}

// Restore replaces the state.
func (m machine) Restore(data []byte) error {
	s, err := m.c.ports.Codec.DecodeState(data)
	if err != nil {
		return fmt.Errorf("hscontrol: %w", err)
	}
	m.c.state = s
	return nil
}
