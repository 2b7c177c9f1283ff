package command

import (
	"fmt"
	"os"
	"slices"
	"strings"

	"github.com/spf13/cobra"
	"gopkg.in/yaml.v3"

	"cornellb/core/state/table"
	"cornellb/io/protocol/platform"
	"cornellb/io/protocol/settings"
)

// fileChecker checks files of one kind. check returns an error with the name of the file and all of its faults.
type fileChecker struct {
	name    string
	matches func(data []byte) bool
	check   func(file string, data []byte) error
}

// fileCheckers are tried in this order. The last one matches every file.
var fileCheckers = []fileChecker{
	{name: "settings", matches: isSettings, check: checkSettings},
	{name: "tables", matches: func([]byte) bool { return true }, check: checkTables},
}

func newCheckCommand() *cobra.Command {
	return &cobra.Command{
		Use:   "check FILE...",
		Short: "Check settings and tables files and print all of their faults",
		Long: `Check settings and tables files without the platform and print all faults of all files.

A file with a setting and without tables on its top level is a settings file; every other file is a tables file.

The exit code is 0 if there are no faults and 2 otherwise.`,
		Example: "  cornellb check balancer.yaml tables.yaml",
		Args:    asInputError(cobra.MinimumNArgs(1)),
		RunE:    runCheck,
	}
}

func runCheck(c *cobra.Command, files []string) error {
	var faulty []string
	for _, file := range files {
		name, err := checkFile(file)
		if err != nil {
			faulty = append(faulty, err.Error())
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
		return "", fmt.Errorf("%s: %w", file, err)
	}
	for _, f := range fileCheckers {
		if f.matches(data) {
			return f.name, f.check(file, data)
		}
	}
	return "", &InputError{Message: file + ": unknown kind of file"}
}

// isSettings reports whether the file has a setting, and neither routes nor pools, among its top-level keys.
func isSettings(data []byte) bool {
	var names map[string]any
	if err := yaml.Unmarshal(data, &names); err != nil {
		return false
	}
	for _, name := range []string{table.Routes, table.Pools} {
		if _, ok := names[name]; ok {
			return false
		}
	}
	return slices.ContainsFunc(settings.Names(), func(name string) bool {
		_, ok := names[name]
		return ok
	})
}

func checkSettings(file string, data []byte) error {
	_, err := settings.Parse(file, data)
	return err
}

func checkTables(file string, data []byte) error {
	_, err := platform.DecodeTables(data)
	if err != nil {
		return fmt.Errorf("%s: %w", file, err)
	}
	return nil
}

// asInputError wraps a check of the arguments so that its error becomes an *InputError.
func asInputError(check cobra.PositionalArgs) cobra.PositionalArgs {
	return func(c *cobra.Command, args []string) error {
		if err := check(c, args); err != nil {
			return &InputError{Message: err.Error()}
		}
		return nil
	}
}
