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

// Authenticator admits only requests with a valid token for a role.
type Authenticator struct {
	// Key is the public key of the authority that signs tokens.
	Key ed25519.PublicKey
	// Role is the role that a token must have.
	Role keys.Role
	Now  func() time.Time
}

var (
	errNoToken   = errors.New("no bearer token")
	errWrongRole = errors.New("token is for another role")
)

// Wrap returns a handler that checks the token and passes the principal to next in the
// request's context.
func (a *Authenticator) Wrap(next http.Handler) http.Handler {
	errorWriter := connect.NewErrorWriter()
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		p, err := a.check(r)
		if err == nil {
			next.ServeHTTP(w, r.WithContext(context.WithValue(r.Context(), principalKey{}, p)))
			return
		}
		if errorWriter.IsSupported(r) {
			_ = errorWriter.Write(w, r, connect.NewError(connect.CodeUnauthenticated, err))
			return
		}
		w.Header().Set("WWW-Authenticate", "Bearer")
		http.Error(w, err.Error(), http.StatusUnauthorized)
	})
}

func (a *Authenticator) check(r *http.Request) (keys.Principal, error) {
	token, ok := strings.CutPrefix(r.Header.Get("Authorization"), "Bearer ")
	if !ok {
		return keys.Principal{}, errNoToken
	}
	p, err := keys.Verify(token, a.Key, a.Now())
	if err != nil {
		return p, err
	}
	if p.Role != a.Role {
		return p, errWrongRole
	}
	return p, nil
}

// Team returns the team of a token's holder, or "" if the token isn't valid or has none.
func (a *Authenticator) Team(token string) string {
	p, err := keys.Verify(token, a.Key, a.Now())
	if err != nil {
		return ""
	}
	return p.Team
}

// PrincipalOf returns the principal of an authenticated request.
func PrincipalOf(ctx context.Context) keys.Principal {
	p, _ := ctx.Value(principalKey{}).(keys.Principal)
	return p
}
