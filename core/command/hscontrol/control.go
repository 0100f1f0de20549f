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

// Control is the control role of one process. It isn't safe for concurrent use.
type Control struct {
	config  Config
	ports   Ports
	replica *hsquorum.Replica
	state   *hsstate.State
	// leader is the state of this replica's leadership; nil while it doesn't lead.
	leader *leaderState
	// joinRequests holds the newest request of each replica that asks to join.
	joinRequests map[hsid.ReplicaID]joinRequest
	// nextJoinRequest is the earliest time at which this replica sends its own request to join again.
	nextJoinRequest time.Time
	// draining is set by Drain; no new requests are accepted then.
	draining bool
}

// joinRequest is a replica's request to join and the time at which it arrived.
type joinRequest struct {
	message  hsmessage.JoinRequest
	received time.Time
}

// New returns a control role that continues from the stored log and snapshot.
func New(c Config, p Ports, stored hsquorum.Stored) (*Control, error) {
	control := &Control{
		config:       c.WithDefaults(),
		ports:        p,
		state:        hsstate.New(),
		joinRequests: map[hsid.ReplicaID]joinRequest{},
	}
	ports := hsquorum.Ports{
		Clock:        p.Clock,
		Random:       p.Random,
		Sender:       p.Sender,
		Storage:      p.Storage,
		StateMachine: stateMachine{control},
		Sizer:        p.Sizer,
	}
	var err error
	if control.replica, err = hsquorum.New(control.config.Quorum, ports, stored); err != nil {
		return nil, fmt.Errorf("hscontrol: %w", err)
	}
	return control, nil
}

// Replica returns the replica, for reports and tests. The caller must not change it.
func (c *Control) Replica() *hsquorum.Replica { return c.replica }

// State returns the replicated state, for reports and tests. The caller must not change it.
func (c *Control) State() *hsstate.State { return c.state }

// Leading reports whether this replica leads and may act as the leader.
func (c *Control) Leading() bool { return c.leader != nil && c.replica.Leading() }

// SetControls replaces the addresses to which this replica sends its request to join. An empty list changes nothing.
func (c *Control) SetControls(controls []hsstate.Peer) {
	if len(controls) > 0 {
		c.config.Controls = controls
	}
}

// Receive handles a message from another process.
func (c *Control) Receive(from hsstate.Peer, m hsmessage.Message) {
	switch m := m.(type) {
	case hsmessage.Request:
		c.receiveRequest(from, m)
	case hsmessage.AgentReport:
		c.receiveAgentReport(from, m)
	case hsmessage.Renewal:
		c.receiveRenewal(from, m)
	case hsmessage.RunnerReport:
		c.receiveRunnerReport(from, m)
	case hsmessage.JoinRequest:
		c.receiveJoinRequest(m)
	default:
		c.replica.Receive(m)
	}
	c.updateLeadership()
}

// SaveCompleted records that the save with the given number has been synced to disk.
func (c *Control) SaveCompleted(n hsid.Sequence) {
	c.replica.SaveCompleted(n)
	c.updateLeadership()
}

// Wake handles timeouts. It is called at NextWake; an earlier call does no harm.
func (c *Control) Wake() {
	c.replica.Wake()
	c.requestToJoin()
	c.updateLeadership()
	if c.Leading() {
		c.wakeLeader()
	}
}

// NextWake returns the time at which Wake has to be called next.
func (c *Control) NextWake() time.Time {
	next := c.replica.NextWake()
	if at, ok := c.nextJoinRequestAt(); ok && at.Before(next) {
		next = at
	}
	if c.Leading() {
		if at, due := c.leader.dispatcher.NextPass(); due && at.Before(next) {
			next = at
		}
	}
	return next
}

// Flush does the work that is deferred to the end of a batch of inputs: it runs a scheduling pass, sends orders to
// agents, and saves new log entries.
func (c *Control) Flush() {
	if c.Leading() {
		c.flushLeader()
	}
	c.replica.Flush()
}

// Drain stops accepting requests and, once every pending request has been answered, hands leadership over. It is
// called again until it reports true: the process may exit then. A cluster's only voter has no successor and may
// exit while it leads.
func (c *Control) Drain() bool {
	c.draining = true
	if c.leader != nil && len(c.leader.pendingReplies) > 0 {
		return false
	}
	if c.replica.Role() != hsquorum.Leader {
		return true
	}
	c.replica.TransferLeadership()
	c.updateLeadership()
	return c.replica.Role() != hsquorum.Leader || len(hsstate.Voters(c.replica.Members())) == 1
}

// updateLeadership creates the leader state when the replica has begun to lead, and drops it when it no longer leads.
func (c *Control) updateLeadership() {
	switch {
	case c.replica.Role() != hsquorum.Leader:
		if c.leader != nil {
			c.leader = nil
			c.ports.Observer.LeadershipChanged(false)
		}
	case c.leader != nil && c.leader.term == c.replica.Term():
	case c.replica.Leading():
		c.leader = c.newLeaderState()
		c.ports.Observer.LeadershipChanged(true)
	}
}

// stateMachine is the state machine that the replica applies entries to. It is a type of its own so that its
// methods aren't exported on Control.
type stateMachine struct {
	control *Control
}

// Apply applies a committed entry. On the leader, it then reacts to the change.
func (s stateMachine) Apply(e hsstate.Entry) {
	result := hscommit.Apply(s.control.state, e)
	if s.control.leader != nil && s.control.leader.term == s.control.replica.Term() {
		s.control.onApplied(e, result)
	}
}

// Snapshot returns the encoded state.
func (s stateMachine) Snapshot() []byte {
	return s.control.ports.Codec.EncodeState(s.control.state)
}

// Restore replaces the state by an encoded one. It returns an error, and changes nothing, when data can't be decoded.
func (s stateMachine) Restore(data []byte) error {
	state, err := s.control.ports.Codec.DecodeState(data)
	if err != nil {
		return fmt.Errorf("hscontrol: %w", err)
	}
	s.control.state = state
	return nil
}
