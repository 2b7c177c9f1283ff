package platform

import (
	"encoding/json"
	"time"

	"github.com/pkg/errors"

	"cornellb/core/coordination/configuration"
)

// Status is the content of a status object: the members of one failure domain as its readers see them.
type Status struct {
	FailureDomain string         `json:"failure_domain"`
	Writer        string         `json:"writer"` // host ID of the reader that wrote the object
	UpdatedAt     time.Time      `json:"updated_at"`
	Members       []MemberStatus `json:"members"`
}

// MemberStatus is one member in a status object.
type MemberStatus struct {
	HostID          string           `json:"host_id"`
	Incarnation     uint64           `json:"incarnation,string"` // string: many JSON parsers lose 64-bit precision
	State           string           `json:"state"`
	TableVersion    uint64           `json:"table_version"` // version in force; 0 if unknown
	RefusedVersions []RefusedVersion `json:"refused_versions,omitempty"`
}

// RefusedVersion is a version of the tables that a member did not put in force because it is invalid.
type RefusedVersion struct {
	Version uint64    `json:"version"`
	Reason  string    `json:"reason"`
	At      time.Time `json:"at"`
}

// The limits keep a status object of 700 members that have all refused versions below MaxValue, which is 1 MiB.
const (
	refusedLimit = 4   // number of refused versions per member, the newest ones
	reasonLimit  = 120 // length of a reason in bytes
)

// NewStatus converts the status of the configuration core.
func NewStatus(s configuration.Status, now time.Time) *Status {
	status := &Status{FailureDomain: s.FailureDomain, UpdatedAt: now.UTC(), Members: []MemberStatus{}}
	for _, m := range s.Members {
		converted := MemberStatus{
			HostID: m.Host.ID, Incarnation: uint64(m.Host.Incarnation), State: m.Host.State.String(),
			TableVersion: m.Version,
		}
		for _, r := range m.Refused[max(0, len(m.Refused)-refusedLimit):] {
			reason := r.Reason[:min(len(r.Reason), reasonLimit)]
			converted.RefusedVersions = append(converted.RefusedVersions,
				RefusedVersion{Version: r.Version, Reason: reason, At: r.At.UTC()})
		}
		if m.IsSelf {
			status.Writer = m.Host.ID
		}
		status.Members = append(status.Members, converted)
	}
	return status
}

// Encode returns the content of the status object.
func (s *Status) Encode() ([]byte, error) {
	data, err := json.Marshal(s)
	return data, errors.Wrap(err, "encode status")
}

// DecodeStatus reads the content of a status object. It accepts unknown fields, since a newer release may have written
// the object.
func DecodeStatus(data []byte) (*Status, error) {
	s := &Status{}
	if err := json.Unmarshal(data, s); err != nil {
		return nil, errors.Wrap(err, "decode status")
	}
	return s, nil
}
