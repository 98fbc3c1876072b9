// Package wal implements a write-ahead log. Records survive a power loss once [Log.Sync] has returned nil. The log
// consists of segments, which are append-only files. Old records are removed by deleting whole segments.
//
// The checksum of each frame covers the checksum of the frame before it. The first write after a sync begins with a
// sync marker, which records up to which offset the segment was synced. This distinguishes a torn tail, which Sync
// never reported as stored, from corruption of stored records: Open discards a torn tail and rejects a corrupt log.
// Corruption of the data that the last sync before a power loss stored can't be distinguished from a torn tail; Open
// discards that data.
package wal
