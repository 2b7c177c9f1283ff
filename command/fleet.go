package command

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"maps"
	"net/netip"
	"os/signal"
	"slices"
	"strconv"
	"strings"
	"syscall"
	"text/tabwriter"
	"time"

	"github.com/spf13/cobra"

	"cornellb/io/transport/operator"
)

// maxNames is the number of balancers that a message names. The number of the others follows.
const maxNames = 5

// maxVersions is the number of versions that are printed for a failure domain, the highest ones.
const maxVersions = 3

// balancerFlag is common to the commands that ask the balancers of the direct return mode.
type balancerFlag struct {
	address string
}

func (f *balancerFlag) register(c *cobra.Command) {
	c.Flags().StringVar(&f.address, "balancer", "",
		"operator address of any balancer in the direct return mode, for example 192.0.2.1:9464; it names the others")
}

func (f *balancerFlag) isSet() bool { return f.address != "" }

// check returns an *InputError if the address is faulty.
func (f *balancerFlag) check() error {
	if a, err := netip.ParseAddrPort(f.address); err != nil || a.Port() == 0 {
		return &InputError{Message: "--balancer must be an IP address with a port, not " + quotedOrEmpty(f.address)}
	}
	return nil
}

// checkAlone returns an *InputError if the address is faulty or --platform is given too, which would have no effect.
func (f *balancerFlag) checkAlone(p *platformFlags) error {
	if p.url != "" {
		return &InputError{Message: "--platform and --balancer cannot be used together here"}
	}
	return f.check()
}

// summarize asks a balancer for the others, and all of them for their status.
func summarize(ctx context.Context, client *operator.Client, address string) (operator.Summary, error) {
	members, err := client.Members(ctx, address)
	if err != nil {
		return operator.Summary{}, err
	}
	return operator.Summarize(client.Ask(ctx, members)), nil
}

func runBalancerStatus(c *cobra.Command, o *statusOptions) error {
	if err := o.balancer.checkAlone(&o.platform); err != nil {
		return err
	}
	if o.output != outputText && o.output != outputJSON {
		return &InputError{Message: "--output must be text or json, not " + quotedOrEmpty(o.output)}
	}
	ctx, cancel := o.platform.context(c)
	defer cancel()
	client := operator.NewClient()
	defer client.Close()
	s, err := summarize(ctx, client, o.balancer.address)
	if err != nil {
		return err
	}
	if o.output == outputJSON {
		e := json.NewEncoder(c.OutOrStdout())
		e.SetIndent("", "  ")
		return e.Encode(s)
	}
	return printSummary(c.OutOrStdout(), s)
}

func printSummary(w io.Writer, s operator.Summary) error {
	ready := 0
	for _, d := range s.FailureDomains {
		ready += d.Ready
	}
	fmt.Fprintf(w, "balancers: %d of %d answer, %d ready\n\n", s.Answered, s.Balancers, ready)
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	fmt.Fprintln(t, "FAILURE DOMAIN\tBALANCERS\tANSWER\tREADY\tVERSIONS")
	for _, d := range s.FailureDomains {
		fmt.Fprintf(t, "%s\t%d\t%d\t%d\t%s\n", printable(d.FailureDomain), d.Balancers, d.Answered, d.Ready, versionsText(d.Versions))
	}
	if err := t.Flush(); err != nil {
		return err
	}
	fmt.Fprintln(w)
	if len(s.Evacuations) == 0 {
		fmt.Fprintln(w, "evacuated: none")
	}
	for _, e := range s.Evacuations {
		fmt.Fprintf(w, "evacuated %s: %s\n", printable(e.FailureDomain), inForceText(e))
	}
	if len(s.Unanswered) > 0 {
		fmt.Fprintf(w, "no answer: %s\n", namesText(s.Unanswered))
	}
	return nil
}

// versionsText returns versions and the number of balancers that have them in force.
func versionsText(list []operator.VersionCount) string {
	if len(list) == 0 {
		return "-"
	}
	var texts []string
	for _, v := range list[:min(len(list), maxVersions)] {
		texts = append(texts, fmt.Sprintf("%d on %d", v.Version, v.Balancers))
	}
	if others := len(list) - maxVersions; others > 0 {
		texts = append(texts, fmt.Sprintf("%d others", others))
	}
	return strings.Join(texts, ", ")
}

func inForceText(e operator.EvacuationSummary) string {
	text := fmt.Sprintf("in force on %d of %d balancers that answer", e.InForce, e.InForce+len(e.Behind))
	if len(e.Behind) > 0 {
		text += ", not on " + namesText(e.Behind)
	}
	return text
}

// namesText returns the first names and the number of the others.
func namesText(names []string) string {
	var texts []string
	for _, name := range names[:min(len(names), maxNames)] {
		texts = append(texts, printable(name))
	}
	if others := len(names) - maxNames; others > 0 {
		texts = append(texts, fmt.Sprintf("%d others", others))
	}
	return strings.Join(texts, ", ")
}

// printable returns a name from the store or another process, in quotes if it has characters that a terminal interprets.
func printable(name string) string {
	if strings.ContainsFunc(name, func(r rune) bool { return !strconv.IsPrint(r) }) {
		return strconv.Quote(name)
	}
	return name
}

// watchPause times the duration of a read of all balancers is the least time until the next one, so that a large fleet
// spends little on the answers.
const watchPause = 4

// goneText is printed for a subject that the last read no longer has, such as an evacuation that has ended.
const goneText = "no longer"

// fleetWatcher prints what the balancers have in force, whenever it changes.
type fleetWatcher struct {
	out       io.Writer
	lastLines map[string]string // last line printed for each subject
}

func runBalancerWatch(c *cobra.Command, o *watchOptions) error {
	if err := o.balancer.checkAlone(&o.platform); err != nil {
		return err
	}
	parent := c.Context()
	if parent == nil {
		parent = context.Background()
	}
	ctx, stop := signal.NotifyContext(parent, syscall.SIGINT, syscall.SIGTERM)
	defer stop()
	client := operator.NewClient()
	defer client.Close()
	w := &fleetWatcher{out: c.OutOrStdout(), lastLines: make(map[string]string)}
	isFailing := false
	for ctx.Err() == nil {
		began := time.Now()
		s, err := summarizeWithin(ctx, client, o.balancer.address, o.platform.timeout)
		switch {
		case ctx.Err() != nil:
			return nil
		case err != nil && !isFailing:
			fmt.Fprintf(c.ErrOrStderr(), "cornellb: %v\n", err)
		case err == nil && isFailing:
			fmt.Fprintln(c.ErrOrStderr(), "cornellb: the balancer answers again")
		}
		if isFailing = err != nil; err == nil {
			w.print(s)
			if o.until > 0 && hasVersion(s, o.until) {
				return nil
			}
		}
		sleep(ctx, max(statusInterval, watchPause*time.Since(began)))
	}
	return nil
}

func summarizeWithin(ctx context.Context, client *operator.Client, address string, timeout time.Duration) (
	operator.Summary, error,
) {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	return summarize(ctx, client, address)
}

// hasVersion reports whether all balancers answer and have the version, or a higher one, in force.
func hasVersion(s operator.Summary, version uint64) bool {
	for _, d := range s.FailureDomains {
		for _, v := range d.Versions {
			if v.Version < version {
				return false
			}
		}
	}
	return s.Answered == s.Balancers
}

// print prints the lines that have changed, and the subjects that are gone.
func (w *fleetWatcher) print(s operator.Summary) {
	lines := make(map[string]string)
	for _, d := range s.FailureDomains {
		lines[printable(d.FailureDomain)] = fmt.Sprintf("%d of %d balancers ready, version %s",
			d.Ready, d.Balancers, versionsText(d.Versions))
	}
	for _, e := range s.Evacuations {
		lines["evacuated "+printable(e.FailureDomain)] = inForceText(e)
	}
	if len(s.Unanswered) > 0 {
		lines["no answer"] = namesText(s.Unanswered)
	}
	for subject := range w.lastLines {
		if lines[subject] == "" {
			lines[subject] = goneText
		}
	}
	for _, subject := range slices.Sorted(maps.Keys(lines)) {
		if line := lines[subject]; w.lastLines[subject] != line {
			fmt.Fprintf(w.out, "%s: %s\n", subject, line)
			if w.lastLines[subject] = line; line == goneText {
				delete(w.lastLines, subject)
			}
		}
	}
}
