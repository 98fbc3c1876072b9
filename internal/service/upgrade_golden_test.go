package service

import (
	"encoding/json"
	"reflect"
	"strings"
	"testing"

	"gapgap/internal/golden"
	"gapgap/internal/proxy"
)

// TestGoldenSentIDs verifies that the IDs that an old process hands over beside its state keep their format, and that
// processes of a version without them understand the state as before.
func TestGoldenSentIDs(t *testing.T) {
	ids := []proxy.SentID{{Hash: []byte("0123456789abcdef"), Until: 1796290000123456789}, {Hash: []byte{0, 255}, Until: 7}}
	state := offeredState{processState: processState{Listen: "127.0.0.1:6379"}, SentIDs: ids}
	text, err := json.Marshal(state)
	if err != nil {
		t.Fatal(err)
	}
	_, sent, _ := strings.Cut(string(text), `"SentIDs":`)
	golden.CheckBytes(t, "testdata/golden/sent-ids.json", []byte(sent))
	var back offeredState
	if err := json.Unmarshal(text, &back); err != nil || !reflect.DeepEqual(back, state) {
		t.Errorf("read back as\n%+v, %v\nwant\n%+v", back, err, state)
	}
	var older processState
	if err := json.Unmarshal(text, &older); err != nil || !reflect.DeepEqual(older, state.processState) {
		t.Errorf("an older version reads\n%+v, %v\nwant\n%+v", older, err, state.processState)
	}
	state.SentIDs = nil
	text, _ = json.Marshal(state)
	was, _ := json.Marshal(state.processState)
	if string(text) != string(was) {
		t.Errorf("without IDs the state is\n%s\nwant\n%s", text, was)
	}
}
