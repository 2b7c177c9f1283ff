package command

import (
	"context"
	"net/url"
	"time"

	"github.com/spf13/cobra"

	transport "cornellb/io/transport/platform"
)

// platformFlags are common to the commands that call the platform.
type platformFlags struct {
	url     string
	timeout time.Duration
}

// defaultTimeout limits a command. It leaves time to read the tables back after a lost response, also while the
// platform is slow.
const defaultTimeout = 15 * time.Second

func (f *platformFlags) register(c *cobra.Command) {
	c.Flags().StringVar(&f.url, "platform", "", "URL of the platform's API, for example http://127.0.0.1:7600")
	c.Flags().DurationVar(&f.timeout, "timeout", defaultTimeout, "time after which the command gives up")
}

// client returns a client of the platform, or an *InputError if the URL is faulty.
func (f *platformFlags) client() (*transport.Client, error) {
	return f.clientWithin(transport.DefaultTimeout)
}

// clientWithin does the same with a limit for each call.
func (f *platformFlags) clientWithin(limit time.Duration) (*transport.Client, error) {
	u, err := url.Parse(f.url)
	if err != nil || u.Host == "" || u.Scheme != "http" && u.Scheme != "https" {
		return nil, &InputError{Message: "--platform must be the URL of the platform's API, not " + quotedOrEmpty(f.url)}
	}
	return transport.NewClient(f.url, min(f.timeout, limit), transport.SystemClock{}), nil
}

func (f *platformFlags) context(c *cobra.Command) (context.Context, context.CancelFunc) {
	parent := c.Context()
	if parent == nil {
		parent = context.Background()
	}
	return context.WithTimeout(parent, f.timeout)
}

func quotedOrEmpty(s string) string {
	if s == "" {
		return "empty"
	}
	return `"` + s + `"`
}
