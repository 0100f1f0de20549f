// Package hsdisk keeps the control log and its snapshots under one data folder.
//
// The folder holds three kinds of files, each with its format version in the first bytes:
//
//	identity       the replica's identifier, written once
//	log-N          one record for each save; the highest N counts
//	snapshot-I     the encoded state up to index I
//
// A record carries its length and a CRC-32C of its content; the content carries term and entries. Saves
// are written one at a time and each is synced before the next, so at most the last record can be torn
// by a crash. A bad record with a whole one after it is damage: Open fails with ErrDamaged, names file
// and offset, and changes nothing. A bad record at the very end is cut off. It can't be told apart from
// damage that hit just the last record, which is why a replica's log counts only together with a quorum.
//
// A snapshot starts a new log file; both are synced under a temporary name, renamed, and the folder is
// synced, before older files go. Disk use is bounded by the snapshot interval. After a failed write or
// sync nothing more is written and the process has to end.
//
// # Usage
//
//	disk, stored, err := hsdisk.Open(folder, func(n hsid.Sequence, err error) { ... })
//	disk.Save(save)
//	err = disk.Close()
package hsdisk
