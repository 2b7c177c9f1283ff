package command

import (
	"context"
	"fmt"
	"os/signal"
	"syscall"
	"time"

	"github.com/pkg/errors"
	"github.com/spf13/cobra"

	"cornellb/core/state/table"
	"cornellb/io/protocol/platform"
	transport "cornellb/io/transport/platform"
)

// statusInterval is the time between two reads of the status objects.
const statusInterval = time.Second

// watchOptions holds the flags of the subcommand.
type watchOptions struct {
	platform platformFlags
	balancer balancerFlag
	until    uint64
}

func newWatchCommand() *cobra.Command {
	o := &watchOptions{}
	c := &cobra.Command{
		Use:   "watch",
		Short: "Print new versions of the tables and where they are in force",
		Long: `Print new versions of the tables and the version that each balancer has in force, whenever they change.

The command runs until it is interrupted or, with --until, until all serving balancers have that version in force. It
goes on while the platform is unavailable; --timeout bounds a single call.

With --balancer, print what the balancers of the direct return mode have in force, as "cornellb status" describes it,
whenever it changes. --until then means a version of the configuration.`,
		Example: `  cornellb watch --platform http://127.0.0.1:7600 --until 7
  cornellb watch --balancer 192.0.2.1:9464`,
		Args: asInputError(cobra.NoArgs),
		RunE: func(c *cobra.Command, _ []string) error {
			if o.balancer.isSet() {
				return runBalancerWatch(c, o)
			}
			return runWatch(c, o)
		},
	}
	o.platform.register(c)
	o.balancer.register(c)
	c.Flags().Uint64Var(&o.until, "until", 0, "end when all serving balancers have this version in force")
	return c
}

// watcher prints changes of the tables and of the versions that the members have in force.
type watcher struct {
	command     *cobra.Command
	client      *transport.Client
	until       uint64
	headVersion uint64            // version of the head object
	lastLines   map[string]string // last line printed for each member
	isFailing   bool
}

func runWatch(c *cobra.Command, o *watchOptions) error {
	client, err := o.platform.client()
	if err != nil {
		return err
	}
	defer client.Close()
	parent := c.Context()
	if parent == nil {
		parent = context.Background()
	}
	ctx, stop := signal.NotifyContext(parent, syscall.SIGINT, syscall.SIGTERM)
	defer stop()
	w := &watcher{command: c, client: client, until: o.until, lastLines: make(map[string]string)}
	for ctx.Err() == nil {
		isDone, err := w.step(ctx)
		if isDone {
			return nil
		}
		w.reportAvailability(ctx, err)
		if err != nil {
			sleep(ctx, statusInterval)
		}
	}
	return nil
}

func sleep(ctx context.Context, d time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(d):
	}
}

// reportAvailability prints when a step fails after a success, and when it succeeds after a failure.
func (w *watcher) reportAvailability(ctx context.Context, err error) {
	if ctx.Err() != nil {
		return
	}
	if err != nil && !w.isFailing {
		fmt.Fprintf(w.command.ErrOrStderr(), "cornellb: %v\n", err)
	}
	if err == nil && w.isFailing {
		fmt.Fprintln(w.command.ErrOrStderr(), "cornellb: the platform is available again")
	}
	w.isFailing = err != nil
}

// step waits up to statusInterval for a new head, then reads the status objects and prints what has changed. isDone is
// true if all serving members have the version until in force.
func (w *watcher) step(ctx context.Context) (isDone bool, err error) {
	kind, name := platform.KindTables, platform.NameHead
	o, isChanged, err := w.client.Watch(ctx, kind, name, w.headVersion, statusInterval)
	var missing *transport.NotFoundError
	if errors.As(err, &missing) {
		sleep(ctx, statusInterval) // a platform that reports a missing object has not waited
	} else if err != nil {
		return false, err
	}
	if isChanged {
		h, err := table.DecodeHead(o.Value)
		if err != nil {
			return false, err
		}
		w.headVersion = o.Version
		last := h.Changes[len(h.Changes)-1]
		fmt.Fprintf(w.command.OutOrStdout(), "tables: version %d by %s\n", h.Version, last.Operator)
	}
	statuses, err := readStatuses(ctx, w.client, w.command.ErrOrStderr())
	if err != nil {
		return false, err
	}
	w.print(statuses)
	current, serving := countCurrent(statuses, w.until)
	return w.until > 0 && serving > 0 && current == serving, nil
}

// print prints the members whose line has changed, and those that are gone.
func (w *watcher) print(statuses []*platform.Status) {
	seen := make(map[string]bool)
	for _, s := range statuses {
		for _, m := range s.Members {
			key := fmt.Sprintf("%s %s %016x", s.FailureDomain, m.HostID, m.Incarnation)
			line := fmt.Sprintf("%s: %s, version %d", key, m.State, m.TableVersion)
			if len(m.RefusedVersions) > 0 {
				line += ", refused " + refusedText(m.RefusedVersions)
			}
			seen[key] = true
			if w.lastLines[key] != line {
				w.lastLines[key] = line
				fmt.Fprintln(w.command.OutOrStdout(), line)
			}
		}
	}
	for key := range w.lastLines {
		if !seen[key] {
			delete(w.lastLines, key)
			fmt.Fprintf(w.command.OutOrStdout(), "%s: gone\n", key)
		}
	}
}
