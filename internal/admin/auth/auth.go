// Package auth checks the tokens of the administration API.
package auth

import (
	"context"
	"crypto/rand"
	"crypto/sha256"
	"crypto/subtle"
	"encoding/hex"
	"net/http"
	"slices"
	"strings"

	"github.com/pkg/errors"

	"gitlab.com/cranberrytack/cranberrytack/internal/base/clock"
	"gitlab.com/cranberrytack/cranberrytack/internal/conf/policy"
)

// BootstrapID is the id of the token in the process settings, with which
// operators publish the first teams and tokens.
const BootstrapID = "bootstrap"

// bootstrapTeam is the name of the bootstrap token's team. The team owns all
// services and is not defined by a document.
const bootstrapTeam = "operators"

const secretBytes = 32

// Identity is an authenticated caller. Token is the id of its token, without the
// secret.
type Identity struct {
	Token string
	Team  policy.Team
	Roles []string
}

// Name returns "team/token", the author in the records of changes.
func (i Identity) Name() string { return i.Team.Name + "/" + i.Token }

// HasRole reports whether the caller's token has a role.
func (i Identity) HasRole(role string) bool { return slices.Contains(i.Roles, role) }

// CanRead reports whether the caller may read the data of a service. The empty
// service stands for fleet-wide data, which every caller may read.
func (i Identity) CanRead(service string) bool { return service == "" || i.Team.Owns(service) }

// Authenticator checks tokens against the configuration in force. It is safe
// for concurrent use.
type Authenticator struct {
	config        func() *policy.Config
	clock         clock.Clock
	bootstrapHash string
}

// New returns an Authenticator. The bootstrap hash is that of the secret in the
// process settings; if it is empty, no bootstrap token is accepted.
func New(config func() *policy.Config, c clock.Clock, bootstrapHash string) *Authenticator {
	return &Authenticator{config: config, clock: c, bootstrapHash: bootstrapHash}
}

// NewSecret generates a random secret and returns it with its hash. A token is
// written as its id, a dot and the secret.
func NewSecret() (secret, hash string, err error) {
	b := make([]byte, secretBytes)
	if _, err := rand.Read(b); err != nil {
		return "", "", errors.Wrap(err, "generate secret")
	}
	secret = hex.EncodeToString(b)
	return secret, HashSecret(secret), nil
}

// HashSecret returns the SHA-256 hash of a secret in hexadecimal. Secrets are
// long and random, so a fast unsalted hash is safe against brute force.
func HashSecret(secret string) string {
	sum := sha256.Sum256([]byte(secret))
	return hex.EncodeToString(sum[:])
}

// Authenticate returns the identity of a token's holder, and false if the token
// is malformed, unknown or expired, or its secret is wrong.
func (a *Authenticator) Authenticate(token string) (Identity, bool) {
	id, secret, ok := strings.Cut(token, ".")
	if !ok || secret == "" {
		return Identity{}, false
	}
	if id == BootstrapID {
		return Identity{
			Token: id,
			Team:  policy.Team{Name: bootstrapTeam, Services: []string{policy.AllServices}},
			Roles: []string{policy.RoleRead, policy.RolePublish},
		}, a.bootstrapHash != "" && hashMatches(a.bootstrapHash, secret)
	}
	c := a.config()
	t, found := c.Token(id)
	if !found || !hashMatches(t.Hash, secret) || t.Expires != 0 && a.clock.Now() >= t.Expires {
		return Identity{}, false
	}
	team, found := c.Team(t.Team)
	return Identity{Token: id, Team: team, Roles: t.Roles}, found
}

func hashMatches(hash, secret string) bool {
	return subtle.ConstantTimeCompare([]byte(strings.ToLower(hash)), []byte(HashSecret(secret))) == 1
}

type contextKey struct{}

// IdentityFrom returns the caller from the context of a request that passed
// Require, or the zero Identity.
func IdentityFrom(ctx context.Context) Identity {
	i, _ := ctx.Value(contextKey{}).(Identity)
	return i
}

// Require passes requests with a valid token on to next. All others get 401
// without a body, whether or not the path exists.
func (a *Authenticator) Require(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		token, ok := strings.CutPrefix(r.Header.Get("Authorization"), "Bearer ")
		i, valid := a.Authenticate(token)
		if !ok || !valid {
			w.Header().Set("WWW-Authenticate", "Bearer")
			w.WriteHeader(http.StatusUnauthorized)
			return
		}
		// Without the header, later handlers cannot log the token.
		r = r.Clone(context.WithValue(r.Context(), contextKey{}, i))
		r.Header.Del("Authorization")
		next.ServeHTTP(w, r)
	})
}
