package daemon

import (
	"context"
	"encoding/json"

	"github.com/pkg/errors"
	"google.golang.org/protobuf/proto"

	"gitlab.com/cranberrytack/cranberrytack/internal/admin/report"
	"gitlab.com/cranberrytack/cranberrytack/internal/core/call"
	"gitlab.com/cranberrytack/cranberrytack/internal/wire/link"
	wire "gitlab.com/cranberrytack/cranberrytack/internal/wire/proto"
)

// Membership is what the daemon needs to know of the fleet.
type Membership interface {
	// Members returns the live members, this daemon included.
	Members() []call.Target
}

// peer is another daemon, reached over the pool of links.
type peer struct {
	pool *link.Pool
	id   string
}

// ID implements follow.Peer.
func (p peer) ID() string { return p.id }

// Name implements report.Source.
func (p peer) Name() string { return p.id }

// Exchange implements follow.Peer.
func (p peer) Exchange(ctx context.Context, m *wire.ConfExchange) (*wire.ConfReply, error) {
	r := new(wire.ConfReply)
	return r, p.ask(ctx, wire.ControlKind_CONTROL_KIND_REVISIONS, m, r)
}

// Ask implements report.Source.
func (p peer) Ask(ctx context.Context, q *report.Query) (report.Answer, error) {
	var a report.Answer
	b, err := json.Marshal(q)
	if err != nil {
		return a, errors.Wrap(err, "encode query")
	}
	r := new(wire.ReportAnswer)
	if err := p.ask(ctx, wire.ControlKind_CONTROL_KIND_REPORT, &wire.ReportQuery{Query: b}, r); err != nil {
		return a, err
	}
	return a, errors.Wrap(json.Unmarshal(r.GetAnswer(), &a), "decode answer")
}

// status asks for the peer's status.
func (p peer) status(ctx context.Context) (*wire.StatusReply, error) {
	r := new(wire.StatusReply)
	return r, p.ask(ctx, wire.ControlKind_CONTROL_KIND_STATUS, &wire.ReportQuery{}, r)
}

// evidence sends samples and notices about version moves.
func (p peer) evidence(ctx context.Context, e *wire.Evidence) error {
	return p.ask(ctx, wire.ControlKind_CONTROL_KIND_EVIDENCE, e, new(wire.Evidence))
}

func (p peer) ask(ctx context.Context, kind wire.ControlKind, req, reply proto.Message) error {
	b, err := proto.Marshal(req)
	if err != nil {
		return errors.Wrap(err, "encode control message")
	}
	b, err = p.pool.Control(ctx, p.id, kind, b)
	if err != nil {
		return err
	}
	return errors.Wrap(proto.Unmarshal(b, reply), "decode control reply")
}

// answer makes a control handler of a function on messages.
func answer[Q any, PQ interface {
	*Q
	proto.Message
}, R proto.Message](f func(context.Context, PQ) (R, error)) link.ControlHandler {
	return func(ctx context.Context, _ link.Peer, payload []byte) ([]byte, error) {
		q := PQ(new(Q))
		if err := proto.Unmarshal(payload, q); err != nil {
			return nil, errors.Wrap(err, "decode control message")
		}
		r, err := f(ctx, q)
		if err != nil {
			return nil, err
		}
		b, err := proto.Marshal(r)
		return b, errors.Wrap(err, "encode control reply")
	}
}
