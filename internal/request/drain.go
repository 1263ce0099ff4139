package request

import (
	"context"
	"fmt"
	"strings"
)

// Unfinished is a request that was still running when its agent stopped.
type Unfinished struct {
	ID   string
	Team string
}

// UnfinishedList lists the requests that had not ended when the context of Drain
// did. It is an error when not empty.
type UnfinishedList []Unfinished

// Error lists the team and id of every request.
func (l UnfinishedList) Error() string {
	names := make([]string, len(l))
	for i, u := range l {
		names[i] = u.Team + " " + u.ID
	}
	return "unfinished requests: " + strings.Join(names, ", ")
}

// Leave makes the table refuse all new requests.
func (t *Table) Leave() {
	t.once.Do(t.init)
	t.leaving.Store(true)
}

// SetEvacuated sets whether the table refuses new requests, as operators evacuate its agent's zone.
func (t *Table) SetEvacuated(evacuated bool) { t.evacuated.Store(evacuated) }

// Leaving reports whether new requests are refused.
func (t *Table) Leaving() bool { return t.leaving.Load() }

// InProgress counts the requests that have not ended.
func (t *Table) InProgress() int { return int(t.inProgress.Load()) }

// finishRequest removes one request from inProgress and wakes Drain.
func (t *Table) finishRequest() {
	t.inProgress.Add(-1)
	select {
	case t.requestEnded <- struct{}{}:
	default:
	}
}

// Drain refuses new requests and returns when none is in progress. When ctx ends
// first, the error wraps an UnfinishedList.
func (t *Table) Drain(ctx context.Context) error {
	t.Leave()
	for t.inProgress.Load() > 0 {
		select {
		case <-t.requestEnded:
		case <-ctx.Done():
			if l := t.unfinished(); len(l) > 0 {
				return fmt.Errorf("request.Drain: %w: %w", ctx.Err(), l)
			}
			return nil
		}
	}
	return nil
}

func (t *Table) unfinished() UnfinishedList {
	var l UnfinishedList
	t.records.Range(func(_, value any) bool {
		r := value.(*record)
		if !r.isDone() {
			l = append(l, Unfinished{ID: r.id, Team: r.team})
		}
		return true
	})
	return l
}
