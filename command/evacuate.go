package command

import (
	"context"
	"fmt"
	"strconv"
	"strings"
	"time"
	"unicode/utf8"

	"github.com/spf13/cobra"

	"cornellb/core/state/directory"
	"cornellb/io/transport/operator"
	transport "cornellb/io/transport/platform"
	"cornellb/platform"
)

const (
	// evacuationTimeout limits the commands. An evacuation is in force within 5 s, and up to 15 s later while the store is
	// not fully available; the rest is for the write and for the last answers.
	evacuationTimeout = 25 * time.Second
	// evacuationCallTimeout limits a call to the store, so that several fit into the time of the command while answers are
	// lost.
	evacuationCallTimeout = 3 * time.Second
	// evacuationInterval is the least time between two questions to the balancers that are behind.
	evacuationInterval = 500 * time.Millisecond
	// listInterval is the least time between two reads of the list of balancers, which is large in a large fleet.
	listInterval = 2 * time.Second
)

// evacuationOptions holds the flags of evacuate and restore.
type evacuationOptions struct {
	platform platformFlags
	balancer balancerFlag
}

func (o *evacuationOptions) register(c *cobra.Command) {
	o.platform.register(c)
	o.platform.timeout = evacuationTimeout
	c.Flags().Lookup("timeout").DefValue = evacuationTimeout.String()
	o.balancer.register(c)
}

// evacuationHelp describes what evacuate and restore have in common.
const evacuationHelp = `
The command writes to the platform's store, which takes effect in the direct return mode ("cornellb forwarder"). The
request mode ("cornellb balancer") does not know evacuations. A response that is lost is settled by reading the store.

The exit code is 0 on success, also if there was nothing to change, 2 if an argument is faulty, and 1 otherwise.`

func newEvacuateCommand() *cobra.Command {
	o := &evacuationOptions{}
	c := &cobra.Command{
		Use:   "evacuate DOMAIN",
		Short: "Send no new flows to the endpoints of a failure domain",
		Long: `Send no new flows to the endpoints of a failure domain, until "cornellb restore" ends that. Open flows stay.

With --balancer, the command waits until the evacuation is in force on all balancers that the given one reaches. If it
is not before --timeout ends, it fails and names the balancers that are behind; the evacuation stays in the store.
` + evacuationHelp,
		Example: `  cornellb evacuate attiki-1 --platform http://192.0.2.9:7600 --balancer 192.0.2.1:9464`,
		Args:    asInputError(cobra.ExactArgs(1)),
		RunE:    func(c *cobra.Command, args []string) error { return runEvacuation(c, o, args[0], true) },
	}
	o.register(c)
	return c
}

func newRestoreCommand() *cobra.Command {
	o := &evacuationOptions{}
	c := &cobra.Command{
		Use:   "restore DOMAIN",
		Short: "End the evacuation of a failure domain",
		Long: `End the evacuation of a failure domain, so that its endpoints get new flows again.

With --balancer, the command waits until the evacuation is lifted on all balancers that the given one reaches. If it is
not before --timeout ends, it fails and names the balancers that are behind.
` + evacuationHelp,
		Example: `  cornellb restore attiki-1 --platform http://192.0.2.9:7600 --balancer 192.0.2.1:9464`,
		Args:    asInputError(cobra.ExactArgs(1)),
		RunE:    func(c *cobra.Command, args []string) error { return runEvacuation(c, o, args[0], false) },
	}
	o.register(c)
	return c
}

// checkDomain returns an *InputError for a name that is no failure domain. To end an evacuation, every name is allowed that
// a path of the store can hold, as other programs may have written it.
func checkDomain(name string, isEvacuated bool) error {
	reason := ""
	switch {
	case name == "":
		reason = "is empty"
	case name == "." || name == "..":
		reason = "cannot be part of a path"
	case !isEvacuated:
		return nil
	case len(name) > directory.MaxNameBytes:
		reason = fmt.Sprintf("has %d bytes, at most %d are possible", len(name), directory.MaxNameBytes)
	case !utf8.ValidString(name) || strings.ContainsFunc(name, func(r rune) bool { return r == ' ' || !strconv.IsPrint(r) }):
		reason = "has spaces or unprintable characters"
	case strings.Contains(name, "/"):
		reason = "cannot be part of a path"
	default:
		return nil
	}
	return &InputError{Message: fmt.Sprintf("failure domain %.40q %s", name, reason)}
}

func runEvacuation(c *cobra.Command, o *evacuationOptions, domain string, isEvacuated bool) error {
	if err := checkDomain(domain, isEvacuated); err != nil {
		return err
	}
	if o.balancer.isSet() {
		if err := o.balancer.check(); err != nil {
			return err
		}
	}
	client, err := o.platform.clientWithin(evacuationCallTimeout)
	if err != nil {
		return err
	}
	defer client.Close()
	ctx, cancel := o.platform.context(c)
	defer cancel()
	store := &platform.Store{Client: client, Clock: transport.SystemClock{}}
	e := &transport.Evacuator{Store: store, Clock: transport.SystemClock{}}
	write := e.Restore
	if isEvacuated {
		write = e.Evacuate
	}
	isChanged, err := write(ctx, domain)
	if err != nil {
		return err
	}
	fmt.Fprintf(c.OutOrStdout(), "failure domain %s %s\n", printable(domain), writtenText(isEvacuated, isChanged))
	if !o.balancer.isSet() {
		return nil
	}
	w := newEvacuationWait(domain, isEvacuated)
	w.written = readPosition(ctx, store)
	if err := w.run(ctx, o.balancer.address); err != nil {
		return err
	}
	if isEvacuated && !w.hasDomain {
		fmt.Fprintf(c.ErrOrStderr(), "cornellb: no balancer is in failure domain %s; check the name\n", domain)
	}
	n := len(w.members)
	_, err = fmt.Fprintf(c.OutOrStdout(), "%s on %d of %d reachable balancers\n", forceText(isEvacuated), n, n)
	return err
}

// readPosition returns a position of the store after the write, or none if the store does not answer or has none. A balancer
// with a set of an earlier position may yet put a write before that in force, such as an evacuation that was ended at once.
func readPosition(ctx context.Context, store *platform.Store) directory.Position {
	for range transport.ReadAttempts {
		if e, _, err := store.Evacuations(ctx); err == nil && e.Revision > 0 {
			return e.Position
		} else if err == nil {
			break
		}
		sleep(ctx, evacuationInterval)
	}
	return directory.Position{}
}

func writtenText(isEvacuated, isChanged bool) string {
	switch {
	case isEvacuated && isChanged:
		return "evacuated"
	case isEvacuated:
		return "was evacuated already"
	case isChanged:
		return "restored"
	}
	return "was not evacuated"
}

func forceText(isEvacuated bool) string {
	if isEvacuated {
		return "in force"
	}
	return "lifted"
}

// BehindError reports balancers on which an evacuation is not in force, or not lifted, when the command gives up.
type BehindError struct {
	Domain      string
	IsEvacuated bool     // whether the evacuation should be in force
	Behind      []string // IDs, with "(no answer)" for those whose state is unknown
	Balancers   int      // that are reachable
}

func (e *BehindError) Error() string {
	return fmt.Sprintf("the evacuation of %s is not %s on %d of %d reachable balancers: %s", printable(e.Domain),
		forceText(e.IsEvacuated), len(e.Behind), e.Balancers, namesText(e.Behind))
}

// evacuationWait waits until an evacuation is in force, or lifted, on all balancers.
type evacuationWait struct {
	domain      string
	isEvacuated bool
	written     directory.Position // of the store after the write; none if unknown
	members     []operator.BalancerMember
	hasDomain   bool            // whether a balancer is in the failure domain
	confirmed   map[string]bool // operator addresses of balancers where the evacuation is in force or lifted
	unanswered  map[string]bool // operator addresses of balancers that did not answer last time
}

func newEvacuationWait(domain string, isEvacuated bool) *evacuationWait {
	return &evacuationWait{
		domain: domain, isEvacuated: isEvacuated, confirmed: make(map[string]bool), unanswered: make(map[string]bool),
	}
}

// run returns when all balancers that the one at the address reaches have confirmed. The error is a *BehindError, or a
// *operator.StatusError if the balancer at the address never named the others.
func (w *evacuationWait) run(ctx context.Context, address string) error {
	client := operator.NewClient()
	defer client.Close()
	var listedAt time.Time
	var listErr error
	for {
		began := time.Now()
		if time.Since(listedAt) >= listInterval { // some that do not answer may be gone
			members, err := client.Members(ctx, address)
			if err == nil {
				w.setMembers(members)
				listedAt = time.Now()
			} else if listErr == nil || ctx.Err() == nil {
				listErr = err
			}
		}
		isLast := len(w.members) > 0 && len(w.pending()) == 0
		w.ask(ctx, client)
		isComplete := len(w.members) > 0 && len(w.pending()) == 0
		switch {
		case isComplete && (isLast || ctx.Err() != nil):
			return nil
		case isComplete:
			listedAt = time.Time{} // the first list of a balancer that has just started may be short
		case ctx.Err() != nil && len(w.members) == 0:
			return listErr
		case ctx.Err() != nil:
			return w.behindError()
		}
		sleep(ctx, max(evacuationInterval, time.Since(began))) // longer in a large fleet, whose round takes long
	}
}

func (w *evacuationWait) setMembers(members []operator.BalancerMember) {
	w.members = members
	for _, m := range members {
		w.hasDomain = w.hasDomain || m.FailureDomain == w.domain
	}
}

// pending returns the members that have not confirmed.
func (w *evacuationWait) pending() []operator.BalancerMember {
	var list []operator.BalancerMember
	for _, m := range w.members {
		if !w.confirmed[m.OperatorAddress] {
			list = append(list, m)
		}
	}
	return list
}

// ask reads the status of the members that have not confirmed.
func (w *evacuationWait) ask(ctx context.Context, client *operator.Client) {
	for _, b := range client.Ask(ctx, w.pending()) {
		switch {
		case b.Status == nil:
			w.unanswered[b.OperatorAddress] = w.unanswered[b.OperatorAddress] || ctx.Err() == nil
		case w.isConfirmedBy(b.Status):
			w.confirmed[b.OperatorAddress] = true
		default:
			w.unanswered[b.OperatorAddress] = false
		}
	}
}

// isConfirmedBy reports whether a balancer has the evacuation in force, or lifted, and no older set that it may replace. A
// ready balancer without a set needs none.
func (w *evacuationWait) isConfirmedBy(s *operator.BalancerStatus) bool {
	if p := s.Evacuations; p != nil && (directory.Position{Era: p.Era, Revision: p.Revision}).Compare(w.written) < 0 {
		return false
	}
	if w.isEvacuated {
		return s.Evacuates(w.domain)
	}
	return s.HasRestored(w.domain)
}

func (w *evacuationWait) behindError() error {
	e := &BehindError{Domain: w.domain, IsEvacuated: w.isEvacuated, Balancers: len(w.members)}
	for _, m := range w.pending() {
		name := m.ID
		if w.unanswered[m.OperatorAddress] {
			name += " (no answer)"
		}
		e.Behind = append(e.Behind, name)
	}
	return e
}
