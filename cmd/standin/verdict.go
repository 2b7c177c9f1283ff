package main

import (
	"context"
	"encoding/json"
	"net/http"
	"os"
	"time"

	"github.com/pkg/errors"
	"github.com/spf13/cobra"

	"cornellb/standin/backend"
	"cornellb/standin/caller"
	"cornellb/standin/verdict"
)

const reportTimeout = 10 * time.Second

type verdictFlags struct {
	result      string
	backends    []string
	brokenFlows int
	limits      verdict.Limits
}

func newVerdictCommand() *cobra.Command {
	var f verdictFlags
	c := &cobra.Command{
		Use:   "verdict",
		Short: "Check a run: compare the caller's result with the backend servers' reports",
		Long: `Prints the summary table of a run. The exit code is 1 if a check is violated; the table names each violated check
with examples.`,
		Example: `  standin verdict --result result.json --backend http://127.0.0.1:6101 --backend http://127.0.0.1:6102`,
		Args:    cobra.NoArgs,
		RunE:    f.run,
	}
	c.Flags().StringVar(&f.result, "result", "", "file that the caller wrote")
	c.Flags().StringArrayVar(&f.backends, "backend", nil, "URL of a backend server's control endpoint, repeated")
	c.Flags().IntVar(&f.brokenFlows, "broken-flows", -1, "largest allowed number of broken flows; not checked if negative")
	c.Flags().Float64Var(&f.limits.ServerImbalance, "server-imbalance", 0,
		"largest allowed imbalance over the backend servers of a service; not checked if 0")
	c.Flags().Float64Var(&f.limits.CustomerImbalance, "customer-imbalance", 0,
		"largest allowed imbalance over customers; not checked if 0")
	c.Flags().Float64Var(&f.limits.Answered, "answered", 0, "smallest allowed share of answered requests")
	c.Flags().IntVar(&f.limits.LostReports, "lost-reports", 0, "number of backend servers whose reports may be missing")
	return c
}

func (f *verdictFlags) run(c *cobra.Command, _ []string) error {
	encoded, err := os.ReadFile(f.result)
	if err != nil {
		return err
	}
	var result caller.Result
	if err := json.Unmarshal(encoded, &result); err != nil {
		return errors.Wrap(err, f.result)
	}
	var reports []backend.Report
	missing := 0
	for _, url := range f.backends {
		r, err := fetchReport(c.Context(), url)
		if err != nil {
			if missing++; missing > f.limits.LostReports {
				return errors.Wrap(err, "more reports of backend servers are missing than --lost-reports allows")
			}
			continue
		}
		reports = append(reports, r)
	}
	if f.brokenFlows >= 0 {
		f.limits.BrokenFlows = &f.brokenFlows
	}
	v := verdict.Judge(&result, reports, f.limits)
	if err := v.Write(c.OutOrStdout()); err != nil {
		return err
	}
	if len(v.Violations) > 0 {
		return errors.Errorf("%d checks violated", len(v.Violations))
	}
	return nil
}

func fetchReport(ctx context.Context, url string) (r backend.Report, err error) {
	ctx, stop := context.WithTimeout(ctx, reportTimeout)
	defer stop()
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, url+"/report", nil)
	if err != nil {
		return r, err
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return r, err
	}
	defer response.Body.Close()
	if response.StatusCode != http.StatusOK {
		return r, errors.Errorf("%s: %s", url, response.Status)
	}
	return r, errors.Wrap(json.NewDecoder(response.Body).Decode(&r), url)
}
