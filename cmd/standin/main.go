// Command standin runs the stand-ins for the systems around cornellb: the platform, the fabric, backend servers and
// callers. Its subcommand verdict checks the result of a run, and wait waits until servers are ready.
//
// # Usage
//
//	standin fabric --help
//
// Every subcommand describes its flags. The servers run until they receive SIGINT or SIGTERM.
package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"syscall"

	"github.com/spf13/cobra"
)

// subcommands maps the name of each subcommand to the function that builds it.
var subcommands = map[string]func() *cobra.Command{
	"backend":  newBackendCommand,
	"caller":   newCallerCommand,
	"fabric":   newFabricCommand,
	"platform": newPlatformCommand,
	"store":    newStoreCommand,
	"verdict":  newVerdictCommand,
	"wait":     newWaitCommand,
}

func main() {
	root := &cobra.Command{
		Use:           "standin",
		Short:         "Stand-ins for the systems around cornellb",
		SilenceUsage:  true,
		SilenceErrors: true,
	}
	for _, build := range subcommands {
		root.AddCommand(build())
	}
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGINT, syscall.SIGTERM)
	err := root.ExecuteContext(ctx)
	stop()
	if err != nil {
		fmt.Fprintf(os.Stderr, "standin: %v\n", err)
		os.Exit(1)
	}
}
