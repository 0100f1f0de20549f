// Package hsdump copies the internal state of each role into views for operators.
//
// The roles are read through the small interfaces declared here. The functions must be called on the goroutine that
// owns the role.
//
// # Usage
//
//	view := hsdump.Control(replica, state)
package hsdump

import (
	"cmp"
	"maps"
	"math"
	"slices"

	"hyssopseam/core/hsid"
	"hyssopseam/core/hsmessage"
	"hyssopseam/core/hsstate"
	"hyssopseam/core/hsview"
)

// Replica provides the state of a replica in the consensus on the control log.
type Replica interface {
	ID() hsid.ReplicaID
	Cluster() hsid.ClusterID
	RoleName() string
	Term() hsid.Term
	CommitIndex() hsid.LogIndex
	LastIndex() hsid.LogIndex
	LogLength() int
	LeaderAddress() hsstate.Peer
	Members() []hsstate.Member
}

// Control copies the state of a control replica.
func Control(r Replica, s *hsstate.State) *hsview.ControlDump {
	d := &hsview.ControlDump{
		Replica:   r.ID(),
		Cluster:   r.Cluster(),
		Role:      r.RoleName(),
		Term:      r.Term(),
		Commit:    r.CommitIndex(),
		Last:      r.LastIndex(),
		LogLength: r.LogLength(),
		Leader:    string(r.LeaderAddress()),
		Rules:     s.Rules.InForce.Number,
		Files:     len(s.Rules.Files),
		Finished:  len(s.Finished),
		Answers:   s.AnswerBytes,
		Homes:     len(s.Homes),
	}
	for _, m := range r.Members() {
		part := "learner"
		if m.Voter {
			part = "voter"
		}
		d.Members = append(d.Members, hsview.Member{ID: m.ID, Instance: m.Instance, Address: string(m.Address), Part: part, Replaces: m.Replaces})
	}
	for _, j := range s.Jobs {
		if j.Phase != hsstate.Finished {
			d.Jobs = append(d.Jobs, jobDump(j))
		}
	}
	slices.SortFunc(d.Jobs, func(a, b hsview.JobDump) int { return cmp.Compare(a.ID, b.ID) })
	for _, id := range slices.Sorted(maps.Keys(s.Work.Speeds)) {
		w := s.Work.Speeds[id]
		d.Speeds = append(d.Speeds, hsview.SpeedDump{
			Worker: id, Endpoint: uint64(w.Incarnation), Slowdown: float64(w.Slowdown), Deviation: math.Sqrt(w.Variance), Runs: w.Runs, Age: s.Clock - w.Updated,
		})
	}
	return d
}

func jobDump(j *hsstate.Job) hsview.JobDump {
	d := hsview.JobDump{ID: j.ID, Phase: string(j.Phase), Attempt: j.Attempt, Once: j.Once, Cancel: j.Cancel}
	for _, m := range j.Members {
		d.Workers = append(d.Workers, hsview.Placement{Worker: m.Worker, Accelerators: slices.Clone(m.Accelerators)})
	}
	return d
}

// EntryRole provides the state of an entry.
type EntryRole interface {
	Leader() hsstate.Peer
	Rules() (hsid.RuleNumber, bool)
	Pending() int
	StrayReplies() int
}

// Entry copies the state of an entry.
func Entry(e EntryRole) *hsview.EntryDump {
	number, held := e.Rules()
	return &hsview.EntryDump{
		Leader:    string(e.Leader()),
		Rules:     number,
		RulesHeld: held,
		Pending:   e.Pending(),
		Strays:    e.StrayReplies(),
	}
}

// AgentRole provides the state of an agent.
type AgentRole interface {
	Rules() (hsid.RuleNumber, bool)
	Worker() (hsmessage.Worker, bool)
	Tasks() []hsmessage.Task
}

// Agent copies the state of an agent.
func Agent(a AgentRole) *hsview.AgentDump {
	number, held := a.Rules()
	worker, listed := a.Worker()
	d := &hsview.AgentDump{Rules: number, RulesHeld: held, Endpoint: worker.Endpoint, Leaving: worker.Leaving, Listed: listed}
	for _, t := range a.Tasks() {
		d.Tasks = append(d.Tasks, hsview.TaskDump{
			Grant:        t.Grant.String(),
			Phase:        string(t.Phase),
			Accelerators: slices.Clone(t.Accelerators),
			Reason:       t.Reason,
		})
	}
	return d
}
