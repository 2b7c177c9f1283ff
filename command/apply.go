package command

import (
	"crypto/rand"
	"fmt"
	"os"
	"os/user"

	"github.com/spf13/cobra"

	"cornellb/io/protocol/platform"
	transport "cornellb/io/transport/platform"
)

// applyOptions holds the flags of the subcommand.
type applyOptions struct {
	platform platformFlags
	operator string
}

func newApplyCommand() *cobra.Command {
	o := &applyOptions{}
	c := &cobra.Command{
		Use:   "apply FILE",
		Short: "Make a tables file the next version of the tables",
		Long: `Make a tables file the next version of the tables.

The file names the version from which it was edited, as "cornellb get" wrote it; 0 for the first tables. If the
platform has another version, nothing is changed and the error names both versions. A response that is lost is settled
by reading the tables back.

The exit code is 0 if the change was accepted, 2 if the file is faulty, and 1 otherwise.`,
		Example: `  cornellb get --platform http://127.0.0.1:7600 >tables.yaml
  cornellb apply tables.yaml --platform http://127.0.0.1:7600`,
		Args: asInputError(cobra.ExactArgs(1)),
		RunE: func(c *cobra.Command, args []string) error { return runApply(c, o, args[0]) },
	}
	o.platform.register(c)
	c.Flags().StringVar(&o.operator, "operator", currentUser(), "name recorded with the change, by default that of the user")
	c.Flags().Lookup("operator").DefValue = "" // the help text is the same for every user
	return c
}

func currentUser() string {
	if u, err := user.Current(); err == nil {
		return u.Username
	}
	return "unknown"
}

func runApply(c *cobra.Command, o *applyOptions, file string) error {
	client, err := o.platform.client()
	if err != nil {
		return err
	}
	defer client.Close()
	data, err := os.ReadFile(file)
	if err != nil {
		return &InputError{Message: err.Error()}
	}
	t, err := platform.DecodeTables(data)
	if err != nil {
		return &InputError{Message: fmt.Sprintf("%s: %v", file, err)}
	}
	ctx, cancel := o.platform.context(c)
	defer cancel()
	e := &transport.Editor{Store: client, Clock: transport.SystemClock{}, Operator: o.operator, NewID: rand.Text}
	result, err := e.Apply(ctx, t)
	if err != nil {
		return err
	}
	if !result.IsChanged {
		_, err = fmt.Fprintf(c.OutOrStdout(), "no change: version %d has the same tables\n", result.Version)
		return err
	}
	_, err = fmt.Fprintf(c.OutOrStdout(), "accepted as version %d\n", result.Version)
	return err
}
