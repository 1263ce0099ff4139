package caller

import (
	"context"
	"crypto/ed25519"
	"errors"
	"net/http"
	"strings"
	"time"

	"connectrpc.com/connect"

	"sniperill.example/sniperill/internal/keys"
)

type principalKey struct{}

// Authenticator lets only requests with a token of the authority pass.
type Authenticator struct {
	Key ed25519.PublicKey
	// Role that the token must have.
	Role keys.Role
	Now  func() time.Time
}

var (
	errNoToken   = errors.New("no bearer token")
	errWrongRole = errors.New("token is for another role")
)

// Wrap checks the token, and gives the principal to the handler by the context.
func (g *Authenticator) Wrap(next http.Handler) http.Handler {
	failure := connect.NewErrorWriter()
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		p, err := g.check(r)
		if err == nil {
			next.ServeHTTP(w, r.WithContext(context.WithValue(r.Context(), principalKey{}, p)))
			return
		}
		if failure.IsSupported(r) {
			_ = failure.Write(w, r, connect.NewError(connect.CodeUnauthenticated, err))
			return
		}
		w.Header().Set("WWW-Authenticate", "Bearer")
		http.Error(w, err.Error(), http.StatusUnauthorized)
	})
}

func (g *Authenticator) check(r *http.Request) (keys.Principal, error) {
	token, ok := strings.CutPrefix(r.Header.Get("Authorization"), "Bearer ")
	if !ok {
		return keys.Principal{}, errNoToken
	}
	p, err := keys.Verify(token, g.Key, g.Now())
	if err != nil {
		return p, err
	}
	if p.Role != g.Role {
		return p, errWrongRole
	}
	return p, nil
}

// PrincipalOf returns whom a guarded request is from.
func PrincipalOf(ctx context.Context) keys.Principal {
	p, _ := ctx.Value(principalKey{}).(keys.Principal)
	return p
}
