// Command standin runs the stand-ins of the outside systems around cornellb, one per subcommand.
package main

import (
	"fmt"
	"os"

	"github.com/spf13/cobra"
)

// subcommands is the index of the program.
var subcommands = map[string]func() *cobra.Command{
	"platform": newPlatformCommand,
}

func main() {
	root := &cobra.Command{
		Use:           "standin",
		Short:         "Stand-ins of the systems around cornellb, for demonstrations and tests",
		SilenceUsage:  true,
		SilenceErrors: true,
	}
	for _, build := range subcommands {
		root.AddCommand(build())
	}
	if err := root.Execute(); err != nil {
		fmt.Fprintf(os.Stderr, "standin: %v\n", err)
		os.Exit(1)
	}
}
