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

// Parse parses a line: a command in any case and, for commands that need one, the ID of an endpoint, whose case is
// kept. The caller is told its errors.
func Parse(line string) (command, id string, err error) {
	if !isText(line) {
		return "", "", errors.New("the line is not text")
	}
	parts := strings.Fields(line)
	if len(parts) == 0 {
		return "", "", errors.New("the line is empty")
	}
	command = strings.ToUpper(parts[0])
	wantedArguments := 0
	switch command {
	case commandPing, commandInfo:
	case commandDetach, commandAttach:
		wantedArguments = 1
	default:
		return "", "", fmt.Errorf("unknown call %.40q", parts[0])
	}
	arguments := parts[1:]
	switch {
	case len(arguments) < wantedArguments:
		return "", "", fmt.Errorf("%s wants the ID of a backend", command)
	case len(arguments) > wantedArguments:
		return "", "", fmt.Errorf("%s is followed by more than it wants", command)
	case wantedArguments == 1:
		id = arguments[0]
	}
	return command, id, nil
}

// isText reports whether a line has no control characters except tabs and carriage returns.
func isText(line string) bool {
	for _, r := range line {
		isControl := r < ' ' || r == 0x7f
		if isControl && r != '\t' && r != '\r' {
			return false
		}
	}
	return true
}

// answer runs the command of a line and returns the answer.
func (f *Frontend) answer(ctx context.Context, line string) []byte {
	command, id, err := Parse(line)
	if err != nil {
		return errorAnswer(err)
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
		return errorAnswer(err)
	}
	return []byte("YES\n")
}

// errorAnswer returns the answer to a line whose command failed, with the reason on one line.
func errorAnswer(reason error) []byte {
	return []byte("NO " + strings.Join(strings.Fields(reason.Error()), " ") + "\n")
}
