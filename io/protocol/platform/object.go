// Package platform defines the JSON objects of the platform's API and the YAML file in which operators edit the tables.
//
// # Usage
//
// The paths and the types Object, ObjectList, PutRequest, HostList and ErrorReply define the API. Status is the content
// of objects of KindStatus; core/state/table defines the content of the objects that hold the tables. DecodeTables
// decodes a tables file and reports all of its faults at once, EncodeTables encodes one.
//
// The API is as follows. The version of an object increases with each write, and no version is used twice.
//
//	GET /v1/objects/KIND/NAME                         Object
//	GET /v1/objects/KIND                              ObjectList
//	PUT /v1/objects/KIND/NAME       PutRequest        Object without value, or 409 and ErrorReply
//	GET /v1/watch/KIND/NAME?after=VERSION&wait=2s     Object with another version, or 204 after the wait
//	GET /v1/hosts                                     HostList
package platform

import (
	"net/url"
	"strconv"
	"time"
)

// Kinds and names of the objects that cornellb stores in the platform.
const (
	KindTables  = "tables"   // the only object is named NameHead
	NameHead    = "head"     // content: table.Head
	KindSegment = "segments" // named by the digest of the content, written once
	KindStatus  = "status"   // named by failure domain; content: Status
)

// Paths of the API.
const (
	ObjectsPath = "/v1/objects/"
	WatchPath   = "/v1/watch/"
	HostsPath   = "/v1/hosts"
)

// MaxValue is the maximum size of an object's value in bytes.
const MaxValue = 1 << 20

// Object is one object of the platform.
type Object struct {
	Kind    string `json:"kind"`
	Name    string `json:"name"`
	Version uint64 `json:"version"`         // 0 means that the object does not exist
	Value   []byte `json:"value,omitempty"` // base64 in JSON, so that any bytes are preserved
}

// ObjectList holds all objects of a kind.
type ObjectList struct {
	Objects []Object `json:"objects"`
}

// PutRequest is the body of a PUT. It writes an object if its version is IfVersion; 0 means that it must not exist.
type PutRequest struct {
	IfVersion uint64 `json:"if_version"`
	Value     []byte `json:"value"`
}

// ErrorReply is the body of responses with an error status.
type ErrorReply struct {
	Message string `json:"message"`
	Version uint64 `json:"version,omitempty"` // current version of the object, if the status is 409
}

// Host is one entry of the host list.
type Host struct {
	ID            string `json:"id"`
	Role          string `json:"role"`    // RoleBalancer or RoleBackend
	Address       string `json:"address"` // of the balancer's peer port or of the backend server
	FailureDomain string `json:"failure_domain"`
	Live          bool   `json:"live"`
	Leaving       bool   `json:"leaving"` // takes no new work and will be removed
}

// Roles of hosts.
const (
	RoleBalancer = "balancer"
	RoleBackend  = "backend"
)

// HostList is the platform's view of the hosts. It may be out of date, so it is only a hint.
type HostList struct {
	AsOf  time.Time `json:"as_of"`
	Hosts []Host    `json:"hosts"`
}

// ObjectPath returns the path of an object.
func ObjectPath(kind, name string) string {
	return ObjectsPath + url.PathEscape(kind) + "/" + url.PathEscape(name)
}

// ListPath returns the path of the list of all objects of a kind.
func ListPath(kind string) string { return ObjectsPath + url.PathEscape(kind) }

// WatchQuery returns the path and query of a long poll that ends when the version differs from after.
func WatchQuery(kind, name string, after uint64, wait time.Duration) string {
	q := url.Values{"after": {strconv.FormatUint(after, 10)}, "wait": {wait.String()}}
	return WatchPath + url.PathEscape(kind) + "/" + url.PathEscape(name) + "?" + q.Encode()
}
