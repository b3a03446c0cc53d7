package mesh

import (
	"context"
	"sync"
)

// orderPuller gets newer orders from the peers that report them, one at a time.
type orderPuller struct {
	// pull synchronises with a peer.
	pull func(ctx context.Context, id string)

	mu      sync.Mutex
	running bool
	// next is the peer that last reported newer orders during a pull, empty if none did.
	next string
}

// request starts a pull from a peer. During another one, which may have missed the orders
// that the peer reports, the pull follows afterwards.
func (p *orderPuller) request(id string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	switch {
	case id == "":
	case p.running:
		p.next = id
	default:
		p.running = true
		go p.run(id)
	}
}

func (p *orderPuller) run(id string) {
	for id != "" {
		p.pull(context.Background(), id)
		id = p.takeNext()
	}
}

// takeNext returns the peer of the next pull. Without one, the puller stops.
func (p *orderPuller) takeNext() string {
	p.mu.Lock()
	defer p.mu.Unlock()
	id := p.next
	p.next, p.running = "", id != ""
	return id
}
