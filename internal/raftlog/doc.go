// Package raftlog implements a replicated log for a small number of voters on top of etcd's raft library
// (go.etcd.io/raft/v3). Each voter stores its log in one file, which is the only I/O of the package: the caller passes
// messages in and out as bytes and drives time by ticks. A [Log] belongs to one goroutine. With Config.WriteAsync that
// goroutine does not wait for the disk: during a write, raft continues with everything that does not depend on it.
//
// A log is bootstrapped once, when all voters are present with empty disks. Each disk has a random number. A voter
// whose disk is found empty later may have voted before the disk was lost, so it does not participate until it is
// replaced ([Log.ReplaceVoter]): the other voters remove the lost disk, then add the new one by its number. The new
// disk starts in their term with its vote in that term already used. If a majority of the disks is lost, one voter can
// continue alone ([Log.Recover]).
package raftlog
