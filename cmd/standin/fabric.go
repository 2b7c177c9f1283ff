package main

import (
	"net/netip"

	"github.com/pkg/errors"
	"github.com/spf13/cobra"

	"cornellb/standin/fabric"
)

type fabricFlags struct {
	addresses, balancers, health []string
	listen, control              string
	seed                         uint64
}

func newFabricCommand() *cobra.Command {
	var f fabricFlags
	c := &cobra.Command{
		Use:   "fabric",
		Short: "Spray the datagrams of callers over the balancers",
		Long: `Takes datagrams of callers for each --address, and sends each one in an envelope to a random balancer. Envelopes
that balancers send to --listen go back to the callers. A balancer with --health gets packets while GET /readyz at its
URL succeeds. The control endpoint cuts and heals balancers and sets loss, duplicates, delay and jitter.`,
		Example: `  standin fabric --address 10.0.0.1:80=127.0.0.1:4000 --listen 127.0.0.1:4100 \
    --balancer 127.0.0.1:5001 --health 127.0.0.1:5001=http://127.0.0.1:7001`,
		Args: cobra.NoArgs,
		RunE: func(c *cobra.Command, _ []string) error {
			config, err := f.config()
			if err != nil {
				return err
			}
			x, err := fabric.Start(config)
			if err != nil {
				return err
			}
			defer x.Close()
			return serveControl(c.Context(), f.control, x.Handler())
		},
	}
	c.Flags().StringArrayVar(&f.addresses, "address", nil, "SERVICE_ADDRESS=LISTEN, repeated")
	c.Flags().StringArrayVar(&f.balancers, "balancer", nil, "HOST:PORT of a balancer, repeated")
	c.Flags().StringArrayVar(&f.health, "health", nil, "HOST:PORT=URL of a balancer's operator address, repeated")
	c.Flags().StringVar(&f.listen, "listen", "127.0.0.1:0", "UDP address to which balancers send")
	c.Flags().StringVar(&f.control, "control", "127.0.0.1:0", "HTTP address of the control endpoint")
	c.Flags().Uint64Var(&f.seed, "seed", 1, "seed of the random choices of balancers and faults")
	return c
}

func (f *fabricFlags) config() (fabric.Config, error) {
	c := fabric.Config{Listen: f.listen, Seed: f.seed}
	for _, v := range f.addresses {
		key, listen, err := cutPair("address", v)
		if err != nil {
			return c, err
		}
		service, err := netip.ParseAddrPort(key)
		if err != nil {
			return c, errors.Wrap(err, "--address")
		}
		c.Addresses = append(c.Addresses, fabric.Address{Service: service, Listen: listen})
	}
	urls := make(map[string]string)
	for _, v := range f.health {
		key, url, err := cutPair("health", v)
		if err != nil {
			return c, err
		}
		urls[key] = url
	}
	for _, v := range f.balancers {
		address, err := netip.ParseAddrPort(v)
		if err != nil {
			return c, errors.Wrap(err, "--balancer")
		}
		c.Balancers = append(c.Balancers, fabric.Balancer{Address: address, Health: urls[v]})
		delete(urls, v)
	}
	for key := range urls {
		return c, errors.Errorf("--health %s: no such --balancer", key)
	}
	return c, nil
}
