package follow

import (
	"context"
	"sort"
	"sync"
)

// askAtOnce bounds the exchanges that one question about a revision starts.
const askAtOnce = 32

// Coverage says where a revision is in force.
type Coverage struct {
	Revision       int64
	LiveMembers    int
	MembersInForce int
	// Missing are the live members not known to have it.
	Missing []string
}

// Complete reports whether every live member has the revision.
func (c Coverage) Complete() bool { return c.LiveMembers == c.MembersInForce }

// Coverage says at which live members a revision is in force. Members that
// are not known to have it are asked.
func (f *Follower) Coverage(ctx context.Context, revision int64) Coverage {
	peers := f.peers()
	slots := make(chan struct{}, askAtOnce)
	var wg sync.WaitGroup
	for _, p := range peers {
		if f.KnownRevision(p.ID()) >= revision {
			continue
		}
		wg.Go(func() {
			slots <- struct{}{}
			f.tell(ctx, p, nil)
			<-slots
		})
	}
	wg.Wait()
	c := Coverage{Revision: revision, LiveMembers: len(peers) + 1}
	if f.Config().Revision >= revision {
		c.MembersInForce++
	} else {
		c.Missing = append(c.Missing, f.o.Member)
	}
	for _, p := range peers {
		if f.KnownRevision(p.ID()) >= revision {
			c.MembersInForce++
		} else {
			c.Missing = append(c.Missing, p.ID())
		}
	}
	sort.Strings(c.Missing)
	return c
}

// KnownRevision returns the newest revision that a member reported.
func (f *Follower) KnownRevision(member string) int64 {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.known[member]
}

// RecordRevision records a revision that a member reported by another way, such
// as the membership's probes.
func (f *Follower) RecordRevision(member string, revision int64) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.known[member] = revision
}
