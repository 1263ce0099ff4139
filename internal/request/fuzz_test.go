package request_test

import (
	"context"
	"testing"

	"sniperill.example/sniperill/internal/backend"
	"sniperill.example/sniperill/internal/request"
	"sniperill.example/sniperill/pkg/shop"
	sniperillv1 "sniperill.example/sniperill/proto/sniperill/v1"
)

// FuzzServe checks that, whatever a peer sends, a request runs only with its own
// ticket for this agent and incarnation, and that the answer passes Verify.
func FuzzServe(f *testing.F) {
	f.Add("x", "0.x", "a", uint64(incarnation), uint32(1))
	f.Add("x", "zz.x", "b", uint64(incarnation), uint32(0))
	f.Add("", ".", "a", uint64(0), uint32(9))
	f.Add("a.b", "-1.a.b", "a", uint64(incarnation), uint32(1))
	f.Fuzz(func(t *testing.T, id, ticket, agent string, ticketIncarnation uint64, attempt uint32) {
		ran := false
		table := &request.Table{Agent: "a", Incarnation: incarnation}
		table.Send = func(context.Context, backend.Request) (backend.Answer, error) {
			ran = true
			return backend.Answer{Status: 200, Body: []byte(id)}, nil
		}
		res, err := table.Serve(t.Context(), &sniperillv1.ServeRequest{
			Id:      id,
			Attempt: attempt,
			Ticket:  &sniperillv1.Ticket{Id: ticket, Agent: agent, Incarnation: ticketIncarnation},
		})
		if err != nil {
			t.Fatal(err)
		}
		if err := request.Verify(res.GetAnswer(), id, attempt); err != nil {
			t.Error(err)
		}
		own := agent == "a" && ticketIncarnation == incarnation && len(ticket) > len(id) && ticket[len(ticket)-len(id):] == id
		if ran && !own {
			t.Errorf("%q ran under ticket %q of %q", id, ticket, agent)
		}
		if done := res.GetAnswer().GetOutcome() == string(shop.OutcomeDone); done != ran {
			t.Errorf("ran: %v, outcome in the answer: %s", ran, res.GetAnswer().GetOutcome())
		}
	})
}
