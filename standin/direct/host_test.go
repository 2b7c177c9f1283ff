package direct

import (
	"net"
	"testing"
	"time"

	"github.com/matryer/is"
)

// TestDarkHost guards against a stand-in of a host without power that accepts or refuses connections, so that tests of
// lost endpoints would pass for the wrong reason.
func TestDarkHost(t *testing.T) {
	is := is.New(t)
	h, err := listenHost(&net.UDPAddr{IP: net.IPv4(127, 0, 0, 1)})
	is.NoErr(err)
	defer h.close()
	dial := func() error {
		conn, err := net.DialTimeout("tcp4", h.listener.Addr().String(), 300*time.Millisecond)
		if err == nil {
			_ = conn.Close()
		}
		return err
	}
	for range 3 {
		is.NoErr(dial())
		is.NoErr(h.setDark(true))
		for range 3 {
			err, ok := dial().(net.Error)
			is.True(ok && err.Timeout())
		}
		is.NoErr(h.setDark(false))
	}
	is.NoErr(dial())
}
