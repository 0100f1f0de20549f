package hsapp

import (
	"cmp"
	"errors"
	"fmt"
	"log/slog"
	"net/netip"
	"time"

	"hyssopseam/core/command/hsagent"
	"hyssopseam/core/command/hscontrol"
	"hyssopseam/core/command/hsdispatch"
	"hyssopseam/core/command/hsentry"
	"hyssopseam/core/command/hsmaintenance"
	"hyssopseam/core/command/hsplacement"
	"hyssopseam/core/command/hsqueue"
	"hyssopseam/core/command/hsquorum"
	"hyssopseam/core/command/hsrunner"
	"hyssopseam/core/hsid"
	"hyssopseam/core/hsmessage"
	"hyssopseam/core/hsstate"
	"hyssopseam/core/query/hsreport"
	"hyssopseam/io/hsclock"
	"hyssopseam/io/hscodec"
	"hyssopseam/io/hsdecision"
	"hyssopseam/io/hsdisk"
	"hyssopseam/io/hslink"
	"hyssopseam/io/hslog"
	"hyssopseam/io/hsmetric"
	"hyssopseam/io/hsplatform"
	"hyssopseam/io/hsprocess"
	"hyssopseam/io/hssettings"
)

// base holds the dependencies that all roles of a process share.
type base struct {
	settings    *hssettings.Settings
	log         *slog.Logger
	process     *hsprocess.Process
	links       *hslink.Links
	metrics     *hsmetric.Metrics
	decisions   *hsdecision.Recorder
	incarnation hsid.Incarnation

	// New sets adviser and machines from its Clients; nil without a client.
	adviser  hsdispatch.Adviser     `wire:"-"`
	machines hsmaintenance.Machines `wire:"-"`
}

func newIncarnation() hsid.Incarnation { return hsclock.NewIncarnation() }

func newProcess(log *slog.Logger) *hsprocess.Process {
	return hsprocess.New(hsclock.New(), hslog.Part(log, "process"))
}

func newLinks(s *hssettings.Settings, log *slog.Logger, p *hsprocess.Process) (*hslink.Links, error) {
	c := hslink.Config{Instance: s.Instance, Roles: s.Roles, Address: cmp.Or(s.Listen, s.Link), OnUnreachable: p.PeerUnreachable}
	if address, err := netip.ParseAddrPort(s.HTTP); err == nil {
		c.Source = address.Addr().AsSlice()
	}
	if s.TLS.Enabled() {
		var err error
		if c.ServerTLS, c.ClientTLS, err = linkTLS(s.TLS); err != nil {
			return nil, err
		}
	}
	return hslink.New(c, hslog.Part(log, "link"), p.Receive), nil
}

// sender sends messages over the links, and messages to this process itself through its inbox.
type sender struct {
	links   *hslink.Links
	process *hsprocess.Process
	self    hsstate.Peer
	log     *slog.Logger
}

func newSender(b *base) *sender {
	return &sender{links: b.links, process: b.process, self: b.settings.Link, log: hslog.Part(b.log, "sender")}
}

// Send sends a message. A message to this process is encoded and decoded like any other, so that the roles share no
// memory.
func (s *sender) Send(to hsstate.Peer, m hsmessage.Message) {
	if to != s.self || to == "" {
		s.links.Send(to, m)
		return
	}
	data, err := hscodec.EncodeMessage(m)
	if err != nil {
		s.log.Error("encoding a message failed", "error", err)
		return
	}
	copied, err := hscodec.DecodeMessage(data)
	if err != nil {
		s.log.Error("decoding a message failed", "error", err)
		return
	}
	if !s.process.SendToSelf(s.self, copied) {
		s.links.Counters.Dropped.Add(1)
	}
}

// openedDisk is a disk and the contents read when it was opened.
type openedDisk struct {
	disk     *hsdisk.Disk
	contents hsdisk.Contents
}

// openDisk opens the data folder, after forming a new cluster in it if this process is to. The returned function closes
// the folder.
func openDisk(b *base) (openedDisk, func(), error) {
	if err := formCluster(b); err != nil {
		return openedDisk{}, nil, err
	}
	d, c, err := hsdisk.Open(b.settings.DataFolder, b.process.SaveCompleted)
	if err != nil {
		return openedDisk{}, nil, err
	}
	log := hslog.Part(b.log, "disk")
	if c.TruncatedBytes > 0 {
		log.Warn("cut off a torn record at the end of the log", "bytes", c.TruncatedBytes)
	}
	if len(c.Stored.Entries) == 0 && c.Stored.Snapshot.Index == 0 {
		log.Info("data folder is empty, the replica waits to join a cluster", "replica", c.Replica)
	}
	cleanup := func() {
		if err := d.Close(); err != nil {
			log.Error("closing the log failed", "error", err)
		}
	}
	return openedDisk{disk: d, contents: c}, cleanup, nil
}

// formCluster forms a new cluster if the settings make this process the founder and its data folder is empty.
func formCluster(b *base) error {
	if !b.settings.IsFounder() {
		return nil
	}
	id, err := hsdisk.Bootstrap(b.settings.DataFolder, b.settings.Instance, b.settings.Link)
	switch {
	case errors.Is(err, hsdisk.ErrAlreadyBootstrapped):
		return nil
	case err != nil:
		return fmt.Errorf("hsapp: %w", err)
	}
	hslog.Part(b.log, "disk").Info("formed a new cluster", "replica", id)
	return nil
}

func newControl(b *base, d openedDisk, p hscontrol.Ports) (*hscontrol.Control, error) {
	p.Storage = d.disk
	control, err := hscontrol.New(controlConfig(b.settings, d.contents.Replica), p, d.contents.Stored)
	if err != nil {
		return nil, fmt.Errorf("hsapp: %w", err)
	}
	return control, nil
}

func controlPorts(b *base, s *sender) hscontrol.Ports {
	return hscontrol.Ports{
		Clock:    hsclock.New(),
		Random:   hsclock.Random{},
		Sender:   s,
		Codec:    hscodec.State{},
		Sizer:    hscodec.EntrySizer{},
		Reader:   hsreport.Reader{},
		Observer: b.metrics,
		Work:     b.decisions,
		Adviser:  b.adviser,
		Machines: b.machines,
	}
}

func controlConfig(s *hssettings.Settings, id hsid.ReplicaID) hscontrol.Config {
	c := s.Control
	return hscontrol.Config{
		Quorum: hsquorum.Config{
			ID:                id,
			Instance:          s.Instance,
			Address:           s.Link,
			HeartbeatInterval: time.Duration(c.HeartbeatInterval),
			ElectionTimeout:   time.Duration(c.ElectionTimeout),
			SnapshotEntries:   c.SnapshotEntries,
			MaxBatch:          c.MaxBatch,
		},
		Controls: s.Controls,
		Weights: hsplacement.Weights{
			Completion:    weightOrDefault(c.CompletionWeight),
			Fragmentation: weightOrDefault(c.FragmentationWeight),
		},
		AgeBounds:          hsqueue.AgeBounds{time.Duration(c.AgeUrgent), time.Duration(c.AgeNormal), time.Duration(c.AgeBatch)},
		RulesLease:         time.Duration(c.RulesLease),
		RunLease:           time.Duration(c.RunLease),
		PrepareTimeout:     time.Duration(c.PrepareTimeout),
		PreemptionCoolDown: time.Duration(c.PreemptionCoolDown),
		Replicas:           c.Replicas,
		Maintenance:        hsmaintenance.Config{Holder: s.Instance, Lease: time.Duration(s.Work.HolderLease), Upkeep: time.Duration(s.Work.Upkeep)},
		Work:               workConfig(&s.Work),

		FormationTimeout: time.Duration(c.FormationTimeout),
		Zones:            c.Zones,
		ReplaceAfter:     time.Duration(c.ReplaceAfter),
	}
}

func workConfig(w *hssettings.Work) hsdispatch.Config {
	return hsdispatch.Config{
		Lease:           w.Lease(),
		StopTimeout:     time.Duration(w.StopTimeout),
		OffRackSlowdown: w.OffRackSlowdown,
		Features: hsdispatch.Features{
			Speeds:         w.Speeds,
			Stragglers:     w.Stragglers,
			Trust:          w.Trust,
			Shares:         w.Shares,
			Admission:      w.Admission,
			UrgentHeadroom: w.UrgentHeadroom,
			Costs:          w.Costs,
		},
	}
}

func weightOrDefault(w *float64) float64 {
	if w == nil {
		return hssettings.DefaultWeight
	}
	return *w
}

func newEntry(b *base, s *sender) *hsentry.Entry {
	c := hsentry.Config{Instance: b.settings.Instance, Incarnation: b.incarnation, Controls: b.settings.Controls, Zone: b.settings.Zone}
	return hsentry.New(c, hsentry.Ports{
		Clock:    hsclock.New(),
		Random:   hsclock.Random{},
		Sender:   s,
		Answerer: b.process,
		Checker:  hslink.Limits{},
	})
}

// agentRole is the agent and the platform that runs its tasks.
type agentRole struct {
	agent    *hsagent.Agent
	platform *hsplatform.Platform
}

func newPlatform(b *base) (*hsplatform.Platform, func()) {
	p := hsplatform.New(b.process, hslog.Part(b.log, "platform"))
	return p, p.Close
}

func newAgent(b *base, s *sender, p *hsplatform.Platform) *hsagent.Agent {
	c := hsagent.Config{
		Instance:        b.settings.Instance,
		Incarnation:     b.incarnation,
		Controls:        b.settings.Controls,
		Interval:        time.Duration(b.settings.Agent.Interval),
		AnnouncementTTL: time.Duration(b.settings.Agent.AnnouncementTTL),
	}
	return hsagent.New(c, hsclock.New(), s, p)
}

func newDecisions(log *slog.Logger, m *hsmetric.Metrics) *hsdecision.Recorder {
	return hsdecision.New(hslog.Part(log, "work"), m.Registerer())
}

func newRunner(b *base, s *sender, e hsrunner.Endpoint) *hsrunner.Runner {
	c := hsrunner.Config{
		Instance:    b.settings.Instance,
		Incarnation: b.incarnation,
		Zone:        b.settings.Zone,
		Controls:    b.settings.Controls,
		Interval:    time.Duration(b.settings.Work.Interval),
		MaxLease:    time.Duration(b.settings.Work.MaxLease),
	}
	return hsrunner.New(c, hsrunner.Ports{Clock: hsclock.New(), Sender: s, Endpoint: e, Observer: b.decisions})
}
