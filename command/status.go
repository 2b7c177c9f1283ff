package command

import (
	"context"
	"fmt"
	"io"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/spf13/cobra"

	"cornellb/core/state/member"
	"cornellb/core/state/table"
	"cornellb/io/protocol/platform"
	transport "cornellb/io/transport/platform"
)

// statusOptions holds the flags of the subcommand.
type statusOptions struct {
	platform platformFlags
	balancer balancerFlag
	output   string
}

// Values of --output.
const (
	outputText = "text"
	outputJSON = "json"
)

func newStatusCommand() *cobra.Command {
	o := &statusOptions{}
	c := &cobra.Command{
		Use:   "status",
		Short: "Print which version of the tables each balancer has in force",
		Long: `Print which version of the tables each balancer has in force, by failure domain.

The readers of a failure domain write its status at most every 5 s and only when it has changed, so that the columns
may be some seconds old.

With --balancer, print what the balancers of the direct return mode have in force, as they say themselves: for each
failure domain how many are ready and their versions of the configuration, and for each evacuated failure domain on how
many balancers the evacuation is in force.`,
		Example: `  cornellb status --platform http://127.0.0.1:7600
  cornellb status --balancer 192.0.2.1:9464 --output json`,
		Args: asInputError(cobra.NoArgs),
		RunE: func(c *cobra.Command, _ []string) error {
			if o.balancer.isSet() {
				return runBalancerStatus(c, o)
			}
			if o.output != outputText {
				return &InputError{Message: "--output needs --balancer"}
			}
			return runStatus(c, &o.platform)
		},
	}
	o.platform.register(c)
	o.balancer.register(c)
	c.Flags().StringVar(&o.output, "output", outputText, "form of the output with --balancer, text or json")
	return c
}

func runStatus(c *cobra.Command, f *platformFlags) error {
	client, err := f.client()
	if err != nil {
		return err
	}
	defer client.Close()
	ctx, cancel := f.context(c)
	defer cancel()
	e := &transport.Editor{Store: client, Clock: transport.SystemClock{}}
	head, err := e.ReadHead(ctx)
	if err != nil {
		return err
	}
	statuses, err := readStatuses(ctx, client, c.ErrOrStderr())
	if err != nil {
		return err
	}
	return printStatus(c.OutOrStdout(), head, statuses)
}

// readStatuses returns the status object of each failure domain. An object that cannot be decoded is reported on stderr
// and skipped.
func readStatuses(ctx context.Context, client *transport.Client, stderr io.Writer) ([]*platform.Status, error) {
	objects, err := client.List(ctx, platform.KindStatus)
	if err != nil {
		return nil, err
	}
	var statuses []*platform.Status
	for _, o := range objects {
		s, err := platform.DecodeStatus(o.Value)
		if err != nil {
			fmt.Fprintf(stderr, "cornellb: status/%s: %v\n", o.Name, err)
			continue
		}
		statuses = append(statuses, s)
	}
	return statuses, nil
}

func printStatus(w io.Writer, head *table.Head, statuses []*platform.Status) error {
	var version uint64
	if head != nil {
		version = head.Version
		last := head.Changes[len(head.Changes)-1]
		fmt.Fprintf(w, "tables: version %d by %s at %s\n", version, last.Operator, last.Time.Format(time.RFC3339))
	} else {
		fmt.Fprintln(w, "tables: none")
	}
	current, serving := countCurrent(statuses, version)
	fmt.Fprintf(w, "members: %d of %d serving members have it in force\n\n", current, serving)
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	fmt.Fprintln(t, "FAILURE DOMAIN\tHOST\tINCARNATION\tSTATE\tVERSION\tREFUSED\tUPDATED")
	for _, s := range statuses {
		for _, m := range s.Members {
			fmt.Fprintf(t, "%s\t%s\t%016x\t%s\t%d\t%s\t%s\n", s.FailureDomain, m.HostID, m.Incarnation, m.State,
				m.TableVersion, refusedText(m.RefusedVersions), s.UpdatedAt.Format(time.RFC3339))
		}
	}
	return t.Flush()
}

// isServing reports whether a member takes new work. The others are not counted, so that a member which leaves does not
// look late with a new version.
func isServing(m platform.MemberStatus) bool {
	return m.State == member.StateAlive.String() || m.State == member.StateSuspect.String()
}

// countCurrent returns how many serving members have the version, or a higher one, in force, and how many members
// serve.
func countCurrent(statuses []*platform.Status, version uint64) (current, serving int) {
	for _, s := range statuses {
		for _, m := range s.Members {
			if !isServing(m) {
				continue
			}
			serving++
			if version > 0 && m.TableVersion >= version {
				current++
			}
		}
	}
	return current, serving
}

func refusedText(refused []platform.RefusedVersion) string {
	if len(refused) == 0 {
		return "-"
	}
	var versions []string
	for _, r := range refused {
		versions = append(versions, fmt.Sprint(r.Version))
	}
	return strings.Join(versions, ",")
}
