// Package command holds the subcommands of the cornellb program, one file each.
//
// # Usage
//
// Execute runs a command line and returns the exit code: 0 for success, 1 for a failed operation, 2 for faulty input.
// The table subcommands lists every subcommand with its constructor.
package command

import (
	"fmt"
	"io"

	"github.com/pkg/errors"
	"github.com/spf13/cobra"
)

// Exit codes of the program.
const (
	exitSuccess = 0
	exitFailure = 1
	exitInput   = 2
)

// subcommands is the index of the program.
var subcommands = map[string]func() *cobra.Command{
	"balancer": newBalancerCommand,
	"apply":    newApplyCommand,
	"capacity": newCapacityCommand,
	"check":    newCheckCommand,
	"get":      newGetCommand,
	"status":   newStatusCommand,
	"version":  newVersionCommand,
	"watch":    newWatchCommand,
}

// InputError reports settings, tables or arguments that the user has to correct.
type InputError struct {
	Message string
}

func (e *InputError) Error() string { return e.Message }

// Execute runs the command line and returns the exit code.
func Execute(args []string, stdout, stderr io.Writer) int {
	root := &cobra.Command{
		Use:           "cornellb",
		Short:         "Layer-4 load balancer",
		Long:          "cornellb balances flows from callers over backend servers, as the tables routes and pools say.",
		SilenceUsage:  true,
		SilenceErrors: true,
	}
	for _, build := range subcommands {
		root.AddCommand(build())
	}
	root.SetFlagErrorFunc(func(_ *cobra.Command, err error) error { return &InputError{Message: err.Error()} })
	root.SetArgs(args)
	root.SetOut(stdout)
	root.SetErr(stderr)
	err := root.Execute()
	if err == nil {
		return exitSuccess
	}
	fmt.Fprintf(stderr, "cornellb: %v\n", err)
	var input *InputError
	if errors.As(err, &input) {
		return exitInput
	}
	return exitFailure
}
