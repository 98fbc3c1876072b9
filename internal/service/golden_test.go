package service

import (
	"bytes"
	"encoding/json"
	"os"
	"path/filepath"
	"reflect"
	"testing"
	"time"

	"gapgap/internal/balancer"
	"gapgap/internal/discovery"
	"gapgap/internal/golden"
	"gapgap/internal/proxy"
	"gapgap/internal/stats"
)

// fillFields sets every field of a value to a non-zero value, each to a different one.
func fillFields(t *testing.T, v reflect.Value, next *int) {
	t.Helper()
	*next++
	switch v.Kind() {
	case reflect.Struct:
		for i := range v.NumField() {
			fillFields(t, v.Field(i), next)
		}
	case reflect.Slice:
		v.Set(reflect.MakeSlice(v.Type(), 2, 2))
		for i := range v.Len() {
			fillFields(t, v.Index(i), next)
		}
	case reflect.String:
		v.SetString("text-" + string(rune('a'+*next%26)))
	case reflect.Bool:
		v.SetBool(true)
	case reflect.Int, reflect.Int64:
		v.SetInt(int64(*next))
	case reflect.Float64:
		v.SetFloat(float64(*next) + 0.25)
	default:
		t.Fatalf("a field of kind %s", v.Kind())
	}
}

// TestGoldenHandoverState verifies that the state that an old process hands over keeps its format: the two processes
// may be of different versions.
func TestGoldenHandoverState(t *testing.T) {
	var state processState
	next := 0
	fillFields(t, reflect.ValueOf(&state).Elem(), &next)
	text, err := json.Marshal(state)
	if err != nil {
		t.Fatal(err)
	}
	golden.CheckBytes(t, "testdata/golden/handover-state.json", text)
	var back processState
	if err := json.Unmarshal(golden.Read(t, "testdata/golden/handover-state.json"), &back); err != nil {
		t.Fatal(err)
	}
	if !reflect.DeepEqual(back, state) {
		t.Errorf("read back as\n%+v\nwant\n%+v", back, state)
	}
}

// These are the types that the golden handover state covers.
var _ = processState{Core: proxy.HandoverState{Balancer: balancer.HandoverState{}}, Known: discovery.EndpointList{}}

// TestGoldenBansFile verifies that the file of administrative ejections keeps its format.
func TestGoldenBansFile(t *testing.T) {
	path := filepath.Join(t.TempDir(), "bans.json")
	list := ejectionList{Ejections: []ejection{{Backend: "s-1", SinceMS: 1796290000123}, {Backend: "s-2", SinceMS: 7}}}
	if err := ejectionsFormat.Save(path, list); err != nil {
		t.Fatal(err)
	}
	text, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	golden.CheckBytes(t, "testdata/golden/bans.json", text)
	var back ejectionList
	if err := ejectionsFormat.Load("testdata/golden/bans.json", &back); err != nil {
		t.Fatal(err)
	}
	if !reflect.DeepEqual(back, list) {
		t.Errorf("read back as %+v, want %+v", back, list)
	}
}

// TestGoldenOperatorFigures verifies that the statistics for operators keep their names and format.
func TestGoldenOperatorFigures(t *testing.T) {
	counters := stats.New()
	counters.Taken.Store(20)
	counters.ClientsDisconnected.Store(2)
	counters.Relayed.Store(30)
	counters.Listed.Store(5)
	counters.Avoided.Store(1)
	counters.Accepted.Store(3)
	counters.Invalid.Store(4)
	for class, ended := range map[string]int{"a": 3, "b": 2} {
		for outcome := range stats.Outcome(3) {
			for range ended + int(outcome) {
				counters.Class(class).Record(outcome)
			}
		}
	}
	var out bytes.Buffer
	if err := counters.Write(&out); err != nil {
		t.Fatal(err)
	}
	golden.CheckBytes(t, "testdata/golden/info.txt", out.Bytes())
}

// TestGoldenUpgradeLimits verifies that the limits of an upgrade do not change: both processes depend on them, so they
// are part of its protocol.
func TestGoldenUpgradeLimits(t *testing.T) {
	trace := golden.NewTrace()
	for _, limit := range []time.Duration{takeoverTimeout, takeoverRetryInterval, handoverTimeout,
		ejectionPollInterval} {
		trace.Duration(limit)
	}
	trace.Float(overlapFraction)
	trace.Int(maxEjections)
	trace.Int(maxPendingCommands)
	golden.LoadHashes(t, "testdata/golden/limits.txt").Check(t, "upgrade", trace.Sum())
}
