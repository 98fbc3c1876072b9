package peer

import (
	"fmt"
	"strings"
)

// Parts of commands that most tests use.
const (
	// Customer is a customer.
	Customer = "00000000b4d65521"
	// List is the parameters of an idempotent request.
	List = "c=evaluate,t=open,d=20000,units=1,spread=1,first=0"
	// Keyed is the parameters of a request that is idempotent with a key.
	Keyed = "c=change,t=open,d=20000,k=5c0f6e1a2b3d4c59,units=1,spread=1,first=0,x=new"
	// Unsafe is the parameters of a request that is not idempotent.
	Unsafe = "c=once,t=open,d=20000,units=1,spread=1,first=0"
)

// Command returns the bytes of a command: an array of bulk strings.
func Command(args ...string) string {
	var command strings.Builder
	fmt.Fprintf(&command, "*%d\r\n", len(args))
	for _, arg := range args {
		command.WriteString(Bulk(arg))
	}
	return command.String()
}

// Bulk returns the bytes of a bulk string.
func Bulk(s string) string { return fmt.Sprintf("$%d\r\n%s\r\n", len(s), s) }
