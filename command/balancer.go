package command

import (
	"context"
	"io"
	"log/slog"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/spf13/cobra"
	"github.com/zeromicro/go-zero/core/logx"
	"github.com/zeromicro/go-zero/core/proc"
	"github.com/zeromicro/go-zero/core/stat"

	"cornellb/io/protocol/settings"
	"cornellb/io/transport/host"
)

// forceQuitMargin is added to the drain limit, so that go-zero's own signal handler does not end the process during a
// drain.
const forceQuitMargin = time.Minute

func newBalancerCommand() *cobra.Command {
	var file string
	c := &cobra.Command{
		Use:   "balancer --settings FILE",
		Short: "Run a balancer",
		Long: `Run a balancer until SIGTERM or SIGINT.

The first signal drains: the fabric is told through /readyz, requests in progress finish, and flows and feeds are handed
over to other balancers. A second signal ends the process at once, without handing anything over.

The exit code is 0 after a drain, 1 if the process could not start or its drain was interrupted, and 2 if the settings
are faulty.`,
		Example: "  cornellb balancer --settings balancer.yaml",
		Args:    asInputError(cobra.NoArgs),
		RunE: func(c *cobra.Command, _ []string) error {
			s, err := loadSettings(file)
			if err != nil {
				return err
			}
			return runBalancer(s, newLogger(s.Log, c.ErrOrStderr()))
		},
	}
	c.Flags().StringVar(&file, "settings", "", "YAML file with the settings, see docs/OPERATIONS.md")
	return c
}

func loadSettings(file string) (*settings.Settings, error) {
	if file == "" {
		return nil, &InputError{Message: "--settings must name a file"}
	}
	s, err := settings.Load(file)
	if err != nil {
		return nil, &InputError{Message: err.Error()}
	}
	return s, nil
}

func newLogger(l settings.Log, out io.Writer) *slog.Logger {
	var level slog.Level
	if err := level.UnmarshalText([]byte(l.Level)); err != nil {
		level = slog.LevelInfo
	}
	options := &slog.HandlerOptions{Level: level}
	if l.Format == "text" {
		return slog.New(slog.NewTextHandler(out, options))
	}
	return slog.New(slog.NewJSONHandler(out, options))
}

func runBalancer(s *settings.Settings, log *slog.Logger) error {
	bridgeLibraryLogs(log)
	proc.SetTimeToForceQuit(s.DrainLimit + forceQuitMargin)
	signals := make(chan os.Signal, 2)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT)
	defer signal.Stop(signals)
	h, err := host.Start(s, log)
	if err != nil {
		return err
	}
	defer h.Close()
	<-signals
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	go func() {
		<-signals
		cancel()
	}()
	return h.Drain(ctx)
}

// bridgeLibraryLogs passes go-zero's log lines to slog at level debug and turns off its periodic statistics.
func bridgeLibraryLogs(log *slog.Logger) {
	logx.DisableStat()
	stat.DisableLog()
	logx.SetWriter(logx.NewWriter(lineWriter{log}))
}

// lineWriter logs each line that go-zero writes.
type lineWriter struct{ log *slog.Logger }

func (w lineWriter) Write(line []byte) (int, error) {
	w.log.Debug("message from the go-zero library", "line", string(line))
	return len(line), nil
}
