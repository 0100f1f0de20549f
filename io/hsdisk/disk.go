package hsdisk

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"os"
	"sync"
	"syscall"
	"time"

	"hyssopseam/core/command/hsquorum"
	"hyssopseam/core/hsid"
	"hyssopseam/core/hsstate"
	"hyssopseam/io/hscodec"
)

// logRecord is the content of one record of a log file. In the first record of a file, Snapshot is the index of the
// snapshot that the file follows; zero means none.
type logRecord struct {
	HardState hsquorum.HardState
	Entries   []hsstate.Entry
	Snapshot  hsid.LogIndex
}

// Done is called when a save has completed or failed. After an error the process must exit. Done may block.
type Done func(n hsid.Sequence, err error)

// Contents is what was read when a folder was opened.
type Contents struct {
	Replica hsid.ReplicaID
	Stored  hsquorum.Stored
	// TruncatedBytes is the number of bytes of a torn record that were cut off the end of the log.
	TruncatedBytes int
}

// fullDiskRetryInterval is the time between two attempts to write to a full disk.
const fullDiskRetryInterval = 500 * time.Millisecond

// Disk writes the saves of one replica, in order, on its own goroutine. Save must be called from a single goroutine.
type Disk struct {
	folder folder
	done   Done
	saves  chan hsquorum.Save
	// closing is closed by Close. It ends the wait for space on a full disk.
	closing chan struct{}
	writer  sync.WaitGroup

	// The fields below belong to the writing goroutine.
	log       *os.File
	logNumber uint64
	snapshot  hsid.LogIndex
	failure   error
}

// Open opens a data folder, creating it if it doesn't exist, and reads its contents. Done is called once for each save.
func Open(path string, done Done) (*Disk, Contents, error) {
	return open(folder{path: path, sync: (*os.File).Sync, write: (*os.File).Write}, done)
}

func open(f folder, done Done) (*Disk, Contents, error) {
	var c Contents
	if err := os.MkdirAll(f.path, folderMode); err != nil {
		return nil, c, fmt.Errorf("hsdisk: %w", err)
	}
	id, err := f.identity(func() hsid.ReplicaID { return hsid.ReplicaID(rand.Uint32() | 1) })
	if err != nil {
		return nil, c, err
	}
	c.Replica = id
	d := &Disk{folder: f, done: done, saves: make(chan hsquorum.Save, 1), closing: make(chan struct{})}
	if err := d.load(&c); err != nil {
		return nil, c, err
	}
	d.writer.Go(d.run)
	return d, c, nil
}

// Save starts a save. It must not be called before Done was called for the previous one, nor after Close.
func (d *Disk) Save(s hsquorum.Save) { d.saves <- s }

// Close waits for the save in progress and closes the log.
func (d *Disk) Close() error {
	close(d.closing)
	close(d.saves)
	d.writer.Wait()
	if d.log == nil {
		return nil
	}
	if err := d.log.Close(); err != nil {
		return fmt.Errorf("hsdisk: %w", err)
	}
	return nil
}

// load reads the newest log and the snapshot that it follows, and removes older files. In an empty folder it starts
// the first log.
func (d *Disk) load(c *Contents) error {
	logs, err := d.folder.fileNumbers(logPrefix)
	if err != nil {
		return err
	}
	if len(logs) == 0 {
		return d.startLog(1, logRecord{})
	}
	d.logNumber = logs[0]
	if err := d.readLog(c); err != nil {
		return err
	}
	if err := d.readSnapshot(c); err != nil {
		return err
	}
	return d.removeOld()
}

// readLog reads the records of the newest log and cuts off a torn record at its end.
func (d *Disk) readLog(c *Contents) error {
	path := d.folder.filePath(fileName(logPrefix, d.logNumber))
	data, err := os.ReadFile(path)
	if err != nil {
		return fmt.Errorf("hsdisk: %w", err)
	}
	body, err := checkHeader(path, data)
	if err != nil {
		return err
	}
	for first := true; len(body) > 0; first = false {
		offset := len(data) - len(body)
		content, size, ok := parseRecord(body)
		if !ok {
			if first || containsRecord(body[1:]) {
				return fmt.Errorf("%w: %s: offset %d", ErrDamaged, path, offset)
			}
			c.TruncatedBytes = len(body)
			return d.reopenLog(path, int64(offset))
		}
		r, err := hscodec.Unmarshal[logRecord](content)
		if err != nil {
			return fmt.Errorf("%w: %s: offset %d: %w", ErrDamaged, path, offset, err)
		}
		if first {
			d.snapshot = r.Snapshot
		}
		c.Stored.HardState = r.HardState
		c.Stored.Entries = appendEntries(c.Stored.Entries, r.Entries)
		body = body[size:]
	}
	return d.reopenLog(path, int64(len(data)))
}

// appendEntries appends entries to a log, after removing all entries from the index of the first new one on.
func appendEntries(log, entries []hsstate.Entry) []hsstate.Entry {
	if len(entries) == 0 || len(log) == 0 {
		return append(log, entries...)
	}
	if keep := int64(entries[0].Index) - int64(log[0].Index); keep < int64(len(log)) {
		log = log[:max(keep, 0)]
	}
	return append(log, entries...)
}

// reopenLog truncates the log to size, which ends its last complete record, and opens it for appending.
func (d *Disk) reopenLog(path string, size int64) error {
	var err error
	if d.log, err = os.OpenFile(path, os.O_WRONLY|os.O_APPEND, fileMode); err != nil {
		return fmt.Errorf("hsdisk: %w", err)
	}
	if err := d.log.Truncate(size); err != nil {
		return fmt.Errorf("hsdisk: %w", err)
	}
	if err := d.folder.sync(d.log); err != nil {
		return fmt.Errorf("hsdisk: sync %s: %w", path, err)
	}
	return nil
}

func (d *Disk) readSnapshot(c *Contents) error {
	if d.snapshot == 0 {
		return nil
	}
	name := fileName(snapshotPrefix, uint64(d.snapshot))
	content, err := d.folder.readRecordFile(name)
	if err != nil {
		return err
	}
	if c.Stored.Snapshot, err = hscodec.Unmarshal[hsquorum.Snapshot](content); err != nil {
		return fmt.Errorf("%w: %s: %w", ErrDamaged, d.folder.filePath(name), err)
	}
	return nil
}

func (d *Disk) removeOld() error {
	if err := d.folder.removeAllExcept(logPrefix, d.logNumber); err != nil {
		return err
	}
	return d.folder.removeAllExcept(snapshotPrefix, uint64(d.snapshot))
}

// run writes saves one after the other. After a failure it writes nothing more. While the disk is full it retries the
// save: nothing of it was acknowledged, and space may become available again.
func (d *Disk) run() {
	for s := range d.saves {
		if d.failure == nil {
			d.failure = d.write(s)
		}
		for errors.Is(d.failure, syscall.ENOSPC) && d.waitForSpace() {
			d.failure = d.write(s)
		}
		d.done(s.Number, d.failure)
	}
}

// waitForSpace waits before a save is retried. It returns false when the disk is being closed.
func (d *Disk) waitForSpace() bool {
	timer := time.NewTimer(fullDiskRetryInterval)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-d.closing:
		return false
	}
}

func (d *Disk) write(s hsquorum.Save) error {
	if s.Snapshot != nil {
		return d.writeSnapshot(s)
	}
	content, err := hscodec.Marshal(logRecord{HardState: s.HardState, Entries: s.Entries})
	if err != nil {
		return err
	}
	info, err := d.log.Stat()
	if err != nil {
		return fmt.Errorf("hsdisk: %w", err)
	}
	if _, err := d.folder.write(d.log, appendRecord(nil, content)); err != nil {
		// Remove the partial record, so that the save can be retried.
		if truncateErr := d.log.Truncate(info.Size()); truncateErr != nil {
			return fmt.Errorf("hsdisk: truncate the log after %s: %w", err, truncateErr)
		}
		return fmt.Errorf("hsdisk: %w", err)
	}
	if err := d.folder.sync(d.log); err != nil {
		// A failed sync may have lost the data that it covers. The error isn't wrapped, so that it is never taken for a
		// full disk and retried.
		return fmt.Errorf("hsdisk: sync %s: %s", d.log.Name(), err)
	}
	return nil
}

// writeSnapshot writes a snapshot and a new log that follows it, and then removes the older files.
func (d *Disk) writeSnapshot(s hsquorum.Save) error {
	content, err := hscodec.Marshal(*s.Snapshot)
	if err != nil {
		return err
	}
	f, err := d.folder.create(fileName(snapshotPrefix, uint64(s.Snapshot.Index)), appendRecord(nil, content))
	if err != nil {
		return err
	}
	if err := f.Close(); err != nil {
		return fmt.Errorf("hsdisk: %w", err)
	}
	if err := d.startLog(d.logNumber+1, logRecord{HardState: s.HardState, Entries: s.Entries, Snapshot: s.Snapshot.Index}); err != nil {
		return err
	}
	return d.removeOld()
}

// startLog creates a log file with its first record and makes it the current log.
func (d *Disk) startLog(number uint64, first logRecord) error {
	content, err := hscodec.Marshal(first)
	if err != nil {
		return err
	}
	f, err := d.folder.create(fileName(logPrefix, number), appendRecord(nil, content))
	if err != nil {
		return err
	}
	if d.log != nil {
		if err := d.log.Close(); err != nil {
			return fmt.Errorf("hsdisk: %w", err)
		}
	}
	d.log = f
	d.logNumber = number
	d.snapshot = first.Snapshot
	return nil
}
