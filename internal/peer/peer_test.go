package peer

import (
	"context"
	"crypto/tls"
	"errors"
	"io"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"sniperill.example/sniperill/internal/keys"
)

// fakeTransport is a transport that can go silent. Calls then wait until their context
// ends.
type fakeTransport struct {
	silent atomic.Bool
	closed atomic.Bool
}

func (f *fakeTransport) roundTrip(r *http.Request) (*http.Response, error) {
	if f.silent.Load() {
		<-r.Context().Done()
		return nil, context.Cause(r.Context())
	}
	return &http.Response{StatusCode: http.StatusOK, Body: io.NopCloser(strings.NewReader("ok"))}, nil
}

func (f *fakeTransport) close() error {
	f.closed.Store(true)
	return nil
}

func TestPoolSilence(t *testing.T) {
	tests := []struct {
		name      string
		allSilent bool
		opened    int
		want      error
	}{
		{"old connection only", false, 2, ErrConnectionReplaced},
		{"the peer itself", true, 3, context.DeadlineExceeded},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				var transports []*fakeTransport
				p := &Pool{Scheme: "http", New: func(string) Transport {
					f := &fakeTransport{}
					f.silent.Store(tt.allSilent || len(transports) == 0)
					transports = append(transports, f)
					return Transport{RoundTrip: f.roundTrip, Close: f.close}
				}}
				ctx, cancel := context.WithTimeout(t.Context(), 3*time.Second)
				defer cancel()
				r, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://agent/work", nil)
				if err != nil {
					t.Fatal(err)
				}
				_, err = p.RoundTrip(r)
				if !errors.Is(err, tt.want) {
					t.Errorf("RoundTrip: %v", err)
				}
				synctest.Wait()
				if len(transports) != tt.opened || transports[0].closed.Load() == tt.allSilent {
					t.Errorf("%d transports opened, first closed: %t", len(transports), transports[0].closed.Load())
				}
				if err := p.Close(); err != nil {
					t.Error(err)
				}
			})
		})
	}
}

// TestPoolShortCalls checks that a silent connection is replaced even when every call
// ends before PingAfter.
func TestPoolShortCalls(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var transports []*fakeTransport
		p := &Pool{Scheme: "http", New: func(string) Transport {
			f := &fakeTransport{}
			f.silent.Store(len(transports) == 0)
			transports = append(transports, f)
			return Transport{RoundTrip: f.roundTrip, Close: f.close}
		}}
		var err error
		for range 4 {
			ctx, cancel := context.WithTimeout(t.Context(), DefaultPingAfter/2)
			r, _ := http.NewRequestWithContext(ctx, http.MethodGet, "http://agent/work", nil)
			_, err = p.RoundTrip(r)
			cancel()
		}
		if err != nil {
			t.Errorf("fourth call: %v", err)
		}
		synctest.Wait()
		if err := p.Close(); err != nil {
			t.Error(err)
		}
	})
}

func TestPoolClosesIdle(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		transports := make(map[string]*fakeTransport)
		p := &Pool{Scheme: "http", New: func(address string) Transport {
			f := &fakeTransport{}
			transports[address] = f
			return Transport{RoundTrip: f.roundTrip, Close: f.close}
		}}
		call := func(address string) {
			response, err := p.Client().Get("http://" + address + "/work")
			if err != nil {
				t.Fatal(err)
			}
			_ = response.Body.Close()
		}
		call("replaced")
		call("kept")
		time.Sleep(DefaultIdleTimeout)
		call("kept")
		call("new")
		for address, closed := range map[string]bool{"replaced": true, "kept": false, "new": false} {
			if transports[address].closed.Load() != closed {
				t.Errorf("%s closed: %t", address, !closed)
			}
		}
		if err := p.Close(); err != nil {
			t.Error(err)
		}
	})
}

func TestPoolClosed(t *testing.T) {
	p := &Pool{Scheme: "http", New: func(string) Transport { return Transport{} }}
	if err := p.Close(); err != nil {
		t.Fatal(err)
	}
	r, err := http.NewRequest(http.MethodGet, "http://agent/work", nil)
	if err != nil {
		t.Fatal(err)
	}
	if _, err := p.RoundTrip(r); !errors.Is(err, ErrPoolClosed) {
		t.Errorf("RoundTrip: %v", err)
	}
}

func TestQUIC(t *testing.T) {
	a, err := keys.NewAuthority(time.Now())
	if err != nil {
		t.Fatal(err)
	}
	s := &QUICServer{Config: newTLSConfig(t, a), Handler: http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		_, _ = io.WriteString(w, "served")
	})}
	address, err := s.Listen("127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	served := make(chan error, 1)
	go func() { served <- s.Serve() }()
	p := NewQUICPool(newTLSConfig(t, a))
	for path, want := range map[string]string{"/work": "served", PingPath: ""} {
		response, err := p.Client().Get("https://" + address + path)
		if err != nil {
			t.Fatal(err)
		}
		got, _ := io.ReadAll(response.Body)
		_ = response.Body.Close()
		if string(got) != want {
			t.Errorf("%s: %q", path, got)
		}
	}
	if err := p.Close(); err != nil {
		t.Error(err)
	}
	if err := s.Shutdown(t.Context()); err != nil {
		t.Error(err)
	}
	if err := <-served; err != nil {
		t.Error(err)
	}
}

func newTLSConfig(t *testing.T, a *keys.Authority) *tls.Config {
	t.Helper()
	pair, err := a.Issue(keys.RoleAgent, "one", time.Now(), "127.0.0.1")
	if err != nil {
		t.Fatal(err)
	}
	c, err := pair.TLS()
	if err != nil {
		t.Fatal(err)
	}
	return c
}
