package main

// cases are the cases by name.
var cases = map[string]func(*world) (broken bool, err error){
	"flood":    playFlood,
	"tail":     playTail,
	"pipeline": playPipeline,
	"restart":  playRestart,
	"leak":     playLeak,
}
