package admin

import (
	"context"
	"errors"
	"fmt"
	"strings"
)

// Commands of operators.
const (
	commandPing   = "PING"
	commandInfo   = "INFO"
	commandDetach = "DETACH"
	commandAttach = "ATTACH"
)

// Parse reads a line: a command in any case and, where the command wants one, the ID of an endpoint, which is taken
// as it is. Its errors are told to the caller.
func Parse(line string) (command, id string, err error) {
	if !isText(line) {
		return "", "", errors.New("the line is not text")
	}
	parts := strings.Fields(line)
	if len(parts) == 0 {
		return "", "", errors.New("the line is empty")
	}
	command = strings.ToUpper(parts[0])
	wanted := 0
	switch command {
	case commandPing, commandInfo:
	case commandDetach, commandAttach:
		wanted = 1
	default:
		return "", "", fmt.Errorf("unknown call %.40q", parts[0])
	}
	arguments := parts[1:]
	switch {
	case len(arguments) < wanted:
		return "", "", fmt.Errorf("%s wants the ID of a backend", command)
	case len(arguments) > wanted:
		return "", "", fmt.Errorf("%s is followed by more than it wants", command)
	case wanted == 1:
		id = arguments[0]
	}
	return command, id, nil
}

// isText tells whether a line has no control characters but tabs and carriage returns.
func isText(line string) bool {
	for _, r := range line {
		isControl := r < ' ' || r == 0x7f
		if isControl && r != '\t' && r != '\r' {
			return false
		}
	}
	return true
}

// answer carries a line out and returns what the caller is told.
func (f *Front) answer(ctx context.Context, line string) []byte {
	command, id, err := Parse(line)
	if err != nil {
		return refusal(err)
	}
	switch command {
	case commandPing:
		err = f.service.Ready()
	case commandInfo:
		return append(f.service.Figures(), "END\n"...)
	case commandDetach:
		err = f.service.Detach(ctx, id)
	case commandAttach:
		err = f.service.Attach(ctx, id)
	}
	if err != nil {
		return refusal(err)
	}
	return []byte("YES\n")
}

// refusal is the answer to a line that was not carried out, with the reason on one line.
func refusal(reason error) []byte {
	return []byte("NO " + strings.Join(strings.Fields(reason.Error()), " ") + "\n")
}
