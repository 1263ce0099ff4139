package agent

import (
	"context"
	"fmt"
	"net/http"

	"sniperill.example/sniperill/internal/backend"
	"sniperill.example/sniperill/internal/request"
	"sniperill.example/sniperill/pkg/shop"
	sniperillv1 "sniperill.example/sniperill/proto/sniperill/v1"
)

// send sends a request to the backend server within the current limits.
func (a *Agent) send(ctx context.Context, r backend.Request) (backend.Answer, error) {
	s := a.activeBackend.Load()
	if s == nil {
		return backend.Answer{}, fmt.Errorf("agent.send: no backend server: %w", shop.ErrNotRun)
	}
	return s.Send(ctx, r)
}

// fetchAnswer returns the answer of a job that this agent led or of a request.
func (a *Agent) fetchAnswer(ctx context.Context, r *sniperillv1.FetchAnswerRequest) (*sniperillv1.FetchAnswerResponse, error) {
	if answer := a.allocator.Answer(r.Id); answer != nil {
		response := request.NewAnswer(r.Id, answer.Attempt, http.StatusOK, "", answer.Body)
		response.Agent = a.Name()
		return &sniperillv1.FetchAnswerResponse{Known: true, Answer: response}, nil
	}
	return a.table.FetchAnswer(ctx, r)
}

func (a *Agent) acknowledge(ctx context.Context, r *sniperillv1.AcknowledgeRequest) (*sniperillv1.AcknowledgeResponse, error) {
	if _, err := a.allocator.Acknowledge(ctx, r); err != nil {
		return nil, err
	}
	return a.table.Acknowledge(ctx, r)
}

func (a *Agent) ping(_ context.Context, r *sniperillv1.PingRequest) (*sniperillv1.PingResponse, error) {
	return &sniperillv1.PingResponse{Sequence: r.Sequence, Name: a.Name(), Incarnation: a.Incarnation}, nil
}
