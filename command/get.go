package command

import (
	"fmt"
	"time"

	"github.com/spf13/cobra"

	"cornellb/core/state/table"
	"cornellb/io/protocol/platform"
	transport "cornellb/io/transport/platform"
)

// getOptions holds the flags of the subcommand.
type getOptions struct {
	platform platformFlags
	changes  bool
}

func newGetCommand() *cobra.Command {
	o := &getOptions{}
	c := &cobra.Command{
		Use:   "get",
		Short: "Print the tables in the platform",
		Long: `Print the tables in the platform as a file for "cornellb apply", or the last changes.

The file is of version 0 and empty if there are no tables yet.`,
		Example: "  cornellb get --platform http://127.0.0.1:7600 >tables.yaml",
		Args:    asInputError(cobra.NoArgs),
		RunE:    func(c *cobra.Command, _ []string) error { return runGet(c, o) },
	}
	o.platform.register(c)
	c.Flags().BoolVar(&o.changes, "changes", false, "print the last changes, oldest first, instead of the tables")
	return c
}

func runGet(c *cobra.Command, o *getOptions) error {
	client, err := o.platform.client()
	if err != nil {
		return err
	}
	defer client.Close()
	ctx, cancel := o.platform.context(c)
	defer cancel()
	e := &transport.Editor{Store: client, Clock: transport.SystemClock{}}
	if o.changes {
		h, err := e.ReadHead(ctx)
		if err != nil {
			return err
		}
		return printChanges(c, h)
	}
	t, err := e.Read(ctx)
	if err != nil {
		return err
	}
	data, err := platform.EncodeTables(t)
	if err != nil {
		return err
	}
	_, err = c.OutOrStdout().Write(data)
	return err
}

func printChanges(c *cobra.Command, h *table.Head) error {
	if h == nil {
		return nil
	}
	for _, change := range h.Changes {
		_, err := fmt.Fprintf(c.OutOrStdout(), "version %d by %s at %s, change %s\n",
			change.Version, change.Operator, change.Time.Format(time.RFC3339), change.ID)
		if err != nil {
			return err
		}
	}
	return nil
}
