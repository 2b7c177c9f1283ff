package command

import (
	"fmt"
	"runtime/debug"

	"github.com/spf13/cobra"
)

// Version is the release, set by the linker.
var Version = "development"

func newVersionCommand() *cobra.Command {
	return &cobra.Command{
		Use:   "version",
		Short: "Print the version of the program and of the Go tools that built it",
		Args:  asInputError(cobra.NoArgs),
		RunE: func(c *cobra.Command, _ []string) error {
			goVersion := "unknown"
			if info, ok := debug.ReadBuildInfo(); ok {
				goVersion = info.GoVersion
			}
			_, err := fmt.Fprintf(c.OutOrStdout(), "cornellb %s (%s)\n", Version, goVersion)
			return err
		},
	}
}
