// Package operator is the Go client for the administration API.
package operator

import (
	"context"
	"crypto/tls"
	"encoding/json"
	"fmt"
	"net/http"
	"time"

	"sniperill.example/sniperill/internal/peer"
	"sniperill.example/sniperill/pkg/shop"
	sniperillv1 "sniperill.example/sniperill/proto/sniperill/v1"
	"sniperill.example/sniperill/proto/sniperill/v1/sniperillv1connect"
)

// Client is a client of the entries of one deployment. Its exported fields must be set
// before Open, and Open must be called before any other method.
type Client struct {
	// URL is the URL of the load balancer or of an entry, such as https://127.0.0.1:7443.
	URL string
	// Token is the token of an operator.
	Token string
	// TLS is the TLS configuration; nil trusts the system's certificate authorities.
	TLS *tls.Config
	// HTTP is the HTTP client to use; nil creates one. Tests set it.
	HTTP *http.Client

	service sniperillv1connect.OperatorServiceClient
}

// Open prepares the client for use. It opens no connection yet.
func (c *Client) Open() {
	if c.HTTP == nil {
		c.HTTP = &http.Client{Transport: &http.Transport{TLSClientConfig: c.TLS, ForceAttemptHTTP2: true}}
	}
	c.service = sniperillv1connect.NewOperatorServiceClient(c.HTTP, c.URL, peer.ClientOptions(c.Token)...)
}

// ConflictError is a shop.ErrConflict with the version that was accepted instead and its
// author.
type ConflictError struct {
	Author  string
	Version uint64
}

// Error implements error.
func (e *ConflictError) Error() string {
	return fmt.Sprintf("version %d of %s came first", e.Version, e.Author)
}

// Is makes errors.Is(err, shop.ErrConflict) true.
func (e *ConflictError) Is(target error) bool { return target == shop.ErrConflict }

// Apply publishes a configuration that is based on a version, and returns the new
// version. A dry run only validates it. Apply fails with a shop.ProblemList when the
// configuration is invalid, and with a ConflictError when another change was accepted
// first.
func (c *Client) Apply(ctx context.Context, config shop.Config, base uint64, author string, dryRun bool) (uint64, error) {
	data, err := json.Marshal(config.WithVersion(0))
	if err != nil {
		return 0, fmt.Errorf("operator.Apply: %w", err)
	}
	res, err := peer.Call(ctx, c.service.Apply, &sniperillv1.ApplyRequest{
		Config: data, Base: base, Author: author, DryRun: dryRun,
	})
	return applyResult("Apply", res, err)
}

// Object is one object of the configuration.
type Object struct {
	// Kind is "team", "class", "backend-server", "policy" or "evacuation", whose name is the zone.
	Kind string
	Name string
	// JSON is the object as JSON; empty removes it.
	JSON []byte
}

// Change sets or removes one object, based on a version, and returns the new version. It
// fails as Apply does.
func (c *Client) Change(ctx context.Context, o Object, base uint64, author string) (uint64, error) {
	res, err := peer.Call(ctx, c.service.Change, &sniperillv1.ChangeRequest{
		Kind: o.Kind, Name: o.Name, Object: o.JSON, Base: base, Author: author,
	})
	return applyResult("Change", res, err)
}

// applyResult returns the new version, or the error of an operation that changes the
// configuration.
func applyResult(name string, res *sniperillv1.ApplyResponse, err error) (uint64, error) {
	if err != nil {
		return 0, fmt.Errorf("operator.%s: %w", name, err)
	}
	if len(res.Problems) > 0 {
		var l shop.ProblemList
		for _, p := range res.Problems {
			l = append(l, shop.Problem{File: p.File, Field: p.Field, Value: p.Value, Message: p.Message})
		}
		return 0, fmt.Errorf("operator.%s: %w", name, l)
	}
	if !res.Applied {
		return 0, fmt.Errorf("operator.%s: %w", name, &ConflictError{Author: res.ConflictAuthor, Version: res.Version})
	}
	return res.Version, nil
}

// Config is the current configuration.
type Config struct {
	shop.Config

	Author string
	// Staleness is the maximum age of what the entry knows.
	Staleness time.Duration
}

// Config returns the current configuration. It fails with shop.ErrNotFound when there is
// none yet.
func (c *Client) Config(ctx context.Context) (Config, error) {
	res, err := peer.Call(ctx, c.service.GetConfig, &sniperillv1.GetConfigRequest{})
	if err != nil {
		return Config{}, fmt.Errorf("operator.Config: %w", err)
	}
	out := Config{Author: res.Author, Staleness: time.Duration(res.StaleMs) * time.Millisecond}
	if err := json.Unmarshal(res.Config, &out.Config); err != nil {
		return Config{}, fmt.Errorf("operator.Config: %w", err)
	}
	return out, nil
}

// Teams returns the status of each team: its jobs and the accelerators that it uses,
// owns and borrows.
func (c *Client) Teams(ctx context.Context) ([]*sniperillv1.TeamStatus, error) {
	res, err := peer.Call(ctx, c.service.ListTeams, &sniperillv1.ListTeamsRequest{})
	if err != nil {
		return nil, fmt.Errorf("operator.Teams: %w", err)
	}
	return res.Teams, nil
}

// Guarantees returns the status of each guarantee: the accelerators that back it, and
// the cause when it isn't backed.
func (c *Client) Guarantees(ctx context.Context) ([]*sniperillv1.GuaranteeStatus, error) {
	res, err := peer.Call(ctx, c.service.ListGuarantees, &sniperillv1.ListGuaranteesRequest{})
	if err != nil {
		return nil, fmt.Errorf("operator.Guarantees: %w", err)
	}
	return res.Guarantees, nil
}

// Workers returns all workers that the entry knows.
func (c *Client) Workers(ctx context.Context) ([]*sniperillv1.WorkerStatus, error) {
	res, err := peer.Call(ctx, c.service.ListWorkers, &sniperillv1.ListWorkersRequest{})
	if err != nil {
		return nil, fmt.Errorf("operator.Workers: %w", err)
	}
	return res.Workers, nil
}

// Jobs returns the jobs of a team, or of all teams when team is empty.
func (c *Client) Jobs(ctx context.Context, team string) ([]*sniperillv1.JobStatus, error) {
	res, err := peer.Call(ctx, c.service.ListJobs, &sniperillv1.ListJobsRequest{Team: team})
	if err != nil {
		return nil, fmt.Errorf("operator.Jobs: %w", err)
	}
	return res.Jobs, nil
}

// Drain asks a worker's agent to accept no new work and to leave the deployment.
func (c *Client) Drain(ctx context.Context, worker string) error {
	if _, err := peer.Call(ctx, c.service.Drain, &sniperillv1.DrainRequest{Worker: worker}); err != nil {
		return fmt.Errorf("operator.Drain: %w", err)
	}
	return nil
}
