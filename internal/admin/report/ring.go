package report

// ring keeps the newest items, up to its size.
type ring[T any] struct {
	items []T
	next  int
	size  int
}

func newRing[T any](size int) ring[T] {
	return ring[T]{size: size}
}

func (r *ring[T]) push(item T) {
	if len(r.items) < r.size {
		r.items = append(r.items, item)
		return
	}
	r.items[r.next] = item
	r.next = (r.next + 1) % r.size
}

// all returns the items, oldest first.
func (r *ring[T]) all() []T {
	out := make([]T, 0, len(r.items))
	out = append(out, r.items[r.next:]...)
	return append(out, r.items[:r.next]...)
}
