package caller

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"time"

	"connectrpc.com/connect"
	"go.opentelemetry.io/contrib/instrumentation/net/http/otelhttp"
	"google.golang.org/protobuf/types/known/durationpb"

	"sniperill.example/sniperill/internal/admission"
	"sniperill.example/sniperill/internal/entry"
	"sniperill.example/sniperill/internal/peer"
	"sniperill.example/sniperill/pkg/shop"
	sniperillv1 "sniperill.example/sniperill/proto/sniperill/v1"
	"sniperill.example/sniperill/proto/sniperill/v1/sniperillv1connect"
)

// MaxWait bounds a single Wait call. A caller that wants to wait longer calls again.
const MaxWait = 30 * time.Second

// Handler serves callers. Its exported fields are set before Register.
type Handler struct {
	Entry   *entry.Entry
	Auth    *Authenticator
	Options []connect.HandlerOption
}

// Register adds the callers' paths to a mux.
func (h *Handler) Register(mux *http.ServeMux) {
	plain := http.NewServeMux()
	plain.HandleFunc("POST /v1/call/{class}", h.callHTTP)
	plain.HandleFunc("GET /v1/answers/{id}", h.answerHTTP)
	plain.HandleFunc("DELETE /v1/answers/{id}", h.acknowledgeHTTP)
	mux.Handle("/v1/", h.Auth.Wrap(otelhttp.NewHandler(plain, "caller")))

	service := http.NewServeMux()
	peer.Handle(service, sniperillv1connect.CallerServiceSubmitProcedure, h.submit, h.Options...)
	peer.Handle(service, sniperillv1connect.CallerServiceWaitProcedure, h.wait, h.Options...)
	peer.Handle(service, sniperillv1connect.CallerServiceCancelProcedure, h.cancel, h.Options...)
	peer.Handle(service, sniperillv1connect.CallerServiceCallProcedure, h.call, h.Options...)
	peer.Handle(service, sniperillv1connect.CallerServiceFetchAnswerProcedure, h.fetch, h.Options...)
	mux.Handle("/"+sniperillv1connect.CallerServiceName+"/", h.Auth.Wrap(service))
}

func (h *Handler) submit(ctx context.Context, r *sniperillv1.SubmitRequest) (*sniperillv1.SubmitResponse, error) {
	s := entry.Submission{
		ID: r.Id, Team: PrincipalOf(ctx).Team, Class: r.Class,
		RunTime: r.RunTime.AsDuration(), Payload: r.Payload,
	}
	if r.Shape != nil {
		shape := entry.ShapeFromProto(r.Shape)
		s.Shape = &shape
	}
	status, err := h.Entry.Submit(ctx, s)
	h.countJob(r.Class, err)
	if errors.Is(err, shop.ErrNotRun) {
		return &sniperillv1.SubmitResponse{
			Id: entry.IDWithoutTeam(status.ID), Outcome: string(shop.NotRun), Reason: err.Error(), RetryAfter: retryAfter(err),
		}, nil
	}
	if err != nil {
		return nil, err
	}
	return &sniperillv1.SubmitResponse{Id: entry.IDWithoutTeam(status.ID), Outcome: "accepted"}, nil
}

func retryAfter(err error) *durationpb.Duration {
	var refused *admission.Refusal
	if !errors.As(err, &refused) {
		return nil
	}
	return durationpb.New(refused.RetryAfter)
}

func (h *Handler) wait(ctx context.Context, r *sniperillv1.WaitRequest) (*sniperillv1.WaitResponse, error) {
	timeout := MaxWait
	if r.Timeout != nil {
		timeout = min(MaxWait, r.Timeout.AsDuration())
	}
	status, err := h.Entry.Wait(ctx, PrincipalOf(ctx).Team, r.Id, timeout)
	if err != nil {
		return nil, err
	}
	return &sniperillv1.WaitResponse{Job: StatusToProto(status), Resume: r.Id}, nil
}

func (h *Handler) cancel(ctx context.Context, r *sniperillv1.CancelRequest) (*sniperillv1.CancelResponse, error) {
	status, err := h.Entry.Cancel(ctx, PrincipalOf(ctx).Team, r.Id)
	if err != nil {
		return nil, err
	}
	return &sniperillv1.CancelResponse{Job: StatusToProto(status)}, nil
}

func (h *Handler) call(ctx context.Context, r *sniperillv1.CallRequest) (*sniperillv1.CallResponse, error) {
	start := time.Now()
	answer, err := h.Entry.Call(ctx, entry.Call{
		ID: r.Id, Team: PrincipalOf(ctx).Team, Class: r.Class, ContentType: r.ContentType, Body: r.Body,
		IdempotencyKey: r.IdempotencyKey,
	})
	h.countRequest(r.Class, start, err)
	return callResponse(answer, err)
}

func (h *Handler) fetch(ctx context.Context, r *sniperillv1.CallerFetchRequest) (*sniperillv1.CallResponse, error) {
	team := PrincipalOf(ctx).Team
	answer, err := h.Entry.FetchAnswer(ctx, team, r.Id, r.Wait.AsDuration())
	if err == nil && r.Acknowledge {
		if err := h.Entry.Acknowledge(ctx, team, r.Id, answer.Agent); err != nil {
			return nil, err
		}
	}
	return callResponse(answer, err)
}

// callResponse returns the outcomes that a caller has to distinguish as responses, and
// every other failure as an error.
func callResponse(a *sniperillv1.Answer, err error) (*sniperillv1.CallResponse, error) {
	if a == nil {
		if err == nil {
			err = fmt.Errorf("caller.callResponse: no answer: %w", shop.ErrUnavailable)
		}
		return nil, err
	}
	return &sniperillv1.CallResponse{
		Id: a.Id, Outcome: a.Outcome, Status: a.Status, ContentType: a.ContentType, Body: a.Body,
		Reason: a.Reason, RetryAfter: a.RetryAfter, Agent: a.Agent,
	}, nil
}

// StatusToProto converts a job's status to its message.
func StatusToProto(s entry.Status) *sniperillv1.JobStatus {
	return &sniperillv1.JobStatus{
		Id: entry.IDWithoutTeam(s.ID), Team: s.Team, Class: s.Class, State: string(s.State), Workers: s.Workers,
		Attempt: uint32(s.Attempt), Answer: s.Answer, Reason: s.Reason,
		SubmittedUnixMs: unixMilli(s.Submitted), StartedUnixMs: unixMilli(s.Started), EndedUnixMs: unixMilli(s.Ended),
	}
}

func unixMilli(t time.Time) int64 {
	if t.IsZero() {
		return 0
	}
	return t.UnixMilli()
}
