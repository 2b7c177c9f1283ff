// Package settings reads the YAML settings of a balancer.
//
// # Usage
//
//	s, err := settings.Load("balancer.yaml")
//
// Load checks everything and reports all faults at once as a *FaultsError. Durations are written like "300ms" or "30s",
// addresses like "192.0.2.1:7000".
package settings

import (
	"encoding/hex"
	"fmt"
	"net/netip"
	"net/url"
	"os"
	"strings"
	"time"

	"github.com/pkg/errors"
	"github.com/zeromicro/go-zero/core/conf"
	"gopkg.in/yaml.v3"

	"cornellb/core/state/packet"
)

// TicketKey is one key that authenticates tickets.
type TicketKey struct {
	ID     uint8  `json:"id"`
	Secret string `json:"secret"` // hexadecimal, at least 16 bytes
}

// Weights are the guaranteed shares of the classes.
type Weights struct {
	Urgent float64 `json:"urgent,default=6"`
	Normal float64 `json:"normal,default=3"`
	Bulk   float64 `json:"bulk,default=1"`
}

// Log selects the form and the level of log lines.
type Log struct {
	Format string `json:"format,default=json,options=json|text"`
	Level  string `json:"level,default=info,options=debug|info|warn|error"`
}

// Settings are the settings of one balancer. docs/operations.md describes each of them.
type Settings struct {
	ID              string        `json:"id"`                                                              // name of the host, unique in the fleet
	FailureDomain   string        `json:"failure_domain"`                                                  // as used in the pools table
	CallerAddress   string        `json:"caller_address"`                                                  // UDP, receives from the fabric
	FabricAddress   string        `json:"fabric_address"`                                                  // UDP, takes packets for callers
	PeerAddress     string        `json:"peer_address"`                                                    // UDP and TCP, for other balancers
	OperatorAddress string        `json:"operator_address"`                                                // HTTP: /healthz, /readyz, /metrics, /status
	Platform        string        `json:"platform"`                                                        // base URL of the object API
	Peers           []string      `json:"peers,optional"`                                                  // peer addresses to join through
	TicketKeys      []TicketKey   `json:"ticket_keys"`                                                     // the first seals, all open
	RoutingMode     string        `json:"routing_mode,default=owner,options=owner|hash|least_connections"` // all but owner are baselines for measurements
	PreferLocal     bool          `json:"prefer_local,optional"`                                           // new flows stay in the failure domain of the balancer that they reach first
	ShardEndpoints  int           `json:"shard_endpoints,default=32,range=[1:1000]"`                       // endpoints in one pool shard
	QueueLimit      int           `json:"queue_limit,default=1024,range=[1:1000000]"`                      // waiting requests in one pool shard
	MaxFlows        int           `json:"max_flows,default=200000,range=[1:10000000]"`                     // flows in one pool shard
	Weights         Weights       `json:"weights,optional"`                                                // of the classes
	FlowIdle        time.Duration `json:"flow_idle,default=5m"`                                            // a flow without packets is forgotten after this time
	SlowStartStep   time.Duration `json:"slow_start_step,default=1s"`                                      // time of good answers that earns a new endpoint its next slot
	ControlBytes    int           `json:"control_bytes_per_second,default=4096,range=[1024:1048576]"`      // gossip budget
	DrainLimit      time.Duration `json:"drain_limit,default=30s"`                                         // requests in progress may take this long after SIGTERM
	Log             Log           `json:"log,optional"`
}

// Fault is one wrong setting.
type Fault struct {
	File   string
	Field  string
	Reason string
}

// String returns the fault as one line.
func (f Fault) String() string { return fmt.Sprintf("%s: %s: %s", f.File, f.Field, f.Reason) }

// FaultsError reports all faults of a settings file.
type FaultsError struct {
	Faults []Fault
}

func (e *FaultsError) Error() string {
	lines := make([]string, len(e.Faults))
	for i, f := range e.Faults {
		lines[i] = f.String()
	}
	return strings.Join(lines, "\n")
}

// Load reads and checks a settings file.
func Load(file string) (*Settings, error) {
	data, err := os.ReadFile(file)
	if err != nil {
		return nil, errors.Wrap(err, "read settings")
	}
	return Parse(file, data)
}

// Parse reads and checks settings. The file name appears in faults only.
func Parse(file string, data []byte) (*Settings, error) {
	faults := unknownFields(file, data)
	var s Settings
	if err := conf.LoadFromYamlBytes(data, &s); err != nil {
		faults = append(faults, Fault{file, "settings", err.Error()})
		return nil, &FaultsError{faults}
	}
	if s.Weights == (Weights{}) {
		s.Weights = Weights{Urgent: 6, Normal: 3, Bulk: 1}
	}
	if s.Log == (Log{}) {
		s.Log = Log{Format: "json", Level: "info"}
	}
	faults = append(faults, s.check(file)...)
	if len(faults) > 0 {
		return nil, &FaultsError{faults}
	}
	return &s, nil
}

// unknownFields finds names that no setting has: go-zero ignores them, so a misspelt name would have no effect.
func unknownFields(file string, data []byte) []Fault {
	var given map[string]any
	if err := yaml.Unmarshal(data, &given); err != nil {
		return []Fault{{file, "settings", err.Error()}}
	}
	known := map[string]bool{}
	for _, name := range Names() {
		known[name] = true
	}
	var faults []Fault
	for name := range given {
		if !known[name] {
			faults = append(faults, Fault{file, name, "no such setting"})
		}
	}
	return faults
}

func (s *Settings) check(file string) []Fault {
	var faults []Fault
	add := func(field, format string, args ...any) {
		faults = append(faults, Fault{file, field, fmt.Sprintf(format, args...)})
	}
	for field, name := range map[string]string{"id": s.ID, "failure_domain": s.FailureDomain} {
		if name == "" || len(name) > packet.MaxNameBytes {
			add(field, "must have 1 to %d bytes", packet.MaxNameBytes)
		}
	}
	addresses := map[string]string{
		"caller_address": s.CallerAddress, "fabric_address": s.FabricAddress, "peer_address": s.PeerAddress,
		"operator_address": s.OperatorAddress,
	}
	for i, p := range s.Peers {
		addresses[fmt.Sprintf("peers[%d]", i)] = p
	}
	for field, a := range addresses {
		if _, err := netip.ParseAddrPort(a); err != nil {
			add(field, "%q is not an IP address with a port", a)
		}
	}
	if u, err := url.Parse(s.Platform); err != nil || u.Scheme == "" || u.Host == "" {
		add("platform", "%q is not a URL", s.Platform)
	}
	if len(s.TicketKeys) == 0 || len(s.TicketKeys) > 2 {
		add("ticket_keys", "must have one or two keys, has %d", len(s.TicketKeys))
	}
	for i, k := range s.TicketKeys {
		if secret, err := hex.DecodeString(k.Secret); err != nil || len(secret) < 16 {
			add(fmt.Sprintf("ticket_keys[%d].secret", i), "must be at least 16 bytes in hexadecimal digits")
		}
	}
	if len(s.TicketKeys) == 2 && s.TicketKeys[0].ID == s.TicketKeys[1].ID {
		add("ticket_keys[1].id", "same as ticket_keys[0].id")
	}
	for field, w := range map[string]float64{
		"weights.urgent": s.Weights.Urgent, "weights.normal": s.Weights.Normal, "weights.bulk": s.Weights.Bulk,
	} {
		if w <= 0 {
			add(field, "must be above 0")
		}
	}
	for field, d := range map[string]time.Duration{
		"flow_idle": s.FlowIdle, "slow_start_step": s.SlowStartStep, "drain_limit": s.DrainLimit,
	} {
		if d <= 0 {
			add(field, "must be above 0s")
		}
	}
	return faults
}
