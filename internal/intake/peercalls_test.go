package intake

import (
	"errors"
	"testing"
	"testing/synctest"

	"sniperill.example/sniperill/internal/clusterstate"
)

// While too many calls to peers are under way, none is made, and nothing is refused that a peer may be writing.
func TestNothingIsRefusedWithoutAskingPeers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := &Service{
			MaxPeerCalls: 1, ClusterState: &clusterstate.State{},
			Peers: func() []Peer { return []Peer{{Name: "a"}, {Name: "b"}} }, // They can't be called.
		}
		release, err := s.acquirePeerCalls(t.Context(), 1)
		if err != nil {
			t.Fatal(err)
		}
		survey := s.surveyPeers(t.Context(), "5c0e7a21d94b36f8")
		if err := survey.qualify(ErrUnavailable); !errors.Is(err, ErrUndecided) || errors.Is(err, ErrUnavailable) || survey.hasReady {
			t.Errorf("survey %+v gives %v", survey, err)
		}
		release()
		release, err = s.acquirePeerCalls(t.Context(), 2) // More than there may be: all of them.
		if err != nil {
			t.Fatal(err)
		}
		release()
	})
}
