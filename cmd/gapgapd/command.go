package main

import (
	"bufio"
	"crypto/sha256"
	"errors"
	"fmt"
	"strings"

	"github.com/spf13/cobra"

	"gapgap/internal/cli"
	"gapgap/internal/service/hosted"
)

// newCommand returns the root command of gapgapd.
func newCommand() *cobra.Command {
	root := &cobra.Command{Use: "gapgapd", Short: "Gateway with listeners for several protocols"}
	root.AddCommand(newRunCommand(), newCheckCommand(), newHashCommand())
	return root
}

func newRunCommand() *cobra.Command {
	var log cli.Log
	command := &cobra.Command{
		Use:   "run FILE",
		Short: "Serve until SIGTERM; SIGHUP reloads the file",
		Args:  cobra.ExactArgs(1),
		RunE: func(_ *cobra.Command, args []string) error {
			logger, err := log.Logger()
			if err != nil {
				return err
			}
			return serve(args[0], logger)
		},
	}
	log.Flags(command)
	return command
}

func newCheckCommand() *cobra.Command {
	return &cobra.Command{
		Use:   "check FILE",
		Short: "Validate a configuration file without starting the service",
		Args:  cobra.ExactArgs(1),
		RunE: func(command *cobra.Command, args []string) error {
			if _, err := hosted.Load(args[0]); err != nil {
				return err
			}
			_, err := fmt.Fprintln(command.OutOrStdout(), args[0]+": good")
			return err
		},
	}
}

func newHashCommand() *cobra.Command {
	return &cobra.Command{
		Use:   "hash",
		Short: "Read an API key from standard input and print its hash for the configuration file",
		Args:  cobra.NoArgs,
		RunE: func(command *cobra.Command, _ []string) error {
			key, err := bufio.NewReader(command.InOrStdin()).ReadString('\n')
			key = strings.TrimRight(key, "\r\n")
			if key == "" {
				return errors.Join(errors.New("no key on standard input"), err)
			}
			_, err = fmt.Fprintf(command.OutOrStdout(), "%x\n", sha256.Sum256([]byte(key)))
			return err
		},
	}
}
