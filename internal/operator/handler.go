// Package operator implements an entry's interface to operators, the
// administration API.
package operator

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net/http"

	"connectrpc.com/connect"

	"sniperill.example/sniperill/internal/caller"
	"sniperill.example/sniperill/internal/entry"
	"sniperill.example/sniperill/internal/peer"
	"sniperill.example/sniperill/internal/platform"
	"sniperill.example/sniperill/pkg/shop"
	sniperillv1 "sniperill.example/sniperill/proto/sniperill/v1"
	"sniperill.example/sniperill/proto/sniperill/v1/sniperillv1connect"
)

// Handler serves operators. Its exported fields are set before Register.
type Handler struct {
	Entry   *entry.Entry
	Auth    *caller.Authenticator
	Options []connect.HandlerOption
}

// Register adds the operators' paths to a mux.
func (h *Handler) Register(mux *http.ServeMux) {
	service := http.NewServeMux()
	peer.Handle(service, sniperillv1connect.OperatorServiceApplyProcedure, h.apply, h.Options...)
	peer.Handle(service, sniperillv1connect.OperatorServiceChangeProcedure, h.change, h.Options...)
	peer.Handle(service, sniperillv1connect.OperatorServiceGetConfigProcedure, h.config, h.Options...)
	peer.Handle(service, sniperillv1connect.OperatorServiceListTeamsProcedure, h.teams, h.Options...)
	peer.Handle(service, sniperillv1connect.OperatorServiceListGuaranteesProcedure, h.guarantees, h.Options...)
	peer.Handle(service, sniperillv1connect.OperatorServiceListWorkersProcedure, h.workers, h.Options...)
	peer.Handle(service, sniperillv1connect.OperatorServiceListJobsProcedure, h.jobs, h.Options...)
	peer.Handle(service, sniperillv1connect.OperatorServiceDrainProcedure, h.drain, h.Options...)
	mux.Handle("/"+sniperillv1connect.OperatorServiceName+"/", h.Auth.Wrap(service))
}

func (h *Handler) apply(ctx context.Context, r *sniperillv1.ApplyRequest) (*sniperillv1.ApplyResponse, error) {
	config, err := shop.ParseConfig(r.Config)
	if err != nil {
		return applyResponse(0, err)
	}
	version, err := h.Entry.Apply(ctx, config, r.Base, author(ctx, r.Author), r.DryRun)
	return applyResponse(version, err)
}

func (h *Handler) change(ctx context.Context, r *sniperillv1.ChangeRequest) (*sniperillv1.ApplyResponse, error) {
	version, err := h.Entry.Change(ctx, entry.Change{
		Kind: r.Kind, Name: r.Name, Object: r.Object, Base: r.Base, Author: author(ctx, r.Author),
	})
	return applyResponse(version, err)
}

// author returns the name in the operator's token, followed by the author that the request
// claims if it differs.
func author(ctx context.Context, claimed string) string {
	name := caller.PrincipalOf(ctx).Name
	if claimed == "" || claimed == name {
		return name
	}
	return fmt.Sprintf("%s (%s)", name, claimed)
}

// applyResponse returns mistakes in the configuration and conflicts as responses, because an
// operator has to read them, and other failures as errors.
func applyResponse(version uint64, err error) (*sniperillv1.ApplyResponse, error) {
	if err == nil {
		return &sniperillv1.ApplyResponse{Applied: true, Version: version}, nil
	}
	var problems shop.ProblemList
	if errors.As(err, &problems) {
		return &sniperillv1.ApplyResponse{Problems: problemsToProto(problems)}, nil
	}
	var conflict *entry.ConflictError
	if errors.As(err, &conflict) {
		return &sniperillv1.ApplyResponse{Version: conflict.Version, ConflictAuthor: conflict.Author}, nil
	}
	return nil, explainLogError(err)
}

// explainLogError adds to an error of the log whether the change may still be accepted.
func explainLogError(err error) error {
	switch {
	case errors.Is(err, platform.ErrOutcomeUnknown):
		return fmt.Errorf("the change may still be accepted: %w: %w", shop.ErrMayHaveRun, err)
	case errors.Is(err, platform.ErrNotAppended):
		return fmt.Errorf("the change is not accepted: %w: %w", shop.ErrUnavailable, err)
	default:
		return err
	}
}

func problemsToProto(l shop.ProblemList) []*sniperillv1.Problem {
	var out []*sniperillv1.Problem
	for _, p := range l {
		out = append(out, &sniperillv1.Problem{File: p.File, Field: p.Field, Value: p.Value, Message: p.Message})
	}
	return out
}

func (h *Handler) config(context.Context, *sniperillv1.GetConfigRequest) (*sniperillv1.GetConfigResponse, error) {
	accepted, stale, err := h.Entry.AcceptedConfig()
	if err != nil {
		return nil, err
	}
	data, err := json.Marshal(accepted.Config)
	if err != nil {
		return nil, fmt.Errorf("operator.config: %w", err)
	}
	return &sniperillv1.GetConfigResponse{
		Config: data, Version: accepted.Version, Author: accepted.Author, StaleMs: uint64(stale.Milliseconds()),
	}, nil
}

func (h *Handler) teams(context.Context, *sniperillv1.ListTeamsRequest) (*sniperillv1.ListTeamsResponse, error) {
	return &sniperillv1.ListTeamsResponse{Teams: h.Entry.Teams()}, nil
}

func (h *Handler) guarantees(context.Context, *sniperillv1.ListGuaranteesRequest) (*sniperillv1.ListGuaranteesResponse, error) {
	return &sniperillv1.ListGuaranteesResponse{Guarantees: h.Entry.Guarantees()}, nil
}

func (h *Handler) workers(context.Context, *sniperillv1.ListWorkersRequest) (*sniperillv1.ListWorkersResponse, error) {
	return &sniperillv1.ListWorkersResponse{Workers: h.Entry.Workers()}, nil
}

func (h *Handler) jobs(_ context.Context, r *sniperillv1.ListJobsRequest) (*sniperillv1.ListJobsResponse, error) {
	out := &sniperillv1.ListJobsResponse{}
	for _, s := range h.Entry.Jobs(r.Team) {
		out.Jobs = append(out.Jobs, caller.StatusToProto(s))
	}
	return out, nil
}

func (h *Handler) drain(ctx context.Context, r *sniperillv1.DrainRequest) (*sniperillv1.DrainResponse, error) {
	if err := h.Entry.Drain(ctx, r.Worker); err != nil {
		return nil, err
	}
	return &sniperillv1.DrainResponse{}, nil
}
