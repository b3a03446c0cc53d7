package follow

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"
	"google.golang.org/protobuf/proto"

	wire "gitlab.com/cranberrytack/cranberrytack/internal/wire/proto"
)

// Local is a peer in the same process, for simulations. Messages are encoded
// as on the wire and counted.
type Local struct {
	Name  string
	Delay time.Duration
	// To is set before the first exchange.
	To *Follower
	// Cut makes the peer unreachable.
	Cut   atomic.Bool
	Bytes atomic.Int64
}

// ID is the member id.
func (l *Local) ID() string { return l.Name }

// Exchange hands the message to the follower after the delay.
func (l *Local) Exchange(ctx context.Context, m *wire.ConfExchange) (*wire.ConfReply, error) {
	if l.Cut.Load() {
		return nil, errors.Errorf("peer %s is cut off", l.Name)
	}
	b, err := proto.Marshal(m)
	if err != nil {
		return nil, errors.Wrap(err, "encode exchange")
	}
	var in wire.ConfExchange
	if err := proto.Unmarshal(b, &in); err != nil {
		return nil, errors.Wrap(err, "decode exchange")
	}
	if l.Delay > 0 && !pause(ctx, l.Delay, nil) {
		return nil, ctx.Err()
	}
	r, err := l.To.Handle(&in)
	if err != nil {
		return nil, err
	}
	l.Bytes.Add(int64(len(b) + proto.Size(r)))
	return r, nil
}
