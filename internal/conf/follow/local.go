package follow

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"
	"google.golang.org/protobuf/proto"

	wire "gitlab.com/cranberrytack/cranberrytack/internal/wire/proto"
)

// LocalPeer is a peer in the same process, for simulations. Messages are encoded
// as on the wire and counted.
type LocalPeer struct {
	Name  string
	Delay time.Duration
	// To is set before the first exchange.
	Follower *Follower
	// Cut makes the peer unreachable.
	Unreachable    atomic.Bool
	BytesExchanged atomic.Int64
}

// ID is the member id.
func (l *LocalPeer) ID() string { return l.Name }

// Exchange hands the message to the follower after the delay.
func (l *LocalPeer) Exchange(ctx context.Context, m *wire.ConfExchange) (*wire.ConfReply, error) {
	if l.Unreachable.Load() {
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
	r, err := l.Follower.HandleExchange(&in)
	if err != nil {
		return nil, err
	}
	l.BytesExchanged.Add(int64(len(b) + proto.Size(r)))
	return r, nil
}
