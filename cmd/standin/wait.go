package main

import (
	"context"
	"net/http"
	"time"

	"github.com/pkg/errors"
	"github.com/spf13/cobra"
)

// waitPeriod is the pause between two polls of a URL.
const waitPeriod = 50 * time.Millisecond

func newWaitCommand() *cobra.Command {
	var limit time.Duration
	c := &cobra.Command{
		Use:     "wait URL...",
		Short:   "Wait until GET succeeds for every URL",
		Long:    "Polls each URL until it answers with status 200. The exit code is 1 if one does not within --limit.",
		Example: "  standin wait --limit 10s http://127.0.0.1:7001/readyz",
		Args:    cobra.MinimumNArgs(1),
		RunE: func(c *cobra.Command, urls []string) error {
			ctx, stop := context.WithTimeout(c.Context(), limit)
			defer stop()
			for _, url := range urls {
				if err := waitFor(ctx, url); err != nil {
					return errors.Wrapf(err, "%s is not ready after %v", url, limit)
				}
			}
			return nil
		},
	}
	c.Flags().DurationVar(&limit, "limit", 10*time.Second, "longest time to wait for all URLs")
	return c
}

// waitFor polls the URL until it answers with status 200. It returns the last error if ctx ends first.
func waitFor(ctx context.Context, url string) error {
	for {
		lastErr := check(ctx, url)
		if lastErr == nil {
			return nil
		}
		select {
		case <-ctx.Done():
			return lastErr
		case <-time.After(waitPeriod):
		}
	}
}

func check(ctx context.Context, url string) error {
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return err
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return err
	}
	_ = response.Body.Close()
	if response.StatusCode != http.StatusOK {
		return errors.New(response.Status)
	}
	return nil
}
