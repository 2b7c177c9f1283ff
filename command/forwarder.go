package command

import (
	"context"
	"log/slog"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/pkg/errors"
	"github.com/spf13/cobra"

	client "cornellb/io/transport/platform"

	"cornellb/io/protocol/settings"
	"cornellb/io/transport/direct"
	"cornellb/platform"
)

// storeTimeout bounds one call of the store. A slow store must still be usable, and a silent one be noticed while a
// further call fits into the time in which a configuration must be in force.
const storeTimeout = 1500 * time.Millisecond

func newForwarderCommand() *cobra.Command {
	var file string
	c := &cobra.Command{
		Use:   "forwarder [--settings FILE]",
		Short: "Run a balancer in the direct return mode on the platform",
		Long: `Run a balancer that passes the packets of flows on to endpoints, which answer the clients directly.

Routes and endpoints come from the platform's store. The settings file is the one that the platform writes for each
process. SIGTERM drains: the balancer leaves the rotation and forwards until no packets arrive. A second signal ends the
process at once. SIGHUP reads the settings file again.

The exit code is 0 after a drain, 1 if the process could not start, and 2 if the settings are faulty.`,
		Example: "  cornellb forwarder --settings settings.yaml",
		Args:    inputArgs(cobra.NoArgs),
		RunE: func(c *cobra.Command, _ []string) error {
			out := direct.NewAsyncWriter(c.OutOrStdout())
			err := runForwarder(file, out)
			return errors.Wrap(firstOf(err, out.Close()), "forwarder")
		},
	}
	c.Flags().StringVar(&file, "settings", platform.SettingsFile(), "the platform's settings file of this process")
	return c
}

func runForwarder(file string, out *direct.AsyncWriter) error {
	log := newLogger(settings.Log{Level: "info", Format: "json"}, out)
	s, store, err := platform.LoadSettings(file)
	if err != nil {
		return &InputError{Message: err.Error()}
	}
	signals := make(chan os.Signal, 4)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT, syscall.SIGHUP)
	defer signal.Stop(signals)
	clock := client.SystemClock{}
	p, err := direct.Start(s, direct.Adapters{
		Store: &platform.Store{Client: client.NewClient(store, storeTimeout, clock), Clock: clock},
		Codec: platform.Codec{ClientPort: s.PacketAddress.Port()},
		Clock: clock, Log: out,
	}, log)
	if err != nil {
		return err
	}
	defer p.Close()
	awaitEnd(signals, func() { reloadForwarder(file, log) })
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	go func() {
		awaitEnd(signals, func() {})
		cancel()
	}()
	if err := p.Drain(ctx); err != nil && !errors.Is(err, context.Canceled) {
		return err
	}
	return nil
}

func firstOf(errs ...error) error {
	for _, err := range errs {
		if err != nil {
			return err
		}
	}
	return nil
}

// awaitEnd waits for a signal to end and calls reload for each SIGHUP before.
func awaitEnd(signals <-chan os.Signal, reload func()) {
	for s := range signals {
		if s != syscall.SIGHUP {
			return
		}
		reload()
	}
}

// reloadForwarder checks the settings file. The addresses of a process cannot change while it runs.
func reloadForwarder(file string, log *slog.Logger) {
	if _, _, err := platform.LoadSettings(file); err != nil {
		log.Error("settings not reloaded, the former ones stay in force", "file", file, "error", err)
		return
	}
	log.Info("settings reloaded", "file", file)
}
