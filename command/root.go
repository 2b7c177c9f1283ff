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
	"strings"

	"github.com/pkg/errors"
	"github.com/spf13/cobra"
)

// Exit codes of the program.
const (
	exitSuccess = 0
	exitFailure = 1
	exitInput   = 2
)

// suggestionDistance is the number of edits between an unknown subcommand and those that are suggested for it.
const suggestionDistance = 2

// subcommands is the index of the program.
var subcommands = map[string]func() *cobra.Command{
	"balancer":  newBalancerCommand,
	"apply":     newApplyCommand,
	"capacity":  newCapacityCommand,
	"forwarder": newForwarderCommand,
	"check":     newCheckCommand,
	"get":       newGetCommand,
	"status":    newStatusCommand,
	"version":   newVersionCommand,
	"watch":     newWatchCommand,
}

// InputError reports settings, tables or arguments that the user has to correct.
type InputError struct {
	Message string
}

func (e *InputError) Error() string { return e.Message }

// Execute runs the command line and returns the exit code.
func Execute(args []string, stdout, stderr io.Writer) int {
	root := newRootCommand()
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

func newRootCommand() *cobra.Command {
	root := &cobra.Command{
		Use:   "cornellb",
		Short: "Layer-4 load balancer",
		Long: `cornellb balances flows from callers over backend servers, as the tables routes and pools say.

The exit code is 0 for success, 1 for a failed operation and 2 for faulty settings, tables or arguments.`,
		SilenceUsage:          true,
		SilenceErrors:         true,
		DisableFlagsInUseLine: true,
		Args:                  knownSubcommand,
		RunE:                  func(c *cobra.Command, _ []string) error { return c.Help() },
	}
	for _, build := range subcommands {
		root.AddCommand(build())
	}
	root.SetHelpCommand(newHelpCommand())
	root.SetFlagErrorFunc(func(_ *cobra.Command, err error) error { return &InputError{Message: err.Error()} })
	return root
}

// newHelpCommand replaces cobra's own, which exits with 0 for an unknown subcommand.
func newHelpCommand() *cobra.Command {
	return &cobra.Command{
		Use:   "help [SUBCOMMAND]",
		Short: "Describe a subcommand and its flags",
		RunE: func(c *cobra.Command, args []string) error {
			described, rest, err := c.Root().Find(args)
			if err != nil || described == c.Root() && len(rest) > 0 {
				return knownSubcommand(c.Root(), args)
			}
			described.InitDefaultHelpFlag()
			return described.Help()
		},
		ValidArgsFunction: func(c *cobra.Command, _ []string, prefix string) ([]cobra.Completion, cobra.ShellCompDirective) {
			var names []cobra.Completion
			for _, s := range c.Root().Commands() {
				if s.IsAvailableCommand() && strings.HasPrefix(s.Name(), prefix) {
					names = append(names, cobra.CompletionWithDesc(s.Name(), s.Short))
				}
			}
			return names, cobra.ShellCompDirectiveNoFileComp
		},
	}
}

// knownSubcommand makes an unknown subcommand faulty input and names similar ones.
func knownSubcommand(root *cobra.Command, args []string) error {
	if len(args) == 0 {
		return nil
	}
	message := fmt.Sprintf("there is no subcommand %q; \"cornellb help\" lists them", args[0])
	root.SuggestionsMinimumDistance = suggestionDistance
	if similar := root.SuggestionsFor(args[0]); len(similar) > 0 {
		message += ", the nearest is " + strings.Join(similar, ", ")
	}
	return &InputError{Message: message}
}
