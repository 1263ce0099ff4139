package keys

import (
	"crypto/tls"
	"errors"
	"net"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
)

func newAuthority(t *testing.T) *Authority {
	t.Helper()
	a, err := NewAuthority(time.Now())
	if err != nil {
		t.Fatal(err)
	}
	return a
}

func TestVerify(t *testing.T) {
	now := time.Now()
	ours, other := newAuthority(t), newAuthority(t)
	kapur := Principal{Role: RoleCaller, Team: "quotes", Name: "kapur"}
	tests := []struct {
		name     string
		issuer   *Authority
		lifetime time.Duration
		want     error
	}{
		{"good", ours, time.Hour, nil},
		{"expired", ours, -time.Second, ErrToken},
		{"other authority", other, time.Hour, ErrToken},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			token, err := tt.issuer.Token(kapur, now, tt.lifetime)
			if err != nil {
				t.Fatal(err)
			}
			got, err := Verify(token, ours.Public(), now)
			if !errors.Is(err, tt.want) {
				t.Fatalf("Verify: %v", err)
			}
			if err == nil {
				if d := cmp.Diff(kapur, got); d != "" {
					t.Error(d)
				}
			}
		})
	}
}

func TestMutualTLS(t *testing.T) {
	now := time.Now()
	ours, other := newAuthority(t), newAuthority(t)
	tests := []struct {
		name   string
		issuer *Authority
		ok     bool
	}{
		{"same authority", ours, true},
		{"other authority", other, false},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			entry := newTLSConfig(t, ours, RoleEntry, now)
			agent := newTLSConfig(t, tt.issuer, RoleAgent, now)
			agent.ServerName = "127.0.0.1"
			if err := handshake(entry, agent); (err == nil) != tt.ok {
				t.Errorf("handshake: %v", err)
			}
		})
	}
}

func newTLSConfig(t *testing.T, a *Authority, role Role, now time.Time) *tls.Config {
	t.Helper()
	pair, err := a.Issue(role, "one", now, "127.0.0.1")
	if err != nil {
		t.Fatal(err)
	}
	config, err := pair.TLS()
	if err != nil {
		t.Fatal(err)
	}
	return config
}

func handshake(server, client *tls.Config) error {
	a, b := net.Pipe()
	defer a.Close()
	defer b.Close()
	done := make(chan error, 1)
	go func() {
		err := tls.Server(a, server).Handshake()
		_ = a.Close()
		done <- err
	}()
	err := tls.Client(b, client).Handshake()
	if err == nil {
		err = <-done
	}
	return err
}

func TestAuthorityRoundTrip(t *testing.T) {
	a := newAuthority(t)
	cert, key, err := a.MarshalPEM()
	if err != nil {
		t.Fatal(err)
	}
	b, err := ParseAuthority(cert, key)
	if err != nil {
		t.Fatal(err)
	}
	if !a.Key.Equal(b.Key) || !a.Certificate.Equal(b.Certificate) {
		t.Error("the authority that was read is not the one that was written")
	}
	if _, err := ParseAuthority(cert, cert); err == nil {
		t.Error("a certificate was accepted as a key")
	}
}
