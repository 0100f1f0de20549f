package hsdisk

import (
	"cmp"
	"fmt"
	"os"
	"path/filepath"
	"slices"
	"strconv"
	"strings"

	"hyssopseam/core/hsid"
)

const (
	identityFile   = "identity"
	logPrefix      = "log-"
	snapshotPrefix = "snapshot-"
	temporary      = ".new"

	folderMode = 0o700
	fileMode   = 0o600
)

// folder is the data folder. Sync is replaced in tests that make syncs fail.
type folder struct {
	path string
	sync func(f *os.File) error
	// write appends to the log.
	write func(f *os.File, data []byte) (int, error)
}

func (d *folder) name(file string) string { return filepath.Join(d.path, file) }

// syncFolder makes created and renamed files last.
func (d *folder) syncFolder() error {
	f, err := os.Open(d.path)
	if err != nil {
		return fmt.Errorf("hsdisk: %w", err)
	}
	defer func() { _ = f.Close() }()
	if err := d.sync(f); err != nil {
		return fmt.Errorf("hsdisk: sync folder %s: %w", d.path, err)
	}
	return nil
}

// create writes a whole file under a temporary name, syncs it, renames it and syncs the folder. It
// returns the file, open for appending.
func (d *folder) create(name string, content []byte) (*os.File, error) {
	path := d.name(name)
	f, err := os.OpenFile(path+temporary, os.O_CREATE|os.O_TRUNC|os.O_WRONLY|os.O_APPEND, fileMode)
	if err != nil {
		return nil, fmt.Errorf("hsdisk: %w", err)
	}
	if err := d.finish(f, path, append(fileHeader(), content...)); err != nil {
		_ = f.Close()
		return nil, err
	}
	return f, nil
}

func (d *folder) finish(f *os.File, path string, content []byte) error {
	if _, err := f.Write(content); err != nil {
		return fmt.Errorf("hsdisk: %w", err)
	}
	if err := d.sync(f); err != nil {
		return fmt.Errorf("hsdisk: sync %s: %w", path, err)
	}
	if err := os.Rename(path+temporary, path); err != nil {
		return fmt.Errorf("hsdisk: %w", err)
	}
	return d.syncFolder()
}

// numbered returns the numbers of the files with a prefix, the highest first.
func (d *folder) numbered(prefix string) ([]uint64, error) {
	files, err := os.ReadDir(d.path)
	if err != nil {
		return nil, fmt.Errorf("hsdisk: %w", err)
	}
	var numbers []uint64
	for _, f := range files {
		text, ok := strings.CutPrefix(f.Name(), prefix)
		if n, err := strconv.ParseUint(text, 10, 64); ok && err == nil {
			numbers = append(numbers, n)
		}
	}
	slices.SortFunc(numbers, func(a, b uint64) int { return cmp.Compare(b, a) })
	return numbers, nil
}

// removeBut removes the files with a prefix but for one number.
func (d *folder) removeBut(prefix string, keep uint64) error {
	numbers, err := d.numbered(prefix)
	if err != nil {
		return err
	}
	for _, n := range numbers {
		if n == keep {
			continue
		}
		if err := os.Remove(d.name(fileName(prefix, n))); err != nil {
			return fmt.Errorf("hsdisk: %w", err)
		}
	}
	return nil
}

func fileName(prefix string, n uint64) string {
	return prefix + strconv.FormatUint(n, 10)
}

// readRecordFile reads a file that holds a single record.
func (d *folder) readRecordFile(name string) ([]byte, error) {
	data, err := os.ReadFile(d.name(name))
	if err != nil {
		return nil, fmt.Errorf("hsdisk: %w", err)
	}
	body, err := checkHeader(d.name(name), data)
	if err != nil {
		return nil, err
	}
	content, size, ok := nextRecord(body)
	if !ok || size != len(body) {
		return nil, fmt.Errorf("%w: %s: offset %d", ErrDamaged, d.name(name), len(data)-len(body))
	}
	return content, nil
}

// identity reads the replica's identifier, or writes a fresh one into an empty folder.
func (d *folder) identity(fresh func() hsid.ReplicaID) (hsid.ReplicaID, error) {
	if _, err := os.Stat(d.name(identityFile)); err == nil {
		content, err := d.readRecordFile(identityFile)
		if err != nil {
			return 0, err
		}
		id, err := strconv.ParseUint(string(content), 10, 64)
		if err != nil || id == 0 {
			return 0, fmt.Errorf("%w: %s: offset %d", ErrDamaged, d.name(identityFile), len(fileHeader())+recordHeader)
		}
		return hsid.ReplicaID(id), nil
	}
	if logs, err := d.numbered(logPrefix); err != nil || len(logs) > 0 {
		return 0, fmt.Errorf("%w: %s: it is missing beside a log", ErrDamaged, d.name(identityFile))
	}
	id := fresh()
	f, err := d.create(identityFile, appendRecord(nil, []byte(strconv.FormatUint(uint64(id), 10))))
	if err != nil {
		return 0, err
	}
	return id, f.Close()
}
