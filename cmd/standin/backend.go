package main

import (
	"fmt"
	"net/http"
	"time"

	"github.com/spf13/cobra"

	"cornellb/core/state/packet"
	"cornellb/standin/backend"
)

type backendFlags struct {
	listen  []string
	control string
	medians [packet.ClassCount]time.Duration
	sigma   float64
	config  backend.Config
}

func newBackendCommand() *cobra.Command {
	var f backendFlags
	c := &cobra.Command{
		Use:   "backend",
		Short: "Run backend servers of one service",
		Long: `Runs one backend server for each --listen address. The control endpoint of the first server is at the root of
--control; that of the Nth, from 0, also under /N/. Service times are log-normal, with a median per class.`,
		Example: `  standin backend --listen 127.0.0.1:6001 --service reminders --slots 3 --control 127.0.0.1:6101`,
		Args:    cobra.NoArgs,
		RunE: func(c *cobra.Command, _ []string) error {
			mux := http.NewServeMux()
			for i, listen := range f.listen {
				s, err := backend.Start(f.serverConfig(listen))
				if err != nil {
					return err
				}
				defer s.Close()
				prefix := fmt.Sprintf("/%d", i)
				mux.Handle(prefix+"/", http.StripPrefix(prefix, s.Handler()))
				if i == 0 {
					mux.Handle("/", s.Handler())
				}
			}
			return serveControl(c.Context(), f.control, mux)
		},
	}
	c.Flags().StringArrayVar(&f.listen, "listen", []string{"127.0.0.1:0"}, "TCP address for balancers, repeated")
	c.Flags().StringVar(&f.control, "control", "127.0.0.1:0", "HTTP address of the control endpoint")
	c.Flags().StringVar(&f.config.Service, "service", "reminders", "service that the servers belong to")
	c.Flags().IntVar(&f.config.Slots, "slots", 3, "number of requests that a server runs at the same time")
	for class := range packet.ClassCount {
		name := class.String()
		c.Flags().DurationVar(&f.medians[class], name+"-time", 40*time.Millisecond, "median service time of class "+name)
	}
	c.Flags().Float64Var(&f.sigma, "sigma", 0.5, "standard deviation of the logarithm of service times")
	c.Flags().Float64Var(&f.config.ColdFactor, "cold-factor", 1, "factor on service times at the start, falls to 1")
	c.Flags().DurationVar(&f.config.ColdPeriod, "cold-period", 0, "time after which the cold factor is 1")
	c.Flags().DurationVar(&f.config.FeedInterval, "feed-interval", 100*time.Millisecond, "time between feed items")
	c.Flags().Uint64Var(&f.config.Seed, "seed", 1, "seed of the service times")
	return c
}

// serverConfig returns the configuration of the server with this listen address.
func (f *backendFlags) serverConfig(listen string) backend.Config {
	c := f.config
	c.Listen = listen
	for class, median := range f.medians {
		c.Times[class] = backend.Distribution{Median: median, Sigma: f.sigma}
	}
	return c
}
