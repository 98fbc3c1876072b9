package handover

import (
	"encoding/json"
	"fmt"
	"testing"

	"gapgap/internal/golden"
)

// TestGoldenPackets verifies that the packets between two processes keep their format: kinds, text of the greeting,
// socket name and limits.
func TestGoldenPackets(t *testing.T) {
	text, err := json.Marshal(hello{Version, 4711})
	if err != nil {
		t.Fatal(err)
	}
	kinds := []byte{kindHello, kindRefused, kindState, kindListen, kindConfirm, kindConn}
	out := fmt.Sprintf("%s %s %s %d %d %d %d %s\n", kinds, text, socketName, maxStateBytes, chunkBytes,
		maxPacketBytes, MaxUnreadBytes, stepTimeout)
	golden.CheckBytes(t, "testdata/golden/packets.txt", []byte(out))
}
