package settings

import (
	"encoding/hex"
	"fmt"
	"net/netip"
	"net/url"
	"time"

	"cornellb/core/state/packet"
)

const (
	maxTicketKeys  = 2  // the key in use and, during a rotation, another one whose tickets are accepted
	minSecretBytes = 16 // the length of the authentication code in a ticket
)

// checker checks values and collects the faults.
type checker struct{ faults []Fault }

func (c *checker) add(field, format string, args ...any) {
	c.faults = append(c.faults, Fault{field, fmt.Sprintf(format, args...)})
}

func (c *checker) name(field, name string) {
	if name == "" || len(name) > packet.MaxNameBytes {
		c.add(field, "must have 1 to %d bytes", packet.MaxNameBytes)
	}
}

func (c *checker) address(field, address string) {
	if _, err := netip.ParseAddrPort(address); err != nil {
		c.add(field, "%q is not an IP address with a port", address)
	}
}

func (c *checker) duration(field string, d time.Duration) {
	if d <= 0 {
		c.add(field, "must be above 0s")
	}
}

func (c *checker) weight(field string, w float64) {
	if w <= 0 {
		c.add(field, "must be above 0")
	}
}

// check returns the faults of the values, in the order of declaration of the settings. The zero value of a setting that
// could not be read may be among them; Parse leaves such faults out.
func (s *Settings) check() []Fault {
	c := &checker{}
	c.name("id", s.ID)
	c.name("failure_domain", s.FailureDomain)
	c.address("caller_address", s.CallerAddress)
	c.address("fabric_address", s.FabricAddress)
	c.address("peer_address", s.PeerAddress)
	c.address("operator_address", s.OperatorAddress)
	if u, err := url.Parse(s.Platform); err != nil || u.Scheme != "http" && u.Scheme != "https" || u.Host == "" {
		c.add("platform", "%q is not an http or https URL", s.Platform)
	}
	for i, p := range s.Peers {
		c.address(fmt.Sprintf("peers[%d]", i), p)
	}
	c.ticketKeys(s.TicketKeys)
	c.weight("weights.urgent", s.Weights.Urgent)
	c.weight("weights.normal", s.Weights.Normal)
	c.weight("weights.bulk", s.Weights.Bulk)
	c.duration("flow_idle", s.FlowIdle)
	c.duration("slow_start_step", s.SlowStartStep)
	c.duration("drain_limit", s.DrainLimit)
	return c.faults
}

func (c *checker) ticketKeys(keys []TicketKey) {
	if len(keys) == 0 || len(keys) > maxTicketKeys {
		c.add("ticket_keys", "must have one or two keys, has %d", len(keys))
	}
	for i, k := range keys {
		if secret, err := hex.DecodeString(k.Secret); err != nil || len(secret) < minSecretBytes {
			c.add(fmt.Sprintf("ticket_keys[%d].secret", i), "must be at least %d bytes in hexadecimal digits", minSecretBytes)
		}
	}
	if len(keys) == maxTicketKeys && keys[0].ID == keys[1].ID {
		c.add("ticket_keys[1].id", "same as ticket_keys[0].id")
	}
}
