package keys

import (
	"crypto/ed25519"
	"errors"
	"fmt"
	"time"

	"github.com/golang-jwt/jwt/v5"
)

// Role is the role that a certificate or token grants to its holder.
type Role string

// Roles that certificates and tokens grant.
const (
	RoleEntry    Role = "entry"
	RoleAgent    Role = "agent"
	RoleCaller   Role = "caller"
	RoleOperator Role = "operator"
	RolePlatform Role = "platform"
)

// ErrToken is returned when a token is missing, malformed, expired or not signed by
// the expected authority.
var ErrToken = errors.New("bad token")

// Principal is the caller or operator that a token identifies.
type Principal struct {
	Role Role
	// Team is the team of a caller; empty for operators.
	Team string
	Name string
}

// claims is the payload of a token.
type claims struct {
	jwt.RegisteredClaims

	Role Role   `json:"role"`
	Team string `json:"team,omitempty"`
}

// Token returns a signed token for a caller or an operator.
func (a *Authority) Token(p Principal, now time.Time, lifetime time.Duration) (string, error) {
	c := claims{
		RegisteredClaims: jwt.RegisteredClaims{
			Subject:   p.Name,
			IssuedAt:  jwt.NewNumericDate(now),
			ExpiresAt: jwt.NewNumericDate(now.Add(lifetime)),
		},
		Role: p.Role,
		Team: p.Team,
	}
	signed, err := jwt.NewWithClaims(jwt.SigningMethodEdDSA, c).SignedString(a.Key)
	if err != nil {
		return "", fmt.Errorf("keys.Token: %w", err)
	}
	return signed, nil
}

// Verify checks a token and returns the principal that it identifies. The error wraps
// ErrToken.
func Verify(token string, key ed25519.PublicKey, now time.Time) (Principal, error) {
	var c claims
	_, err := jwt.ParseWithClaims(token, &c,
		func(*jwt.Token) (any, error) { return key, nil },
		jwt.WithValidMethods([]string{jwt.SigningMethodEdDSA.Alg()}),
		jwt.WithExpirationRequired(),
		jwt.WithTimeFunc(func() time.Time { return now }),
	)
	if err != nil {
		return Principal{}, fmt.Errorf("keys.Verify: %w: %w", ErrToken, err)
	}
	return Principal{Role: c.Role, Team: c.Team, Name: c.Subject}, nil
}
