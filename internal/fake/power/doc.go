// Package power simulates what a disk has after its power was cut. A [Model] takes what a program did to its disk,
// operation by operation, and makes one of the many images that a cut may leave: what was synced is there, of the
// rest any part. A [Disk] is a file system in memory on top of it.
//
// An image maps the path of each regular file to its content. Paths are relative to the top of the disk.
package power
