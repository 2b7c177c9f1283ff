package main

import (
	"fmt"

	"github.com/spf13/cobra"

	"cornellb/standin/direct"
)

func newStoreCommand() *cobra.Command {
	var listen string
	var endpointDomains []string
	c := &cobra.Command{
		Use:   "store",
		Short: "Serve the store of the direct return mode from memory, with a configuration without routes or with one",
		Args:  cobra.NoArgs,
		RunE: func(c *cobra.Command, _ []string) error {
			s := direct.NewStore()
			if err := putExample(s, endpointDomains); err != nil {
				return err
			}
			l, err := s.Listen(listen)
			if err != nil {
				return err
			}
			defer l.Close()
			fmt.Fprintln(c.OutOrStdout(), "serving on", l.Address)
			<-c.Context().Done()
			return nil
		},
	}
	c.Flags().StringVar(&listen, "listen", "127.0.0.1:7620", "address to serve on")
	c.Flags().StringSliceVar(&endpointDomains, "endpoints", nil,
		"failure domains of endpoints i-1, i-2 and so on of the service feed, to which a route leads from 198.18.0.1:443")
	return c
}

// putExample writes a configuration and the entries of endpoints, which nobody runs.
func putExample(s *direct.Store, endpointDomains []string) error {
	routes := []any{}
	if len(endpointDomains) > 0 {
		routes = append(routes, map[string]any{
			"name": "feed", "host": "198.18.0.1", "path_prefix": "/443/", "service": "feed", "type": "safe",
		})
	}
	for i, domain := range endpointDomains {
		err := s.Put("servers", fmt.Sprint("i-", i+1), map[string]any{
			"service": "feed", "address": fmt.Sprintf("198.51.100.%d:8080", i+1), "zone": domain, "version": "v1",
			"max_concurrency": 2, "state": "ready", "cold_remaining_ms": 0, "seq": 1, "born": 1_800_000_000_000,
		})
		if err != nil {
			return err
		}
	}
	return s.Put("config", "main", map[string]any{"version": 1, "routes": routes, "services": []any{}})
}
