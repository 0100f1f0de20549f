package hsdisk

import (
	"bytes"
	"encoding/binary"
	"errors"
	"fmt"
	"hash/crc32"

	"hyssopseam/core/hsid"
)

// ErrDamaged is wrapped by errors about files whose content isn't what was synced, and about a missing identity.
var ErrDamaged = errors.New("hsdisk: damaged file")

const (
	// formatVersion is written into every file. Files of other versions are refused.
	formatVersion = 1
	// recordHeader is the size of marker, length and checksum, in bytes.
	recordHeader = 12
	// maxRecord is the largest record content that is read.
	maxRecord = 1 * hsid.GiB
)

var (
	fileMagic    = []byte("hyssop\x00")
	recordMarker = []byte("HSRC")
	crcTable     = crc32.MakeTable(crc32.Castagnoli)
)

// fileHeader returns the first bytes of every file.
func fileHeader() []byte {
	return append(bytes.Clone(fileMagic), formatVersion)
}

// checkHeader checks the file header and returns the content after it.
func checkHeader(name string, data []byte) ([]byte, error) {
	want := fileHeader()
	if len(data) < len(want) || !bytes.Equal(data[:len(fileMagic)], fileMagic) {
		return nil, fmt.Errorf("%w: %s: offset 0: not a file of this program", ErrDamaged, name)
	}
	if v := data[len(fileMagic)]; v != formatVersion {
		return nil, fmt.Errorf("hsdisk: %s has format version %d, this program reads %d", name, v, formatVersion)
	}
	return data[len(want):], nil
}

func appendRecord(b, content []byte) []byte {
	b = append(b, recordMarker...)
	b = binary.BigEndian.AppendUint32(b, uint32(len(content)))
	b = binary.BigEndian.AppendUint32(b, crc32.Checksum(content, crcTable))
	return append(b, content...)
}

// parseRecord returns the content of the record at the start of data and the record's size with its header, or false
// when data doesn't start with a complete and intact record.
func parseRecord(data []byte) (content []byte, size int, ok bool) {
	if len(data) < recordHeader || !bytes.Equal(data[:len(recordMarker)], recordMarker) {
		return nil, 0, false
	}
	length := hsid.Bytes(binary.BigEndian.Uint32(data[4:]))
	sum := binary.BigEndian.Uint32(data[8:])
	if length > maxRecord || hsid.Bytes(len(data)-recordHeader) < length {
		return nil, 0, false
	}
	content = data[recordHeader : recordHeader+int(length)]
	if crc32.Checksum(content, crcTable) != sum {
		return nil, 0, false
	}
	return content, recordHeader + int(length), true
}

// containsRecord reports whether a complete and intact record starts anywhere in data.
func containsRecord(data []byte) bool {
	for {
		start := bytes.Index(data, recordMarker)
		if start < 0 {
			return false
		}
		if _, _, ok := parseRecord(data[start:]); ok {
			return true
		}
		data = data[start+1:]
	}
}
