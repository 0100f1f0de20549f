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

// logRecord is the content of one record of a log file. The first record of a file names the snapshot
// that the file follows; zero stands for none.
type logRecord struct {
	Hard     hsquorum.HardState
	Entries  []hsstate.Entry
	Snapshot hsid.LogIndex
}

// Done is told the end of a save. After an error the process has to end. It may block.
type Done func(n hsid.Sequence, err error)

// Contents is what was read back when a folder was opened.
type Contents struct {
	Replica hsid.ReplicaID
	Stored  hsquorum.Stored
	// Cut is the number of bytes of a torn record that were cut off.
	Cut int
}

// fullPause is the time between two tries to write to a full disk.
const fullPause = 500 * time.Millisecond

// Disk writes the saves of one replica, in order, on a goroutine of its own. Save may be called from
// one goroutine only.
type Disk struct {
	folder folder
	done   Done
	saves  chan hsquorum.Save
	// closing is closed when the disk is.
	closing chan struct{}
	ended   sync.WaitGroup

	// The fields below belong to the writing goroutine.
	log      *os.File
	number   uint64
	snapshot hsid.LogIndex
	failed   error
}

// Open reads a data folder, which it creates when it is missing, and starts writing to it. Done is
// called once for each save.
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
	d.ended.Go(d.run)
	return d, c, nil
}

// Save starts a save. It must not be called before the last one is done, and not after Close.
func (d *Disk) Save(s hsquorum.Save) { d.saves <- s }

// Close waits for the save under way and closes the log.
func (d *Disk) Close() error {
	close(d.closing)
	close(d.saves)
	d.ended.Wait()
	if d.log == nil {
		return nil
	}
	if err := d.log.Close(); err != nil {
		return fmt.Errorf("hsdisk: %w", err)
	}
	return nil
}

// load reads the newest log and the snapshot that it follows.
func (d *Disk) load(c *Contents) error {
	logs, err := d.folder.numbered(logPrefix)
	if err != nil {
		return err
	}
	if len(logs) == 0 {
		return d.startLog(1, logRecord{})
	}
	d.number = logs[0]
	if err := d.readLog(c); err != nil {
		return err
	}
	if err := d.readSnapshot(c); err != nil {
		return err
	}
	return d.removeOld()
}

// readLog replays the records of the newest log and cuts off a torn one at its end.
func (d *Disk) readLog(c *Contents) error {
	path := d.folder.name(fileName(logPrefix, d.number))
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
		content, size, ok := nextRecord(body)
		if !ok {
			if first || wholeRecordIn(body[1:]) {
				return fmt.Errorf("%w: %s: offset %d", ErrDamaged, path, offset)
			}
			c.Cut = len(body)
			return d.reopen(path, int64(offset))
		}
		r, err := hscodec.Unmarshal[logRecord](content)
		if err != nil {
			return fmt.Errorf("%w: %s: offset %d: %w", ErrDamaged, path, offset, err)
		}
		if first {
			d.snapshot = r.Snapshot
		}
		c.Stored.Hard = r.Hard
		c.Stored.Entries = replay(c.Stored.Entries, r.Entries)
		body = body[size:]
	}
	return d.reopen(path, int64(len(data)))
}

// replay appends entries, of which the first replaces everything from its index on.
func replay(log, entries []hsstate.Entry) []hsstate.Entry {
	if len(entries) == 0 || len(log) == 0 {
		return append(log, entries...)
	}
	if keep := int64(entries[0].Index) - int64(log[0].Index); keep < int64(len(log)) {
		log = log[:max(keep, 0)]
	}
	return append(log, entries...)
}

// reopen opens the log for appending behind its last whole record.
func (d *Disk) reopen(path string, size int64) error {
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
		return fmt.Errorf("%w: %s: %w", ErrDamaged, d.folder.name(name), err)
	}
	return nil
}

func (d *Disk) removeOld() error {
	if err := d.folder.removeBut(logPrefix, d.number); err != nil {
		return err
	}
	return d.folder.removeBut(snapshotPrefix, uint64(d.snapshot))
}

// run writes one save after the other. After a failure it writes nothing more. While the disk is full the save
// waits: nothing of it is acknowledged, and space may come back.
func (d *Disk) run() {
	for s := range d.saves {
		if d.failed == nil {
			d.failed = d.write(s)
		}
		for errors.Is(d.failed, syscall.ENOSPC) && d.pause() {
			d.failed = d.write(s)
		}
		d.done(s.Number, d.failed)
	}
}

// pause waits before a save is tried again, and reports false when the disk is being closed.
func (d *Disk) pause() bool {
	timer := time.NewTimer(fullPause)
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
	content, err := hscodec.Marshal(logRecord{Hard: s.Hard, Entries: s.Entries})
	if err != nil {
		return err
	}
	info, err := d.log.Stat()
	if err != nil {
		return fmt.Errorf("hsdisk: %w", err)
	}
	if _, err := d.folder.write(d.log, appendRecord(nil, content)); err != nil {
		// What was written of the record goes, so that it can be written again.
		if cut := d.log.Truncate(info.Size()); cut != nil {
			return fmt.Errorf("hsdisk: cut back after %s: %w", err, cut)
		}
		return fmt.Errorf("hsdisk: %w", err)
	}
	if err := d.folder.sync(d.log); err != nil {
		// A sync that failed may have lost what it covers, whatever the reason says.
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
	if err := d.startLog(d.number+1, logRecord{Hard: s.Hard, Entries: s.Entries, Snapshot: s.Snapshot.Index}); err != nil {
		return err
	}
	return d.removeOld()
}

// startLog creates a log file with its first record and appends to it from now on.
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
	d.number = number
	d.snapshot = first.Snapshot
	return nil
}
