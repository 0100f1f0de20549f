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
	identityFile    = "identity"
	logPrefix       = "log-"
	snapshotPrefix  = "snapshot-"
	temporarySuffix = ".new"

	folderMode = 0o700
	fileMode   = 0o600
)

// folder is the data folder. Tests replace sync and write to make them fail.
type folder struct {
	path string
	sync func(f *os.File) error
	// write appends to the log.
	write func(f *os.File, data []byte) (int, error)
}

func (d *folder) filePath(file string) string { return filepath.Join(d.path, file) }

// syncFolder makes the creation and renaming of files durable.
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

// create writes a file under a temporary name, syncs it, renames it and syncs the folder. It returns the file, open
// for appending.
func (d *folder) create(name string, content []byte) (*os.File, error) {
	path := d.filePath(name)
	f, err := os.OpenFile(path+temporarySuffix, os.O_CREATE|os.O_TRUNC|os.O_WRONLY|os.O_APPEND, fileMode)
	if err != nil {
		return nil, fmt.Errorf("hsdisk: %w", err)
	}
	if err := d.writeAndRename(f, path, append(fileHeader(), content...)); err != nil {
		_ = f.Close()
		return nil, err
	}
	return f, nil
}

func (d *folder) writeAndRename(f *os.File, path string, content []byte) error {
	if _, err := f.Write(content); err != nil {
		return fmt.Errorf("hsdisk: %w", err)
	}
	if err := d.sync(f); err != nil {
		return fmt.Errorf("hsdisk: sync %s: %w", path, err)
	}
	if err := os.Rename(path+temporarySuffix, path); err != nil {
		return fmt.Errorf("hsdisk: %w", err)
	}
	return d.syncFolder()
}

// fileNumbers returns the numbers of the files with a prefix, the highest first.
func (d *folder) fileNumbers(prefix string) ([]uint64, error) {
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

// removeAllExcept removes the files with a prefix, except for the one with the number to keep.
func (d *folder) removeAllExcept(prefix string, keep uint64) error {
	numbers, err := d.fileNumbers(prefix)
	if err != nil {
		return err
	}
	for _, n := range numbers {
		if n == keep {
			continue
		}
		if err := os.Remove(d.filePath(fileName(prefix, n))); err != nil {
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
	data, err := os.ReadFile(d.filePath(name))
	if err != nil {
		return nil, fmt.Errorf("hsdisk: %w", err)
	}
	body, err := checkHeader(d.filePath(name), data)
	if err != nil {
		return nil, err
	}
	content, size, ok := parseRecord(body)
	if !ok || size != len(body) {
		return nil, fmt.Errorf("%w: %s: offset %d", ErrDamaged, d.filePath(name), len(data)-len(body))
	}
	return content, nil
}

// identity reads the replica's identifier. In an empty folder it generates one and writes it. A folder with a log but
// without an identifier is damaged.
func (d *folder) identity(generate func() hsid.ReplicaID) (hsid.ReplicaID, error) {
	if _, err := os.Stat(d.filePath(identityFile)); err == nil {
		content, err := d.readRecordFile(identityFile)
		if err != nil {
			return 0, err
		}
		id, err := strconv.ParseUint(string(content), 10, 64)
		if err != nil || id == 0 {
			return 0, fmt.Errorf("%w: %s: offset %d", ErrDamaged, d.filePath(identityFile), len(fileHeader())+recordHeader)
		}
		return hsid.ReplicaID(id), nil
	}
	if logs, err := d.fileNumbers(logPrefix); err != nil || len(logs) > 0 {
		return 0, fmt.Errorf("%w: %s: the file is missing, but there is a log", ErrDamaged, d.filePath(identityFile))
	}
	id := generate()
	f, err := d.create(identityFile, appendRecord(nil, []byte(strconv.FormatUint(uint64(id), 10))))
	if err != nil {
		return 0, err
	}
	return id, f.Close()
}
