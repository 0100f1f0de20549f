package hsquorum

import (
	"slices"
	"time"

	"hyssopseam/core/hsid"
	"hyssopseam/core/hsmessage"
	"hyssopseam/core/hsstate"
)

// Defaults of a Config.
const (
	DefaultHeartbeat     = 100 * time.Millisecond
	DefaultElection      = 500 * time.Millisecond
	DefaultMaxBatch      = 512
	DefaultSnapshotEvery = 4096
	DefaultRetain        = 512
	DefaultSnapshotBytes = 8 * hsid.MiB
	DefaultChunk         = 256 * hsid.KiB
)

// leaseShare is the part of the election timeout, in percent, that a leader lease lasts. It leaves
// room for clocks whose rates differ by up to 2 % each way.
const leaseShare = 95

// Config sets the times and bounds of a replica. All replicas of a cluster use the same.
type Config struct {
	ID       hsid.ReplicaID
	Instance hsid.InstanceID
	Address  hsstate.Peer
	// Heartbeat is the time between two heartbeats of a leader.
	Heartbeat time.Duration
	// Election is the shortest time without a leader after which a replica campaigns.
	Election time.Duration
	// MaxBatch bounds the entries in one message and in one save.
	MaxBatch int
	// SnapshotEvery is the number of applied entries after which the log is compacted.
	SnapshotEvery int
	// SnapshotBytes is the size of the applied entries after which the log is compacted, whatever their number;
	// at most half of it stays in the log.
	SnapshotBytes hsid.Bytes
	// Retain is how many applied entries stay in the log for replicas that lag a little.
	Retain int
	// Chunk is the size of a part of a snapshot in transfer.
	Chunk hsid.Bytes
}

// WithDefaults returns the configuration with each zero value replaced by its default.
func (c Config) WithDefaults() Config {
	setDefault(&c.Heartbeat, DefaultHeartbeat)
	setDefault(&c.Election, DefaultElection)
	setDefault(&c.MaxBatch, DefaultMaxBatch)
	setDefault(&c.SnapshotEvery, DefaultSnapshotEvery)
	setDefault(&c.SnapshotBytes, DefaultSnapshotBytes)
	setDefault(&c.Retain, DefaultRetain)
	setDefault(&c.Chunk, DefaultChunk)
	return c
}

func setDefault[T comparable](field *T, value T) {
	var zero T
	if *field == zero {
		*field = value
	}
}

// Clock tells the time on a clock that only goes forward.
type Clock interface {
	Now() time.Time
}

// Random draws from [0, n).
type Random interface {
	Int64N(n int64) int64
}

// Sender sends a message without blocking; it may lose it.
type Sender interface {
	Send(to hsstate.Peer, m hsmessage.Message)
}

// Storage starts a save without blocking; its end comes back as Synced with the save's number. A save
// that fails ends the process.
type Storage interface {
	Save(s Save)
}

// Machine is the replicated state.
type Machine interface {
	// Apply applies a committed entry.
	Apply(e hsstate.Entry)
	// Snapshot returns the encoded state.
	Snapshot() []byte
	// Restore replaces the state by an encoded one.
	Restore(data []byte) error
}

// Ports are the interfaces that a replica calls.
type Ports struct {
	Clock   Clock
	Random  Random
	Sender  Sender
	Storage Storage
	Machine Machine
}

// HardState is what must survive beside the log.
type HardState struct {
	Term hsid.Term
	Vote hsid.ReplicaID
}

// Snapshot is the encoded state up to an index.
type Snapshot struct {
	Index   hsid.LogIndex
	Term    hsid.Term
	Clock   time.Duration
	Cluster hsid.ClusterID
	Members []hsstate.Member
	Data    []byte
}

// Save is one durable write. Entries replace everything from the first one's index on. With a
// Snapshot, Entries are the whole log after it and older files may go.
type Save struct {
	Number   hsid.Sequence
	Hard     HardState
	Entries  []hsstate.Entry
	Snapshot *Snapshot
}

// Stored is what was read back from the disk.
type Stored struct {
	Hard     HardState
	Snapshot Snapshot
	Entries  []hsstate.Entry
}

// Apply returns what is stored once a save is on the disk, for storages that keep it in memory.
func (s Stored) Apply(save Save) Stored {
	s.Hard = save.Hard
	if save.Snapshot != nil {
		s.Snapshot = *save.Snapshot
		s.Entries = slices.Clone(save.Entries)
		return s
	}
	if len(save.Entries) == 0 {
		return s
	}
	keep := slices.IndexFunc(s.Entries, func(e hsstate.Entry) bool { return e.Index >= save.Entries[0].Index })
	if keep >= 0 {
		s.Entries = s.Entries[:keep:keep]
	}
	s.Entries = append(s.Entries, save.Entries...)
	return s
}
