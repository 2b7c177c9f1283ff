// Package command holds the subcommands of the cornellb program, one file each.
//
// # Usage
//
// Execute runs a command line and returns the exit code: 0 for success, 1 for a failed operation, 2 for faulty input.
// The map subcommands holds the constructor of every subcommand.
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

// suggestionDistance is the largest edit distance between an unknown subcommand and those that are suggested for it.
const suggestionDistance = 2

// subcommands maps the name of each subcommand to its constructor.
var subcommands = map[string]func() *cobra.Command{
	"balancer":  newBalancerCommand,
	"apply":     newApplyCommand,
	"capacity":  newCapacityCommand,
	"evacuate":  newEvacuateCommand,
	"explain":   newExplainCommand,
	"forwarder": newForwarderCommand,
	"check":     newCheckCommand,
	"get":       newGetCommand,
	"restore":   newRestoreCommand,
	"status":    newStatusCommand,
	"version":   newVersionCommand,
	"watch":     newWatchCommand,
}

// InputError reports faulty settings, tables or arguments. Execute returns exit code 2 for it.
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
		Args:                  unknownSubcommandError,
		RunE:                  func(c *cobra.Command, _ []string) error { return c.Help() },
	}
	for _, build := range subcommands {
		root.AddCommand(build())
	}
	root.SetHelpCommand(newHelpCommand())
	root.SetFlagErrorFunc(func(_ *cobra.Command, err error) error { return &InputError{Message: err.Error()} })
	return root
}

// newHelpCommand replaces cobra's own help command, which exits with 0 for an unknown subcommand.
func newHelpCommand() *cobra.Command {
	return &cobra.Command{
		Use:   "help [SUBCOMMAND]",
		Short: "Describe a subcommand and its flags",
		RunE: func(c *cobra.Command, args []string) error {
			described, rest, err := c.Root().Find(args)
			if err != nil || described == c.Root() && len(rest) > 0 {
				return unknownSubcommandError(c.Root(), args)
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

// unknownSubcommandError returns an *InputError that names the unknown subcommand and suggests similar ones, or nil if
// there is no argument. Cobra calls it only if no subcommand matches.
func unknownSubcommandError(root *cobra.Command, args []string) error {
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
