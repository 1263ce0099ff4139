package deployment

import (
	"context"
	"errors"
	"io"
	"net/http"
	"strings"
	"testing"
	"time"

	"connectrpc.com/connect"
	"github.com/rs/zerolog"

	"sniperill.example/sniperill/internal/keys"
	"sniperill.example/sniperill/pkg/caller"
	"sniperill.example/sniperill/pkg/operator"
	"sniperill.example/sniperill/pkg/shop"
)

// startLocal starts a deployment with the sample configuration, and stops it when the test
// ends.
func startLocal(t *testing.T, l *Local) *Local {
	t.Helper()
	l.Entries, l.Workers, l.Logger = 1, 3, zerolog.Nop()
	if err := l.Start(t.Context()); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() {
		ctx, cancel := context.WithTimeout(context.Background(), time.Second)
		defer cancel()
		_ = l.Stop(ctx) // Stops jobs that the test left running; the error names them.
	})
	folder, err := shop.ReadFolder(SampleFolder())
	if err != nil {
		t.Fatal(err)
	}
	c, err := l.Operator(0, "test")
	if err != nil {
		t.Fatal(err)
	}
	version, err := c.Apply(t.Context(), folder.Config, 0, "test", false)
	if err != nil {
		t.Fatal(err)
	}
	if err := l.AwaitConfig(t.Context(), version); err != nil {
		t.Fatal(err)
	}
	return l
}

func callerOf(t *testing.T, l *Local, team string) *caller.Client {
	t.Helper()
	c, err := l.Caller(0, team)
	if err != nil {
		t.Fatal(err)
	}
	return c
}

// TestTeamsSeeOnlyTheirOwn guards against a team that reaches the answers or jobs of
// another by their ID, also when the ID contains the name of the other team.
func TestTeamsSeeOnlyTheirOwn(t *testing.T) {
	l := startLocal(t, &Local{})
	owner, other := callerOf(t, l, "hari-quotes"), callerOf(t, l, "van-routes")
	if _, err := owner.Call(t.Context(), caller.Request{ID: "quote", Class: "price-quote", Body: []byte("chalk")}); err != nil {
		t.Fatal(err)
	}
	if _, err := owner.Submit(t.Context(), caller.Submission{ID: "job", Class: "mockup", RunTime: time.Hour}); err != nil {
		t.Fatal(err)
	}
	tests := []struct {
		name string
		try  func(id string) error
		own  string
	}{
		{"fetch", func(id string) error { _, err := other.FetchAnswer(t.Context(), id, 0); return err }, "quote"},
		{"acknowledge", func(id string) error { return other.Acknowledge(t.Context(), id) }, "quote"},
		{"look", func(id string) error { _, err := other.Status(t.Context(), id); return err }, "job"},
		{"cancel", func(id string) error { _, err := other.Cancel(t.Context(), id); return err }, "job"},
	}
	for _, tt := range tests {
		for _, id := range []string{tt.own, "hari-quotes/" + tt.own, "../hari-quotes/" + tt.own} {
			t.Run(tt.name+" "+id, func(t *testing.T) {
				if err := tt.try(id); !errors.Is(err, shop.ErrNotFound) {
					t.Errorf("other team's %s: error %v, want %v", id, err, shop.ErrNotFound)
				}
			})
		}
	}
	a, err := owner.FetchAnswer(t.Context(), "quote", 0)
	if err != nil || !strings.Contains(string(a.Body), "chalk") {
		t.Errorf("own answer afterwards: %s, error %v", a.Body, err)
	}
	if s, err := owner.Status(t.Context(), "job"); err != nil || s.State.Final() {
		t.Errorf("own job afterwards: %+v, error %v", s, err)
	}
}

func TestTokensBindToRoles(t *testing.T) {
	l := startLocal(t, &Local{})
	otherAuthority, err := keys.NewAuthority(time.Now())
	if err != nil {
		t.Fatal(err)
	}
	operators := keys.Principal{Role: keys.RoleOperator, Name: "siti"}
	callers := keys.Principal{Role: keys.RoleCaller, Team: "van-routes", Name: "aino"}
	tests := []struct {
		name      string
		authority *keys.Authority
		principal keys.Principal
		lifetime  time.Duration
		operator  bool // Whether it may use the administration API.
		caller    int  // HTTP status of a request.
	}{
		{"operator", l.Authority, operators, time.Hour, true, http.StatusUnauthorized},
		{"caller", l.Authority, callers, time.Hour, false, http.StatusOK},
		{"expired operator", l.Authority, operators, -time.Hour, false, http.StatusUnauthorized},
		{"expired caller", l.Authority, callers, -time.Hour, false, http.StatusUnauthorized},
		{"operator of another authority", otherAuthority, operators, time.Hour, false, http.StatusUnauthorized},
		{"caller of another authority", otherAuthority, callers, time.Hour, false, http.StatusUnauthorized},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			token, err := tt.authority.Token(tt.principal, time.Now(), tt.lifetime)
			if err != nil {
				t.Fatal(err)
			}
			c := &operator.Client{URL: "https://" + l.RunningEntries[0].CallerAddress(), Token: token, TLS: l.Authority.ClientTLS()}
			c.Open()
			_, err = c.Workers(t.Context())
			if (err == nil) != tt.operator || err != nil && connect.CodeOf(err) != connect.CodeUnauthenticated {
				t.Errorf("operator's call: %v", err)
			}
			status, _ := send(t, l, http.MethodPost, token, "/v1/call/route-plan", "")
			if status != tt.caller {
				t.Errorf("caller's request: status %d, want %d", status, tt.caller)
			}
		})
	}
}

// TestAnswersOverHTTP fetches and acknowledges an answer over HTTP, both as the team that
// owns it and as another team.
func TestAnswersOverHTTP(t *testing.T) {
	l := startLocal(t, &Local{})
	owner, other := tokenOf(t, l, "hari-quotes"), tokenOf(t, l, "van-routes")
	status, own := send(t, l, http.MethodPost, owner, "/v1/call/price-quote", "quote")
	if status != http.StatusOK {
		t.Fatalf("status %d: %s", status, own)
	}
	tests := []struct {
		name, method, token string
		status              int
		body                string // If empty, the body is not checked.
	}{
		{"another team fetches", http.MethodGet, other, http.StatusNotFound, ""},
		{"another team acknowledges", http.MethodDelete, other, http.StatusNotFound, ""},
		{"fetch", http.MethodGet, owner, http.StatusOK, own},
		{"fetch again", http.MethodGet, owner, http.StatusOK, own},
		{"acknowledge", http.MethodDelete, owner, http.StatusNoContent, ""},
		{"fetch after acknowledgement", http.MethodGet, owner, http.StatusNotFound, ""},
	}
	for _, tt := range tests {
		status, body := send(t, l, tt.method, tt.token, "/v1/answers/quote", "quote")
		if status != tt.status || tt.body != "" && body != tt.body {
			t.Errorf("%s: status %d, want %d: %s", tt.name, status, tt.status, body)
		}
		if tt.status == http.StatusNotFound && strings.Contains(body, "price-quote") {
			t.Errorf("%s: the body contains the answer: %s", tt.name, body)
		}
	}
}

func tokenOf(t *testing.T, l *Local, team string) string {
	t.Helper()
	token, err := l.Authority.Token(keys.Principal{Role: keys.RoleCaller, Team: team}, time.Now(), time.Hour)
	if err != nil {
		t.Fatal(err)
	}
	return token
}

// send sends an HTTP request with the given request ID, without the client library.
func send(t *testing.T, l *Local, method, token, path, id string) (status int, body string) {
	t.Helper()
	r, err := http.NewRequestWithContext(t.Context(), method, "https://"+l.RunningEntries[0].CallerAddress()+path, http.NoBody)
	if err != nil {
		t.Fatal(err)
	}
	r.Header.Set("Authorization", "Bearer "+token)
	r.Header.Set("Sniperill-Request-Id", id)
	client := &http.Client{Transport: &http.Transport{TLSClientConfig: l.Authority.ClientTLS()}}
	defer client.CloseIdleConnections()
	res, err := client.Do(r)
	if err != nil {
		t.Fatal(err)
	}
	defer res.Body.Close()
	data, err := io.ReadAll(res.Body)
	if err != nil {
		t.Fatal(err)
	}
	return res.StatusCode, string(data)
}
