package main

import (
	"fmt"

	"github.com/spf13/cobra"

	"cornellb/standin/direct"
)

func newStoreCommand() *cobra.Command {
	var listen string
	c := &cobra.Command{
		Use:   "store",
		Short: "Serve the store of the direct return mode from memory, with a configuration without routes",
		Args:  cobra.NoArgs,
		RunE: func(c *cobra.Command, _ []string) error {
			s := direct.NewStore()
			err := s.Put("config", "main", map[string]any{"version": 1, "routes": []any{}, "services": []any{}})
			if err != nil {
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
	return c
}
