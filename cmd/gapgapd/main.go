// Command gapgapd is the hosted service: pools, each with a proxy of its own, behind listeners of several protocols.
//
//	gapgapd run FILE      serve until SIGTERM, then until all accepted requests are answered; SIGHUP reloads the file
//	gapgapd check FILE    print what is wrong with a configuration, without starting
//	gapgapd hash          read an API key from standard input and print what the file has for it
package main

import (
	"context"
	"os"

	"gapgap/internal/cli"
)

func main() { os.Exit(cli.Run(context.Background(), newCommand(), os.Args[1:], os.Stderr)) }
