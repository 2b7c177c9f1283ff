package command

import (
	"encoding/json"
	"fmt"
	"io"
	"net/netip"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/spf13/cobra"

	"cornellb/io/transport/operator"
)

// exampleClient is the client of a question without --from, from the range for documentation.
var exampleClient = netip.MustParseAddrPort("192.0.2.100:40000")

// explainOptions holds the flags of the subcommand.
type explainOptions struct {
	balancer balancerFlag
	from     string
	output   string
}

func newExplainCommand() *cobra.Command {
	o := &explainOptions{}
	c := &cobra.Command{
		Use:   "explain ADDRESS:PORT --balancer ADDRESS:PORT",
		Short: "Explain where a request would go now, and why",
		Long: `Explain where a request to a service address would go now, and why, without sending it.

The balancer that is given answers for a new flow that its first packet opens; another balancer may decide otherwise.
It must be in the direct return mode. Nothing changes by the question. The likelihood of an endpoint is the part of many
trial choices that end there, in the present state.

The exit code is 0 if there is an explanation, also of a request that would be refused, 1 if the balancer does not
answer, and 2 if an argument is faulty.`,
		Example: `  cornellb explain 198.18.0.1:443 --balancer 192.0.2.1:9464
  cornellb explain 198.18.0.1:443 --from 203.0.113.7:40001 --balancer 192.0.2.1:9464 --output json`,
		Args: asInputError(cobra.ExactArgs(1)),
		RunE: func(c *cobra.Command, args []string) error { return runExplain(c, o, args[0]) },
	}
	c.Flags().StringVar(&o.balancer.address, "balancer", "",
		"operator address of the balancer that is asked, for example 192.0.2.1:9464")
	c.Flags().StringVar(&o.from, "from", "", "address and port of the client, by default the example "+exampleClient.String())
	c.Flags().StringVar(&o.output, "output", outputText, "form of the output, text or json")
	return c
}

func runExplain(c *cobra.Command, o *explainOptions, address string) error {
	service, err := operator.ParseAddress(address)
	if err != nil {
		return &InputError{Message: "the service address " + err.Error()}
	}
	client := exampleClient
	if c.Flags().Changed("from") {
		if client, err = operator.ParseAddress(o.from); err != nil {
			return &InputError{Message: "--from " + err.Error()}
		}
	}
	if err := o.balancer.check(); err != nil {
		return err
	}
	if o.output != outputText && o.output != outputJSON {
		return &InputError{Message: "--output must be text or json, not " + quotedOrEmpty(o.output)}
	}
	asker := operator.NewClient()
	defer asker.Close()
	x, err := asker.Explain(c.Context(), o.balancer.address, service, client)
	if err != nil {
		return err
	}
	if o.output == outputJSON {
		e := json.NewEncoder(c.OutOrStdout())
		e.SetIndent("", "  ")
		return e.Encode(x)
	}
	return printExplanation(c.OutOrStdout(), x, c.Flags().Changed("from"))
}

func printExplanation(w io.Writer, x *operator.Explanation, hasClient bool) error {
	example := ""
	if !hasClient {
		example = " (an example; --from gives another)"
	}
	fmt.Fprintf(w, "request: from %s%s to %s\n", x.Client, example, x.Service)
	fmt.Fprintf(w, "balancer: %s in %s\n", printable(x.Host), printable(x.FailureDomain))
	decision := x.Verdict
	if x.Reason != "" {
		decision += ", " + printable(x.Reason)
	}
	fmt.Fprintf(w, "decision: %s\nrule: %s\n", printable(decision), printable(x.Rule))
	age := "not confirmed yet"
	if x.VersionAgeMS >= 0 {
		age = fmt.Sprintf("confirmed %s ago", milliseconds(x.VersionAgeMS))
	}
	fmt.Fprintf(w, "configuration: version %d, %s\n", x.Version, age)
	if x.Route != nil {
		var targets []string
		for _, t := range x.Route.Targets {
			targets = append(targets, fmt.Sprintf("%s (weight %g)", printable(t.Service), t.Weight))
		}
		fmt.Fprintf(w, "route: %s with priority %d, to %s\n", printable(x.Route.Name), x.Route.Priority, strings.Join(targets, ", "))
		fmt.Fprintf(w, "service: %s\n", printable(x.Selected))
	}
	if a := x.Admission; a != nil && a.IsLimited {
		fmt.Fprintf(w, "admission: utilization %.2f, refusal probability %.2f, hash of the flow %.2f, admitted: %s\n",
			a.Utilization, a.Refusal, a.Hash, yesNo(a.IsAdmitted))
	} else if a != nil {
		fmt.Fprintln(w, "admission: not limited, since the routes of the service do not differ in priority")
	}
	if len(x.FailureDomains) > 0 {
		fmt.Fprintln(w)
		t := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
		fmt.Fprintln(t, "FAILURE DOMAIN\tOWN\tEVACUATED\tSUSPECT\tLOAD\tENDPOINTS\tMAY GET FLOWS")
		for _, d := range x.FailureDomains {
			fmt.Fprintf(t, "%s\t%s\t%s\t%s\t%.2f\t%d\t%d\n", printable(d.Name), yesNo(d.IsOwn), yesNo(d.IsEvacuated),
				yesNo(d.IsSuspect), d.Load, d.Endpoints, d.Eligible)
		}
		if err := t.Flush(); err != nil {
			return err
		}
	}
	return printCandidates(w, x)
}

func printCandidates(w io.Writer, x *operator.Explanation) error {
	if len(x.Candidates) == 0 {
		return nil
	}
	fmt.Fprintln(w)
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	fmt.Fprintln(t, "ENDPOINT\tFAILURE DOMAIN\tLIKELIHOOD\tCOST\tLOAD\tFLOWS\tSPEED\tPENALTY\tSUSPECT\tCOLD\tMAY OPEN")
	for _, c := range x.Candidates {
		likelihood, cost := "-", "-"
		if x.Trials > 0 {
			likelihood = fmt.Sprintf("%.0f %%", 100*c.Likelihood)
		}
		if c.MayOpen {
			cost = fmt.Sprintf("%.2f", c.Cost)
		}
		suspect, cold := "no", "no"
		if c.IsSuspect {
			suspect = "being tried"
			if c.SuspectForMS > 0 {
				suspect = "for " + milliseconds(c.SuspectForMS)
			}
		}
		if c.ColdForMS > 0 {
			cold = "for " + milliseconds(c.ColdForMS)
		}
		fmt.Fprintf(t, "%s\t%s\t%s\t%s\t%.2f\t%.1f\t%.2f\t%.2f\t%s\t%s\t%s\n", printable(c.Endpoint), printable(c.Domain),
			likelihood, cost, c.Load, c.Flows, c.Speed, c.Penalty, suspect, cold, yesNo(c.MayOpen))
	}
	if err := t.Flush(); err != nil {
		return err
	}
	if x.Others > 0 {
		fmt.Fprintf(w, "and %d others\n", x.Others)
	}
	return nil
}

func milliseconds(n int64) string { return (time.Duration(n) * time.Millisecond).String() }

func yesNo(b bool) string {
	if b {
		return "yes"
	}
	return "no"
}
