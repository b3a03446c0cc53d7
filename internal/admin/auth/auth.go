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

// BootstrapID is the id of the token in the process settings, which publishes
// the first teams and tokens.
const BootstrapID = "bootstrap"

// bootstrapTeam owns all services and is no document.
const bootstrapTeam = "operators"

const secretBytes = 32

// Identity is the holder of a valid token.
type Identity struct {
	Token string
	Team  policy.Team
	Roles []string
}

// Name is what records of changes call the holder.
func (i Identity) Name() string { return i.Team.Name + "/" + i.Token }

// HasRole reports whether the holder has a role.
func (i Identity) HasRole(role string) bool { return slices.Contains(i.Roles, role) }

// CanRead reports whether the holder may read about a service; an empty one
// stands for what concerns the whole fleet.
func (i Identity) CanRead(service string) bool { return service == "" || i.Team.Owns(service) }

// Authenticator checks tokens against the configuration in force. It is safe for
// concurrent use.
type Authenticator struct {
	config    func() *policy.Config
	clock     clock.Clock
	bootstrap string
}

// New returns a keeper. Bootstrap is the hash of the token in the process
// settings, or empty.
func New(config func() *policy.Config, c clock.Clock, bootstrap string) *Authenticator {
	return &Authenticator{config: config, clock: c, bootstrap: bootstrap}
}

// NewSecret draws a secret and returns it with its hash. A token is written
// as its id, a dot and the secret.
func NewSecret() (secret, hash string, err error) {
	b := make([]byte, secretBytes)
	if _, err := rand.Read(b); err != nil {
		return "", "", errors.Wrap(err, "draw secret")
	}
	secret = hex.EncodeToString(b)
	return secret, Hash(secret), nil
}

// Hash returns the hash of a secret. The secret is random, so one round of a
// fast hash can't be searched.
func Hash(secret string) string {
	sum := sha256.Sum256([]byte(secret))
	return hex.EncodeToString(sum[:])
}

// Authenticate returns the holder of a token.
func (k *Authenticator) Authenticate(token string) (Identity, bool) {
	id, secret, ok := strings.Cut(token, ".")
	if !ok || secret == "" {
		return Identity{}, false
	}
	if id == BootstrapID {
		return Identity{
			Token: id,
			Team:  policy.Team{Name: bootstrapTeam, Services: []string{policy.AllServices}},
			Roles: []string{policy.RoleRead, policy.RolePublish},
		}, k.bootstrap != "" && same(k.bootstrap, secret)
	}
	c := k.config()
	t, found := c.Token(id)
	if !found || !same(t.Hash, secret) || t.Expires != 0 && k.clock.Now() >= t.Expires {
		return Identity{}, false
	}
	team, found := c.Team(t.Team)
	return Identity{Token: id, Team: team, Roles: t.Roles}, found
}

func same(hash, secret string) bool {
	return subtle.ConstantTimeCompare([]byte(strings.ToLower(hash)), []byte(Hash(secret))) == 1
}

type contextKey struct{}

// IdentityFrom returns the holder that Require found.
func IdentityFrom(ctx context.Context) Identity {
	i, _ := ctx.Value(contextKey{}).(Identity)
	return i
}

// Require lets only requests with a valid token pass. All others get 401
// without a body, whether the path exists or not.
func (k *Authenticator) Require(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		token, ok := strings.CutPrefix(r.Header.Get("Authorization"), "Bearer ")
		i, valid := k.Authenticate(token)
		if !ok || !valid {
			w.Header().Set("WWW-Authenticate", "Bearer")
			w.WriteHeader(http.StatusUnauthorized)
			return
		}
		// Nothing behind this point can log what it does not see.
		r = r.Clone(context.WithValue(r.Context(), contextKey{}, i))
		r.Header.Del("Authorization")
		next.ServeHTTP(w, r)
	})
}
