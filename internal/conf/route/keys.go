package route

import (
	"crypto/sha256"

	"github.com/pkg/errors"
)

// Workspace is a group of callers with keys of their own.
type Workspace struct {
	Name string
	// Priority replaces the priority of the route, unless it is nil.
	Priority *int
}

// KeyDigest is the SHA-256 digest of a caller's key. Neither the time of a lookup nor
// a printed table reveals a key.
type KeyDigest [sha256.Size]byte

// Keys maps the keys of callers to their workspaces.
type Keys map[KeyDigest]*Workspace

// Add adds the keys of a workspace. It returns an error, which contains no key, if the
// workspace has no name, a key is empty or another workspace has the same key.
func (k Keys) Add(w *Workspace, keys []string) error {
	if w.Name == "" {
		return errors.New("workspace without a name")
	}
	for _, key := range keys {
		if key == "" {
			return errors.Errorf("workspace %s has an empty key", w.Name)
		}
		digest := KeyDigest(sha256.Sum256([]byte(key)))
		if other, ok := k[digest]; ok && other.Name != w.Name {
			return errors.Errorf("workspaces %s and %s have the same key", other.Name, w.Name)
		}
		k[digest] = w
	}
	return nil
}

// Workspace returns the workspace that has a key, nil and false if there is none.
func (k Keys) Workspace(key string) (*Workspace, bool) {
	w, ok := k[KeyDigest(sha256.Sum256([]byte(key)))]
	return w, ok
}
