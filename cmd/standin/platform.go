package main

import (
	"context"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/pkg/errors"
	"github.com/spf13/cobra"

	protocol "cornellb/io/protocol/platform"
	"cornellb/standin/platform"
)

const (
	headerTimeout   = 5 * time.Second
	shutdownTimeout = time.Second
)

// platformOptions are the flags of the subcommand platform.
type platformOptions struct {
	listen   string
	hosts    string
	settings platform.Settings
}

func newPlatformCommand() *cobra.Command {
	o := &platformOptions{}
	c := &cobra.Command{
		Use:   "platform",
		Short: "Serve the platform's object API and host list from memory",
		Long: `Serve the platform's object API and host list from memory until SIGINT or SIGTERM.

Faults, hosts and counters are controlled over HTTP, for example:

  curl -X PUT http://127.0.0.1:7600/control/fault -d '{"mode":"refuse"}'     also "hang"; "" ends the fault
  curl -X PUT http://127.0.0.1:7600/control/fault -d '{"delay_ms":500}'
  curl -X PUT http://127.0.0.1:7600/control/fault -d '{"lose_writes":1}'
  curl -X PUT http://127.0.0.1:7600/control/hosts -d @hosts.json
  curl http://127.0.0.1:7600/control/counters`,
		Args: cobra.NoArgs,
		RunE: func(c *cobra.Command, _ []string) error { return runPlatform(c, o) },
	}
	c.Flags().StringVar(&o.listen, "listen", "127.0.0.1:7600", "address to serve on")
	c.Flags().StringVar(&o.hosts, "hosts", "", "file with the JSON array of hosts at the start")
	c.Flags().DurationVar(&o.settings.HostLag, "host-lag", 0, "age of the host list that callers see")
	c.Flags().Float64Var(&o.settings.WritesPerSecond, "writes", platform.DefaultWrites, "limit of writes per second")
	c.Flags().Float64Var(&o.settings.ReadsPerSecond, "reads", platform.DefaultReads, "limit of reads per second")
	return c
}

func runPlatform(c *cobra.Command, o *platformOptions) error {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	v := platform.New(o.settings)
	defer v.Close()
	if err := loadHosts(v, o.hosts); err != nil {
		return err
	}
	listener, err := net.Listen("tcp", o.listen)
	if err != nil {
		return errors.Wrap(err, "listen")
	}
	server := &http.Server{Handler: v, ReadHeaderTimeout: headerTimeout}
	ended := make(chan error, 1)
	go func() { ended <- server.Serve(listener) }()
	fmt.Fprintf(c.OutOrStdout(), "platform: serving on %s\n", listener.Addr())
	select {
	case err := <-ended:
		return errors.Wrap(err, "serve")
	case <-ctx.Done():
	}
	v.Close()
	ctx, cancel := context.WithTimeout(context.Background(), shutdownTimeout)
	defer cancel()
	return errors.Wrap(server.Shutdown(ctx), "shut down")
}

func loadHosts(v *platform.Server, path string) error {
	if path == "" {
		return nil
	}
	data, err := os.ReadFile(path)
	if err != nil {
		return errors.Wrap(err, "read hosts")
	}
	var hosts []protocol.Host
	if err := json.Unmarshal(data, &hosts); err != nil {
		return errors.Wrapf(err, "read hosts from %s", path)
	}
	v.SetHosts(hosts)
	return nil
}
