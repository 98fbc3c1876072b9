package rig

import (
	"errors"
	"fmt"
	"io"
	"strings"
	"time"
)

// errUnexpectedAnswer reports an answer that neither admits nor rejects the request.
var errUnexpectedAnswer = errors.New("neither admitted nor rejected")

// writeCommand writes a command as a RESP2 array of bulk strings.
func writeCommand(w io.Writer, words ...string) error {
	var command strings.Builder
	fmt.Fprintf(&command, "*%d\r\n", len(words))
	for _, word := range words {
		fmt.Fprintf(&command, "$%d\r\n%s\r\n", len(word), word)
	}
	_, err := io.WriteString(w, command.String())
	return err
}

// evaluateParameters returns the parameters of a request of class "evaluate".
func evaluateParameters(deadline time.Duration, spread int) string {
	return fmt.Sprintf("c=evaluate,t=business,d=%d,units=1,spread=%d,first=0", deadline.Milliseconds(), spread)
}

// changeParameters returns the parameters of a request of class "change".
func changeParameters(deadline time.Duration, key string, spread int) string {
	return fmt.Sprintf("c=change,t=trade,d=%d,k=%s,units=1,spread=%d,first=0", deadline.Milliseconds(), key, spread)
}
