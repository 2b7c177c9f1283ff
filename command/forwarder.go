package command

import (
	"bytes"
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

// storeTimeout limits one call to the platform's store. It is long enough for a slow store, and short enough that after
// a call without an answer, a second call still fits into the time in which a configuration must be in force.
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
		Args:    asInputError(cobra.NoArgs),
		RunE: func(c *cobra.Command, _ []string) error {
			out := direct.NewAsyncWriter(c.OutOrStdout())
			err := runForwarder(file, out)
			return errors.Wrap(firstError(err, out.Close()), "forwarder")
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
	newClient := func() *client.Client {
		c := client.NewClient(store, storeTimeout, clock)
		c.OnSilent = func(operation string) {
			log.Warn("connection to the store silent; call repeated on a new one", "call", operation)
		}
		return c
	}
	p, err := direct.Start(s, direct.Adapters{
		Store: &platform.Store{Client: newClient(), EvacuationsClient: newClient(), Clock: clock},
		Codec: platform.Codec{ClientPort: s.PacketAddress.Port()},
		Clock: clock, Log: out,
	}, log)
	if err != nil {
		return err
	}
	defer p.Close()
	watch := &settingsWatcher{file: file, log: log, process: p}
	watch.content, _ = os.ReadFile(file) // if this fails, the first poll reloads the settings
	watch.awaitTermination(signals)
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	go func() {
		for signal := range signals {
			if signal != syscall.SIGHUP {
				break
			}
		}
		cancel()
	}()
	if err := p.Drain(ctx); err != nil && !errors.Is(err, context.Canceled) {
		return err
	}
	return nil
}

func firstError(errs ...error) error {
	for _, err := range errs {
		if err != nil {
			return err
		}
	}
	return nil
}

// settingsPollInterval is the time between two reads of the settings file, which may change without a signal.
const settingsPollInterval = 5 * time.Second

// settingsWatcher reloads the settings file after SIGHUP, or when its content has changed.
type settingsWatcher struct {
	file    string
	content []byte // as last read
	log     *slog.Logger
	process *direct.Process
}

// awaitTermination reloads the settings as needed until a signal other than SIGHUP arrives.
func (w *settingsWatcher) awaitTermination(signals <-chan os.Signal) {
	poll := time.NewTicker(settingsPollInterval)
	defer poll.Stop()
	for {
		select {
		case s := <-signals:
			if s != syscall.SIGHUP {
				return
			}
			w.reload(true)
		case <-poll.C:
			w.reload(false)
		}
	}
}

// reload reads the settings file and puts its settings in force. Without a signal, it does nothing if the file has not
// changed. If the file is faulty, the former settings stay in force.
func (w *settingsWatcher) reload(isSignalled bool) {
	content, err := os.ReadFile(w.file)
	if err == nil && !isSignalled && bytes.Equal(content, w.content) {
		return
	}
	var s *direct.Settings
	if err == nil {
		w.content = content
		s, _, err = platform.ParseSettings(w.file, content)
	}
	if err != nil {
		w.log.Error("settings not reloaded, the former ones stay in force", "file", w.file, "error", err)
		return
	}
	w.process.Reload(s)
}
