package main

import (
	"encoding/json"
	"fmt"
	"os"
	"strconv"
	"time"

	"github.com/pkg/errors"
	"github.com/spf13/cobra"

	"cornellb/core/state/packet"
	"cornellb/standin/caller"
)

type callerFlags struct {
	targets, rates, feeds []string
	shares                []float64
	result                string
	config                caller.Config
}

func newCallerCommand() *cobra.Command {
	var f callerFlags
	c := &cobra.Command{
		Use:   "caller",
		Short: "Generate load and check every answer",
		Long: `Opens flows for customers with equal demand, sends requests, follows feeds, and writes what the callers saw as
JSON. Flows begin until --duration has passed; then the command waits for the outcomes of their requests.`,
		Example: `  standin caller --target reminders=127.0.0.1:4000 --rate reminders=500 --feeds reminders=6 --result result.json`,
		Args:    cobra.NoArgs,
		RunE: func(c *cobra.Command, _ []string) error {
			config, err := f.build()
			if err != nil {
				return err
			}
			result, err := caller.Run(c.Context(), config)
			if err != nil {
				return err
			}
			encoded, err := json.Marshal(result)
			if err != nil {
				return err
			}
			if f.result == "" {
				_, err = c.OutOrStdout().Write(append(encoded, '\n'))
				return err
			}
			return os.WriteFile(f.result, encoded, 0o644)
		},
	}
	f.register(c)
	return c
}

func (f *callerFlags) register(c *cobra.Command) {
	flags, config := c.Flags(), &f.config
	flags.StringArrayVar(&f.targets, "target", nil, "SERVICE=ADDRESS, repeated")
	flags.StringArrayVar(&f.rates, "rate", nil, "SERVICE=REQUESTS_PER_SECOND over all customers, repeated")
	flags.StringArrayVar(&f.feeds, "feeds", nil, "SERVICE=NUMBER of feeds, repeated")
	flags.Float64SliceVar(&f.shares, "classes", []float64{0.2, 0.6, 0.2}, "relative shares of urgent,normal,bulk")
	flags.StringVar(&f.result, "result", "", "file for the result; standard output if empty")
	flags.StringVar(&config.Name, "name", "", "prefix of request IDs; from the time if empty")
	flags.IntVar(&config.Customers, "customers", 6, "number of customers")
	flags.StringVar(&config.CustomerPrefix, "customer-prefix", "customer", "customers are named PREFIX-NUMBER")
	flags.DurationVar(&config.Duration, "duration", 10*time.Second, "time during which flows begin")
	flags.Uint64Var(&config.Seed, "seed", 1, "seed of sizes, classes and pauses")
	flags.IntVar(&config.RequestsPerFlow, "requests", 5, "requests per flow")
	flags.DurationVar(&config.Pause, "pause", 20*time.Millisecond, "mean pause between the requests of a flow")
	flags.Float64Var(&config.IdempotentShare, "idempotent", 0.5, "share of idempotent requests")
	flags.Float64Var(&config.LargeShare, "large", 0.05, "share of large answers")
	flags.IntVar(&config.SmallBytes, "small-bytes", 200, "size of small answers")
	flags.IntVar(&config.LargeBytes, "large-bytes", 10_000, "size of large answers")
	flags.DurationVar(&config.Timeout, "timeout", 5*time.Second, "timeout of requests and opens")
	flags.IntVar(&config.MaxFlows, "max-flows", 2000, "largest number of flows that are open at the same time")
}

func (f *callerFlags) build() (caller.Config, error) {
	c := f.config
	if c.Name == "" {
		c.Name = strconv.FormatInt(time.Now().UnixNano(), 36)
	}
	if len(f.shares) != int(packet.ClassCount) {
		return c, errors.Errorf("--classes: want %d numbers, got %d", packet.ClassCount, len(f.shares))
	}
	copy(c.ClassShares[:], f.shares)
	rates, err := parseNumbers("rate", f.rates)
	if err != nil {
		return c, err
	}
	feeds, err := parseNumbers("feeds", f.feeds)
	if err != nil {
		return c, err
	}
	for _, v := range f.targets {
		service, address, err := cutPair("target", v)
		if err != nil {
			return c, err
		}
		c.Targets = append(c.Targets, caller.Target{
			Service: service, Address: address, Rate: rates[service], Feeds: int(feeds[service]),
		})
	}
	if len(c.Targets) == 0 {
		return c, fmt.Errorf("--target is required")
	}
	return c, nil
}

// parseNumbers parses flag values of the form KEY=NUMBER.
func parseNumbers(flag string, values []string) (map[string]float64, error) {
	m := make(map[string]float64)
	for _, v := range values {
		key, text, err := cutPair(flag, v)
		if err != nil {
			return nil, err
		}
		if m[key], err = strconv.ParseFloat(text, 64); err != nil {
			return nil, errors.Wrap(err, "--"+flag)
		}
	}
	return m, nil
}
