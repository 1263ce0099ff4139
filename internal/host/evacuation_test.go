package host_test

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"connectrpc.com/connect"
	"google.golang.org/protobuf/types/known/durationpb"

	"sniperill.example/sniperill/internal/host"
	pb "sniperill.example/sniperill/proto/sniperill/v1"
)

// Calls tell the agent of the evacuation of its worker's zone, and some of them pass each other or come from a planner
// that knows less.
func TestStartsInEvacuatedZoneAreRefused(t *testing.T) {
	evacuated, open := func(position int64) *pb.Evacuation { return &pb.Evacuation{Position: position, Evacuated: true} },
		func(position int64) *pb.Evacuation { return &pb.Evacuation{Position: position} }
	tests := []struct {
		name  string
		told  []*pb.Evacuation // By watch calls before.
		order *pb.Evacuation
		want  pb.Outcome
	}{
		{"not evacuated", []*pb.Evacuation{open(4)}, open(4), pb.Outcome_OUTCOME_STARTED},
		{"known to the order only, as after a restart of the agent", nil, evacuated(4), pb.Outcome_OUTCOME_REFUSED},
		{"told before", []*pb.Evacuation{evacuated(5)}, evacuated(5), pb.Outcome_OUTCOME_REFUSED},
		{"order of a planner that knows less", []*pb.Evacuation{evacuated(5)}, open(4), pb.Outcome_OUTCOME_REFUSED},
		{"calls pass each other", []*pb.Evacuation{evacuated(5), open(4)}, open(4), pb.Outcome_OUTCOME_REFUSED},
		{"taken back", []*pb.Evacuation{evacuated(5)}, open(6), pb.Outcome_OUTCOME_STARTED},
		{"taken back, order of before", []*pb.Evacuation{evacuated(5), open(6)}, evacuated(5), pb.Outcome_OUTCOME_STARTED},
		{"planner of an earlier version", []*pb.Evacuation{evacuated(5), nil}, nil, pb.Outcome_OUTCOME_STARTED},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := newFixture(t)
				f.renewFor(3 * time.Second)
				for _, e := range tt.told {
					if _, err := f.agent.Watch(f.ctx, connect.NewRequest(&pb.WatchRequest{Epoch: f.epoch, Evacuation: e})); err != nil {
						t.Fatal(err)
					}
				}
				f.renewFor(time.Second)
				got := f.order(&pb.OrderRequest{
					Agent: "a", AgentLife: "1", Report: f.lastReport.GetReport(), Grant: durationpb.New(lease),
					Evacuation: tt.order, Starts: []*pb.StartTask{{Task: "j.0.0.0", Run: 1}},
				})[0]
				if got.GetOutcome() != tt.want || got.GetUnsent() != (tt.want == pb.Outcome_OUTCOME_REFUSED) {
					t.Errorf("start: %v, want %v", got, tt.want)
				}
			})
		})
	}
}

// The worker doesn't answer a start, and its zone is evacuated meanwhile. The start is not sent again.
func TestStartIsNotRepeatedInEvacuatedZone(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFixture(t)
		sent := 0
		f.agent.Worker.Start = func(ctx context.Context, _ host.Start) error {
			sent++
			<-ctx.Done()
			return ctx.Err()
		}
		f.renewFor(3 * time.Second)
		time.AfterFunc(100*time.Millisecond, func() {
			m := &pb.WatchRequest{Epoch: f.epoch, Evacuation: &pb.Evacuation{Position: 5, Evacuated: true}}
			if _, err := f.agent.Watch(f.ctx, connect.NewRequest(m)); err != nil {
				t.Error(err)
			}
		})
		got := f.order(&pb.OrderRequest{
			Agent: "a", AgentLife: "1", Report: f.lastReport.GetReport(), Grant: durationpb.New(lease),
			Evacuation: &pb.Evacuation{Position: 4}, Starts: []*pb.StartTask{{Task: "j.0.0.0", Run: 1}},
		})[0]
		if got.GetOutcome() != pb.Outcome_OUTCOME_UNKNOWN || sent != 1 {
			t.Errorf("start: %v after %d calls, want unknown after one", got, sent)
		}
	})
}
