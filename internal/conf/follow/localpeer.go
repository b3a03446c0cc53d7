package follow

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"
	"google.golang.org/protobuf/proto"

	wire "gitlab.com/cranberrytack/cranberrytack/internal/wire/proto"
)

// LocalPeer is a Peer in the same process, for simulations. It encodes messages
// as on the wire and counts their bytes.
type LocalPeer struct {
	Name string
	// Delay is added to each exchange.
	Delay time.Duration
	// Follower handles the exchanges. It must be set before the first one.
	Follower *Follower
	// Unreachable makes exchanges fail.
	Unreachable atomic.Bool
	// BytesExchanged is the total size of messages and replies.
	BytesExchanged atomic.Int64
}

// ID returns the name of the peer.
func (l *LocalPeer) ID() string { return l.Name }

// Exchange passes the message to the follower after the delay.
func (l *LocalPeer) Exchange(ctx context.Context, m *wire.ConfExchange) (*wire.ConfReply, error) {
	if l.Unreachable.Load() {
		return nil, errors.Errorf("peer %s is unreachable", l.Name)
	}
	b, err := proto.Marshal(m)
	if err != nil {
		return nil, errors.Wrap(err, "encode exchange")
	}
	var in wire.ConfExchange
	if err := proto.Unmarshal(b, &in); err != nil {
		return nil, errors.Wrap(err, "decode exchange")
	}
	if l.Delay > 0 && !sleepOrSignal(ctx, l.Delay, nil) {
		return nil, ctx.Err()
	}
	r, err := l.Follower.HandleExchange(&in)
	if err != nil {
		return nil, err
	}
	l.BytesExchanged.Add(int64(len(b) + proto.Size(r)))
	return r, nil
}
