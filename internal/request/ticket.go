package request

import (
	"fmt"
	"strconv"
	"strings"
	"time"

	"sniperill.example/sniperill/pkg/shop"
	sniperillv1 "sniperill.example/sniperill/proto/sniperill/v1"
)

// NewTicket returns a ticket that binds a request to one incarnation of one
// agent. The ticket's id consists of the time at which it was minted and the id
// of the request.
func NewTicket(id, agent string, incarnation uint64, now time.Time) *sniperillv1.Ticket {
	return &sniperillv1.Ticket{
		Id:          strconv.FormatInt(now.UnixMilli(), 36) + "." + id,
		Agent:       agent,
		Incarnation: incarnation,
	}
}

// mintedAt returns the time at which the ticket of a request was minted, in Unix
// milliseconds.
func mintedAt(t *sniperillv1.Ticket, id string) (int64, error) {
	stamp, rest, ok := strings.Cut(t.GetId(), ".")
	minted, err := strconv.ParseInt(stamp, 36, 64)
	if !ok || err != nil || minted <= 0 || rest != id {
		return 0, fmt.Errorf("request.Ticket: %q is no ticket of request %s: %w", t.GetId(), id, shop.ErrInvalid)
	}
	return minted, nil
}
