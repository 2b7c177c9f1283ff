package operator

import (
	"context"
	"encoding/json"
	"fmt"
	"log/slog"
	"net/http"
	"net/netip"
	"net/url"
	"time"

	"github.com/pkg/errors"
)

const (
	explainPath = "/explain"
	// maxExplainQuery bounds the query of a question. Two addresses take less than 150 bytes.
	maxExplainQuery = 512
	// explainWait is how long a question waits for the one before it. Only one is answered at a time, so that questions do
	// not take the processor from packets.
	explainWait = time.Second
	// explainTimeout limits a question: a service with thousands of suspect endpoints takes some time on a small host.
	explainTimeout = 10 * time.Second
)

// Explainer is a StateProvider that explains where the request of a client would go now. The answer is encoded as JSON.
type Explainer interface {
	Explain(service, client netip.AddrPort) any
}

// Explanation is what a balancer in the direct return mode returns for /explain. steering.Explanation has the details.
type Explanation struct {
	Host          string         `json:"host"` // the balancer that was asked
	FailureDomain string         `json:"failure_domain"`
	Service       netip.AddrPort `json:"service_address"`
	Client        netip.AddrPort `json:"client_address"`
	Verdict       string         `json:"verdict"`          // forward, reset, drop or hold
	Reason        string         `json:"reason,omitempty"` // of another verdict than forward
	Rule          string         `json:"rule"`
	Version       uint64         `json:"version"`
	VersionAgeMS  int64          `json:"version_age_ms"` // since it was last known to be the newest; negative if it never was

	Route          *ExplainedRoute     `json:"route"`    // nil if there is none
	Selected       string              `json:"selected"` // the service that the flow gets; empty without a route
	Admission      *ExplainedAdmission `json:"admission"`
	FailureDomains []ExplainedDomain   `json:"failure_domains"`
	Candidates     []Candidate         `json:"candidates"`
	Others         int                 `json:"others"` // endpoints that are not evacuated and not listed
	Trials         int                 `json:"trials"` // choices that the likelihoods come from
}

// ExplainedRoute is the route of the address.
type ExplainedRoute struct {
	Name     string            `json:"name"`
	Priority int               `json:"priority"`
	Targets  []ExplainedTarget `json:"targets"`
}

// ExplainedTarget is a service of the route with its weight.
type ExplainedTarget struct {
	Service string  `json:"service"`
	Weight  float64 `json:"weight"`
}

// ExplainedAdmission says whether the load of the service admits the flow.
type ExplainedAdmission struct {
	IsLimited   bool    `json:"is_limited"` // false if the routes of the service do not differ in priority
	Utilization float64 `json:"utilization"`
	Refusal     float64 `json:"refusal_probability"`
	Hash        float64 `json:"flow_hash"` // the flow is refused if it is below the probability
	IsAdmitted  bool    `json:"is_admitted"`
}

// ExplainedDomain describes the endpoints of the service in a failure domain.
type ExplainedDomain struct {
	Name        string  `json:"failure_domain"`
	IsOwn       bool    `json:"is_own"`
	IsEvacuated bool    `json:"is_evacuated"`
	IsSuspect   bool    `json:"is_suspect"`
	Load        float64 `json:"load"`
	Endpoints   int     `json:"endpoints"`
	Eligible    int     `json:"eligible"` // may get flows from this balancer and are not suspect
}

// Candidate describes an endpoint.
type Candidate struct {
	Endpoint     string  `json:"endpoint"`
	Domain       string  `json:"failure_domain"`
	Load         float64 `json:"load"` // flows for each slot
	Flows        float64 `json:"flows"`
	Speed        float64 `json:"speed"`
	Penalty      float64 `json:"penalty"`
	IsSuspect    bool    `json:"is_suspect"`
	SuspectForMS int64   `json:"suspect_for_ms"`
	ColdForMS    int64   `json:"cold_for_ms"`
	MayOpen      bool    `json:"may_open"`
	Cost         float64 `json:"cost"` // 0 unless MayOpen
	Likelihood   float64 `json:"likelihood"`
}

// ExplanationError reports a balancer that did not answer with an explanation.
type ExplanationError struct {
	Address string // operator address
	Err     error
}

func (e *ExplanationError) Error() string {
	return fmt.Sprintf("balancer at %s does not explain the request: %v", e.Address, e.Err)
}

// Unwrap returns e.Err.
func (e *ExplanationError) Unwrap() error { return e.Err }

// Explain asks a balancer where the request of a client to a service address would go now. The error is
// an *ExplanationError.
func (c *Client) Explain(ctx context.Context, address string, service, client netip.AddrPort) (*Explanation, error) {
	ctx, cancel := context.WithTimeout(ctx, explainTimeout)
	defer cancel()
	query := url.Values{"service": {service.String()}, "client": {client.String()}}
	x := &Explanation{}
	err := c.get(ctx, "http://"+address+explainPath+"?"+query.Encode(), x)
	if err == nil && (x.Host == "" || x.Verdict == "") {
		err = errors.New("it is not one of the direct return mode, or of an older version")
	}
	if err != nil {
		return nil, &ExplanationError{Address: address, Err: err}
	}
	return x, nil
}

// newExplainHandler returns the handler of /explain.
func newExplainHandler(e Explainer) http.HandlerFunc {
	turn := make(chan struct{}, 1)
	return func(w http.ResponseWriter, r *http.Request) {
		service, client, err := parseExplainQuery(r.URL.RawQuery)
		if err != nil {
			writeLine(w, http.StatusBadRequest, err.Error())
			return
		}
		ctx, cancel := context.WithTimeout(r.Context(), explainWait)
		defer cancel()
		select {
		case turn <- struct{}{}:
		case <-ctx.Done():
			writeLine(w, http.StatusServiceUnavailable, "busy with another question")
			return
		}
		x := func() any {
			defer func() { <-turn }()
			return e.Explain(service, client)
		}()
		w.Header().Set("Content-Type", "application/json")
		if err := json.NewEncoder(w).Encode(x); err != nil {
			slog.Warn("response to GET /explain not written", "error", err)
		}
	}
}

// parseExplainQuery returns the two addresses of a query, which must have nothing else.
func parseExplainQuery(query string) (service, client netip.AddrPort, err error) {
	if len(query) > maxExplainQuery {
		return service, client, errors.New("the query is too long")
	}
	values, err := url.ParseQuery(query)
	if err != nil || len(values) != 2 || len(values["service"]) != 1 || len(values["client"]) != 1 {
		return service, client, errors.New("the query must have service and client, once each")
	}
	if service, err = ParseAddress(values.Get("service")); err != nil {
		return service, client, errors.Wrap(err, "service")
	}
	client, err = ParseAddress(values.Get("client"))
	return service, client, errors.Wrap(err, "client")
}

// ParseAddress parses an IPv4 address with a port, as packets of the direct return mode have them.
func ParseAddress(s string) (netip.AddrPort, error) {
	a, err := netip.ParseAddrPort(s)
	if err != nil || !a.Addr().Is4() || a.Port() == 0 {
		return netip.AddrPort{}, errors.Errorf("must be an IPv4 address with a port, not %.40q", s)
	}
	return a, nil
}
