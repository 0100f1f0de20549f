// Package hsdisk stores the control log and its snapshots in one data folder.
//
// The folder holds three kinds of files, each with its format version in the first bytes:
//
//	identity       the replica's identifier, written once
//	log-N          one record for each save; the log with the highest N is current
//	snapshot-I     the encoded state up to index I
//
// A record carries its length and a CRC-32C of its content; the content carries term and entries. Saves are written
// one at a time and each is synced before the next, so a crash can tear the last record only. A bad record that is
// followed by a complete one is damage: Open fails with ErrDamaged, names file and offset, and changes nothing. A bad
// record at the very end is cut off. It can't be told apart from damage that hit just the last record, which is why a
// replica's log counts only together with a quorum.
//
// A snapshot starts a new log file; both are synced under a temporary name, renamed, and the folder is synced, before
// older files are removed. Disk use is bounded by the snapshot interval. While the disk is full, a write is retried.
// After any other failed write or sync nothing more is written, and the process must exit.
//
// # Usage
//
//	disk, contents, err := hsdisk.Open(folder, func(n hsid.Sequence, err error) { ... })
//	disk.Save(save)
//	err = disk.Close()
package hsdisk
