// Package wal is a write-ahead log: records outlive a power loss once [Log.Sync] has returned. The log is kept in
// segments, files that are only appended to. Old records are removed by dropping whole segments.
//
// The checksum of each record covers the one before. After each sync the next write begins with a mark of how far the
// segment was synced. So a torn end, which Sync never reported as stored, is told from damage to stored records: the
// first is dropped when the log is opened, the second is refused. Damage to what the last sync before a power loss
// stored is taken for a torn end.
package wal
