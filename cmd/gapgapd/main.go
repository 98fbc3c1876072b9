// Command gapgapd is the hosted gateway: listeners for several protocols in front of pools, each with its own proxy.
//
//	gapgapd run FILE      serve until SIGTERM, then until all accepted requests are answered; SIGHUP reloads the file
//	gapgapd check FILE    validate a configuration file without starting the service
//	gapgapd hash          read an API key from standard input and print its hash for the configuration file
package main

import (
	"context"
	"os"

	"gapgap/internal/cli"
)

func main() { os.Exit(cli.Run(context.Background(), newCommand(), os.Args[1:], os.Stderr)) }
