package policy

import (
	"encoding/hex"
	"slices"

	"gitlab.com/cranberrytack/cranberrytack/internal/base/clock"
)

// AllServices in a team's list stands for the whole fleet. Only such teams may
// change what is not limited to a service: defaults, data centres and teams.
const AllServices = "*"

// Roles of tokens.
const (
	RoleRead    = "read"
	RolePublish = "publish"
)

// tokenHashBytes is the size of a SHA-256 sum.
const tokenHashBytes = 32

// Team is a group of operators with the services that it owns.
type Team struct {
	Name     string
	Services []string
	// Revision is the log offset of the record that added or last changed the team.
	Revision int64
}

// Token lets its holder act for a team. Only a hash of the secret is stored.
type Token struct {
	ID    string
	Team  string
	Roles []string
	// Hash is the SHA-256 sum of the secret in hexadecimal form.
	Hash string
	// Expires is when the token becomes invalid, 0 if it never does.
	Expires  clock.Milli
	Revision int64
}

// Owns reports whether the team may change a service. An empty service stands for
// the whole fleet.
func (t *Team) Owns(service string) bool {
	if slices.Contains(t.Services, AllServices) {
		return true
	}
	return service != "" && slices.Contains(t.Services, service)
}

// Team returns the team with a name.
func (c *Config) Team(name string) (Team, bool) {
	i := slices.IndexFunc(c.Teams, func(t Team) bool { return t.Name == name })
	if i < 0 {
		return Team{}, false
	}
	return c.Teams[i], true
}

// Token returns the token with an id.
func (c *Config) Token(id string) (Token, bool) {
	i := slices.IndexFunc(c.Tokens, func(t Token) bool { return t.ID == id })
	if i < 0 {
		return Token{}, false
	}
	return c.Tokens[i], true
}

func readTeam(r *reader) *Team {
	t := &Team{
		Name: r.readRequiredName("name"),
		Services: r.readList("services", "names of services or *", func(s string) bool {
			return s == AllServices || namePattern.MatchString(s)
		}),
	}
	if len(t.Services) == 0 {
		r.rejectValue("services", r.values["services"], "a list with at least one service or *")
	}
	return t
}

func readToken(r *reader) *Token {
	t := &Token{
		ID:   r.readRequiredName("id"),
		Team: r.readRequiredName("team"),
		Roles: r.readList("roles", "read or publish", func(s string) bool {
			return s == RoleRead || s == RolePublish
		}),
		Hash:    r.readString("hash"),
		Expires: r.readTime("expires"),
	}
	if len(t.Roles) == 0 {
		r.rejectValue("roles", r.values["roles"], "a list with read, publish or both")
	}
	if b, err := hex.DecodeString(t.Hash); err != nil || len(b) != tokenHashBytes {
		// The value may be the secret itself, so the error does not contain it.
		r.rejectValue("hash", "(hidden)", "the SHA-256 sum of the secret as 64 hexadecimal digits")
	}
	return t
}
