// Package power simulates the content of a disk after a power cut. A [Model] is given the operations of a program on
// its disk, one by one, and generates one of the many images that a power cut may leave: everything that was synced is
// present, and of the rest any part. A [Disk] is an in-memory file system on top of a Model.
//
// An image maps the path of each regular file to its content. Paths are relative to the root of the disk.
package power
