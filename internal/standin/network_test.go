package standin

import (
	"context"
	"errors"
	"io"
	"net/http"
	"testing"
	"testing/synctest"
	"time"

	"connectrpc.com/connect"
	"google.golang.org/protobuf/types/known/durationpb"

	sniperillv1 "sniperill.example/sniperill/proto/sniperill/v1"
)

func TestNetworkFaults(t *testing.T) {
	tests := []struct {
		name  string
		fault func(*Network)
		// Whether a request is answered on the open connection, and on a new one.
		open, fresh bool
		elapsed     time.Duration // Of the request on a new connection.
	}{
		{"no fault", func(*Network) {}, true, true, 0},
		{"cut", func(n *Network) { n.Cut("a", "b") }, false, false, 0},
		{"cut and healed", func(n *Network) { n.Cut("a", "b"); n.Heal("a", "b") }, true, true, 0},
		{"opposite link cut", func(n *Network) { n.Cut("b", "a") }, true, true, 0},
		{"silenced", func(n *Network) { n.Silence("a", "b") }, false, true, 0},
		{"delayed", func(n *Network) { n.Delay("a", "b", time.Second) }, true, true, 3 * time.Second},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				n := &Network{}
				server := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
					_, _ = io.WriteString(w, "yes")
				})}
				go func() { _ = server.Serve(n.Listen("b")) }()
				synctest.Wait()
				defer n.Close()
				defer server.Close()
				get := func(tr *http.Transport) bool {
					ctx, cancel := context.WithTimeout(t.Context(), 10*time.Second)
					defer cancel()
					req, _ := http.NewRequestWithContext(ctx, http.MethodGet, "http://b/", nil)
					resp, err := tr.RoundTrip(req)
					if err != nil {
						return false
					}
					defer resp.Body.Close()
					body, err := io.ReadAll(resp.Body)
					return err == nil && string(body) == "yes"
				}
				open, fresh := n.Transport("a"), n.Transport("a")
				defer open.CloseIdleConnections()
				defer fresh.CloseIdleConnections()
				if !get(open) {
					t.Fatal("no answer before the fault")
				}
				tt.fault(n)
				if got := get(open); got != tt.open {
					t.Errorf("open connection answers: %v", got)
				}
				start := time.Now()
				if got := get(fresh); got != tt.fresh {
					t.Errorf("new connection answers: %v", got)
				}
				if got := time.Since(start); got != tt.elapsed {
					t.Errorf("new connection took %v, want %v", got, tt.elapsed)
				}
			})
		})
	}
}

func TestLogTrimsAndWaits(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		l := &Log{AppendRate: 2}
		add := func() error {
			_, err := l.Append(t.Context(), connect.NewRequest(&sniperillv1.AppendRequest{Stream: "s", Records: [][]byte{{1}, {2}}}))
			return err
		}
		read := func(offset uint64, wait time.Duration) (*sniperillv1.ReadResponse, error) {
			resp, err := l.Read(t.Context(), connect.NewRequest(&sniperillv1.ReadRequest{Stream: "s", Offset: offset, Wait: durationpb.New(wait)}))
			if err != nil {
				return nil, err
			}
			return resp.Msg, nil
		}
		if err := errors.Join(add(), add()); err != nil {
			t.Fatal(err)
		}
		if err := add(); connect.CodeOf(err) != connect.CodeResourceExhausted {
			t.Errorf("third append in a second: %v", err)
		}
		time.AfterFunc(time.Minute, func() { _ = add() })
		start := time.Now()
		if resp, err := read(4, time.Hour); err != nil || len(resp.Records) != 2 || time.Since(start) != time.Minute {
			t.Errorf("long poll: %v, %v after %v", resp, err, time.Since(start))
		}
		l.Trim("s", 5)
		if _, err := read(0, 0); connect.CodeOf(err) != connect.CodeOutOfRange {
			t.Errorf("trimmed read: %v", err)
		}
		l.TrimOlder(time.Second)
		if resp, err := read(4, 0); err != nil || resp.First != 4 || resp.Next != 6 {
			t.Errorf("after trimming by age: %v, %v", resp, err)
		}
	})
}
