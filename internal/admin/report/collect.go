package report

import (
	"context"
	"sort"
	"sync"
)

// maxConcurrentQueries bounds the number of daemons that are queried at the
// same time.
const maxConcurrentQueries = 32

// reply is the result of querying one source: an answer or an error.
type reply struct {
	name   string
	answer Answer
	err    error
}

// collector sends one query to many sources and collects their replies.
type collector struct {
	query   *Query
	sources chan Source
	mu      sync.Mutex
	replies []reply
}

// queryAll queries all sources and returns their replies, ordered by name.
func queryAll(ctx context.Context, q *Query, sources []Source) []reply {
	c := &collector{query: q, sources: make(chan Source, len(sources))}
	for _, src := range sources {
		c.sources <- src
	}
	close(c.sources)
	var wg sync.WaitGroup
	for range min(maxConcurrentQueries, len(sources)) {
		wg.Go(func() { c.run(ctx) })
	}
	wg.Wait()
	sort.Slice(c.replies, func(i, j int) bool { return c.replies[i].name < c.replies[j].name })
	return c.replies
}

// run queries sources from the channel until it is empty.
func (c *collector) run(ctx context.Context) {
	for src := range c.sources {
		a, err := src.Query(ctx, c.query)
		c.mu.Lock()
		c.replies = append(c.replies, reply{name: src.Name(), answer: a, err: err})
		c.mu.Unlock()
	}
}
