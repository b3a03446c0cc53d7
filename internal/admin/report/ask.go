package report

import (
	"context"
	"sort"
	"sync"
)

// askers bounds the number of daemons that are asked at the same time.
const askers = 32

// reply is the answer of one source.
type reply struct {
	name   string
	answer Answer
	err    error
}

// survey asks many sources for the same query.
type survey struct {
	query   *Query
	sources chan Source
	mu      sync.Mutex
	replies []reply
}

// ask returns the replies of all sources, ordered by name.
func ask(ctx context.Context, q *Query, sources []Source) []reply {
	s := &survey{query: q, sources: make(chan Source, len(sources))}
	for _, src := range sources {
		s.sources <- src
	}
	close(s.sources)
	var wg sync.WaitGroup
	for range min(askers, len(sources)) {
		wg.Go(func() { s.run(ctx) })
	}
	wg.Wait()
	sort.Slice(s.replies, func(i, j int) bool { return s.replies[i].name < s.replies[j].name })
	return s.replies
}

func (s *survey) run(ctx context.Context) {
	for src := range s.sources {
		a, err := src.Query(ctx, s.query)
		s.mu.Lock()
		s.replies = append(s.replies, reply{name: src.Name(), answer: a, err: err})
		s.mu.Unlock()
	}
}
