package follow

import (
	"context"
	"sort"
	"sync"
)

// maxConcurrentExchanges limits the exchanges that one call of Coverage runs at a
// time.
const maxConcurrentExchanges = 32

// Coverage is the set of live members at which a revision is in force.
type Coverage struct {
	Revision int64
	// LiveMembers includes the reporting daemon.
	LiveMembers int
	// MembersWithRevision counts the live members that have the revision or a
	// newer one.
	MembersWithRevision int
	// Missing lists the live members that have not reported the revision, sorted.
	Missing []string
}

// Complete reports whether every live member has the revision.
func (c Coverage) Complete() bool { return c.LiveMembers == c.MembersWithRevision }

// Coverage reports at which live members a revision is in force. It queries the
// members that have not reported the revision yet.
func (f *Follower) Coverage(ctx context.Context, revision int64) Coverage {
	peers := f.peers()
	semaphore := make(chan struct{}, maxConcurrentExchanges)
	var wg sync.WaitGroup
	for _, p := range peers {
		if f.KnownRevision(p.ID()) >= revision {
			continue
		}
		wg.Go(func() {
			semaphore <- struct{}{}
			f.tryExchange(ctx, p, nil)
			<-semaphore
		})
	}
	wg.Wait()
	c := Coverage{Revision: revision, LiveMembers: len(peers) + 1}
	if f.Config().Revision >= revision {
		c.MembersWithRevision++
	} else {
		c.Missing = append(c.Missing, f.options.Member)
	}
	for _, p := range peers {
		if f.KnownRevision(p.ID()) >= revision {
			c.MembersWithRevision++
		} else {
			c.Missing = append(c.Missing, p.ID())
		}
	}
	sort.Strings(c.Missing)
	return c
}

// KnownRevision returns the revision that a member reported last, or 0.
func (f *Follower) KnownRevision(member string) int64 {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.memberRevisions[member]
}

// RecordRevision records a revision that a member reported outside of an
// exchange, for instance in a membership probe.
func (f *Follower) RecordRevision(member string, revision int64) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.memberRevisions[member] = revision
}
