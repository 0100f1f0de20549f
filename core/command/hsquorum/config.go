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
	DefaultHeartbeatInterval  = 100 * time.Millisecond
	DefaultElectionTimeout    = 500 * time.Millisecond
	DefaultMaxBatch           = 512
	DefaultSnapshotEntries    = 4096
	DefaultRetainEntries      = 512
	DefaultSnapshotBytes      = 8 * hsid.MiB
	DefaultSnapshotChunkBytes = 256 * hsid.KiB
	DefaultMaxEntryBytes      = 7 * hsid.MiB
)

// leaderLeasePercent is the length of a leader lease in percent of the election timeout. The remaining 5 % allow
// for clocks that run up to 2 % too fast or too slow.
const leaderLeasePercent = 95

// Config holds the identity, timeouts and limits of a replica. All replicas of a cluster use the same timeouts
// and limits.
type Config struct {
	ID       hsid.ReplicaID
	Instance hsid.InstanceID
	Address  hsstate.Peer
	// HeartbeatInterval is the interval between heartbeats of a leader.
	HeartbeatInterval time.Duration
	// ElectionTimeout is the minimum election timeout: how long a replica hears from no leader before it starts a
	// pre-vote. The timeout in use is drawn at random from [ElectionTimeout, 2*ElectionTimeout).
	ElectionTimeout time.Duration
	// MaxBatch is the maximum number of entries in one message and in one save.
	MaxBatch int
	// SnapshotEntries is the number of applied entries after which a snapshot is taken and the log compacted.
	SnapshotEntries int
	// SnapshotBytes is the total size of applied entries after which a snapshot is taken and the log compacted,
	// whatever the number of entries. At most half of it is retained in the log.
	SnapshotBytes hsid.Bytes
	// RetainEntries is the maximum number of applied entries that compaction keeps in the log, so that replicas that
	// are slightly behind can catch up without a snapshot.
	RetainEntries int
	// SnapshotChunkBytes is the maximum size of one chunk of a snapshot transfer.
	SnapshotChunkBytes hsid.Bytes
	// MaxEntryBytes is the maximum size of one entry. A message with one such entry must be one that the Sender delivers.
	MaxEntryBytes hsid.Bytes
}

// WithDefaults returns the configuration with zero timeouts and limits replaced by their defaults.
func (c Config) WithDefaults() Config {
	setDefault(&c.HeartbeatInterval, DefaultHeartbeatInterval)
	setDefault(&c.ElectionTimeout, DefaultElectionTimeout)
	setDefault(&c.MaxBatch, DefaultMaxBatch)
	setDefault(&c.SnapshotEntries, DefaultSnapshotEntries)
	setDefault(&c.SnapshotBytes, DefaultSnapshotBytes)
	setDefault(&c.RetainEntries, DefaultRetainEntries)
	setDefault(&c.SnapshotChunkBytes, DefaultSnapshotChunkBytes)
	setDefault(&c.MaxEntryBytes, DefaultMaxEntryBytes)
	return c
}

func setDefault[T comparable](field *T, value T) {
	var zero T
	if *field == zero {
		*field = value
	}
}

// Clock is a monotonic clock.
type Clock interface {
	Now() time.Time
}

// Random is a source of random numbers.
type Random interface {
	// Int64N returns a number in [0, n).
	Int64N(n int64) int64
}

// Sender sends messages without blocking; messages may be lost.
type Sender interface {
	Send(to hsstate.Peer, m hsmessage.Message)
}

// Storage makes saves durable. Save doesn't block; once the save is durable, Replica.SaveCompleted is called with its
// number. A save that fails ends the process.
type Storage interface {
	Save(s Save)
}

// StateMachine is the replicated state machine.
type StateMachine interface {
	// Apply applies a committed entry.
	Apply(e hsstate.Entry)
	// Snapshot returns the encoded state.
	Snapshot() []byte
	// Restore replaces the state by the decoded data.
	Restore(data []byte) error
}

// EntrySizer measures entries.
type EntrySizer interface {
	// EntrySize returns the encoded size of an entry in a message.
	EntrySize(e *hsstate.Entry) hsid.Bytes
}

// Ports are the dependencies that a replica calls.
type Ports struct {
	Clock        Clock
	Random       Random
	Sender       Sender
	Storage      Storage
	StateMachine StateMachine
	Sizer        EntrySizer
}

// HardState is the state besides the log that must survive a restart.
type HardState struct {
	Term hsid.Term
	Vote hsid.ReplicaID
}

// Snapshot is the encoded state after applying the entry at Index, with that entry's term and cluster time and
// the members at that index.
type Snapshot struct {
	Index   hsid.LogIndex
	Term    hsid.Term
	Clock   time.Duration
	Cluster hsid.ClusterID
	Members []hsstate.Member
	Data    []byte
}

// Save is one durable write. Entries replace all stored entries from the index of the first one on. With a
// Snapshot, Entries are the complete log after compaction; older files may be deleted.
type Save struct {
	Number    hsid.Sequence
	HardState HardState
	Entries   []hsstate.Entry
	Snapshot  *Snapshot
}

// Stored is the state that was read from the disk at start.
type Stored struct {
	HardState HardState
	Snapshot  Snapshot
	Entries   []hsstate.Entry
}

// WithSave returns the stored state after a save, for storages that keep it in memory.
func (s Stored) WithSave(save Save) Stored {
	s.HardState = save.HardState
	if save.Snapshot != nil {
		s.Snapshot = *save.Snapshot
		s.Entries = slices.Clone(save.Entries)
		return s
	}
	if len(save.Entries) == 0 {
		return s
	}
	firstReplaced := slices.IndexFunc(s.Entries, func(e hsstate.Entry) bool { return e.Index >= save.Entries[0].Index })
	if firstReplaced >= 0 {
		s.Entries = s.Entries[:firstReplaced:firstReplaced]
	}
	s.Entries = append(s.Entries, save.Entries...)
	return s
}
