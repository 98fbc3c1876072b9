package main

import (
	"os"
	"path/filepath"
	"time"

	"gapgap/internal/fake/rig"
)

// rigSettleDuration is how long gateways stay idle after their start, until they have their shares.
const rigSettleDuration = 3 * time.Second

// startRig starts gateways in a temporary directory. stop stops them and removes the directory.
func startRig(cfg rig.Config) (started *rig.Rig, stop func(), err error) {
	dir, err := os.MkdirTemp("", "benchmark")
	if err != nil {
		return nil, nil, err
	}
	removeDir := func() { _ = os.RemoveAll(dir) } // best effort: a temporary directory
	cfg.Dir = dir
	started, err = rig.Start(cfg)
	if err != nil {
		removeDir()
		return nil, nil, err
	}
	stop = func() {
		started.Close()
		removeDir()
	}
	return started, stop, nil
}

// startRigPair starts two sets of gateways of one build side by side, and waits rigSettleDuration. stop stops both.
func startRigPair(program string, first, second rig.Config) (pair [2]*rig.Rig, stop func(), err error) {
	if program, err = filepath.Abs(program); err != nil {
		return pair, nil, err
	}
	first.Program = program
	second.Program = program
	var stopFirst, stopSecond func()
	if pair[0], stopFirst, err = startRig(first); err != nil {
		return pair, nil, err
	}
	if pair[1], stopSecond, err = startRig(second); err != nil {
		stopFirst()
		return pair, nil, err
	}
	stop = func() {
		stopSecond()
		stopFirst()
	}
	time.Sleep(rigSettleDuration)
	return pair, stop, nil
}
