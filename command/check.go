package command

import (
	"fmt"
	"os"
	"strings"

	"github.com/spf13/cobra"
	"gopkg.in/yaml.v3"

	"cornellb/io/protocol/platform"
	"cornellb/io/protocol/settings"
)

// fileChecker checks the files that it recognizes and returns an error with all of their faults.
type fileChecker struct {
	name    string
	matches func(data []byte) bool
	check   func(data []byte) error
}

// fileCheckers are asked in this order. The last one takes every file.
var fileCheckers = []fileChecker{
	{name: "settings", matches: isSettings, check: checkSettings},
	{name: "tables", matches: func([]byte) bool { return true }, check: checkTables},
}

func newCheckCommand() *cobra.Command {
	return &cobra.Command{
		Use:   "check FILE...",
		Short: "Check files and print all of their faults",
		Long: `Check tables files without the platform and print all faults of all files.

The exit code is 0 if there are none and 2 otherwise.`,
		Example: "  cornellb check tables.yaml",
		Args:    inputArgs(cobra.MinimumNArgs(1)),
		RunE:    runCheck,
	}
}

func runCheck(c *cobra.Command, files []string) error {
	var faulty []string
	for _, file := range files {
		name, err := checkFile(file)
		if err != nil {
			faulty = append(faulty, fmt.Sprintf("%s: %v", file, err))
			continue
		}
		fmt.Fprintf(c.OutOrStdout(), "%s: %s ok\n", file, name)
	}
	if len(faulty) > 0 {
		return &InputError{Message: strings.Join(faulty, "\n")}
	}
	return nil
}

func checkFile(file string) (string, error) {
	data, err := os.ReadFile(file)
	if err != nil {
		return "", err
	}
	for _, f := range fileCheckers {
		if f.matches(data) {
			return f.name, f.check(data)
		}
	}
	return "", &InputError{Message: "unknown kind of file"}
}

// isSettings tells settings from tables by a name that only settings have on the top level.
func isSettings(data []byte) bool {
	var names map[string]any
	if err := yaml.Unmarshal(data, &names); err != nil {
		return false
	}
	_, ok := names["ticket_keys"]
	return ok
}

func checkSettings(data []byte) error {
	_, err := settings.Parse("settings", data)
	return err
}

func checkTables(data []byte) error {
	_, err := platform.DecodeTables(data)
	return err
}

// inputArgs makes wrong arguments faulty input.
func inputArgs(check cobra.PositionalArgs) cobra.PositionalArgs {
	return func(c *cobra.Command, args []string) error {
		if err := check(c, args); err != nil {
			return &InputError{Message: err.Error()}
		}
		return nil
	}
}
