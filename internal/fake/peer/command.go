package peer

import (
	"fmt"
	"strings"
)

// Command arguments that most tests use.
const (
	// Customer is the ID of a customer.
	Customer = "00000000b4d65521"
	// List holds the parameters of an idempotent request.
	List = "c=evaluate,t=open,d=20000,units=1,spread=1,first=0"
	// Keyed holds the parameters of a request that is idempotent through its idempotency key.
	Keyed = "c=change,t=open,d=20000,k=5c0f6e1a2b3d4c59,units=1,spread=1,first=0,x=new"
	// Unsafe holds the parameters of a request that is not idempotent.
	Unsafe = "c=once,t=open,d=20000,units=1,spread=1,first=0"
)

// Command encodes a command as a RESP2 array of bulk strings.
func Command(args ...string) string {
	var command strings.Builder
	fmt.Fprintf(&command, "*%d\r\n", len(args))
	for _, arg := range args {
		command.WriteString(Bulk(arg))
	}
	return command.String()
}

// Bulk encodes a RESP2 bulk string.
func Bulk(s string) string { return fmt.Sprintf("$%d\r\n%s\r\n", len(s), s) }
