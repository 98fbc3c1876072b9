// Package raftlog is a replicated log of a few voters, by the raft of etcd (go.etcd.io/raft/v3), kept in one file for
// each voter. Messages between voters are handed in and out as bytes and time as ticks; the file is the only input and
// output. A [Log] belongs to one goroutine, which need not wait for its disk (Config.WriteAsync): until a write is
// done, raft goes on with all that does not depend on it.
//
// A log is bootstrapped once, when all voters are there with empty disks. Each disk has a random number. A voter whose
// disk is found empty later may have voted before it lost the disk, so it takes no part until it is replaced
// ([Log.ReplaceVoter]): the others first remove the lost disk and then add the new one, by its number, and the new one
// starts in their term with its vote there used up. Where a majority of the disks is lost, one voter can go on alone
// ([Log.Recover]).
package raftlog
