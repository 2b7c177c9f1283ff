package main

import (
	"context"
	"log/slog"
	"net"
	"net/http"
	"strings"
	"time"

	"github.com/pkg/errors"
)

// controlHeaderTimeout bounds the time in which a client of a control endpoint must send the headers of a request.
const controlHeaderTimeout = 5 * time.Second

// serveControl serves a control endpoint until ctx ends.
func serveControl(ctx context.Context, address string, handler http.Handler) error {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return err
	}
	server := &http.Server{Handler: handler, ReadHeaderTimeout: controlHeaderTimeout}
	stop := context.AfterFunc(ctx, func() { _ = server.Close() })
	defer stop()
	slog.Info("control server listening", "control", listener.Addr().String())
	if err := server.Serve(listener); !errors.Is(err, http.ErrServerClosed) {
		return err
	}
	return nil
}

// cutPair splits a flag value of the form KEY=VALUE.
func cutPair(flag, value string) (key, rest string, err error) {
	key, rest, ok := strings.Cut(value, "=")
	if !ok || key == "" || rest == "" {
		return "", "", errors.Errorf("--%s %s: want the form KEY=VALUE", flag, value)
	}
	return key, rest, nil
}
