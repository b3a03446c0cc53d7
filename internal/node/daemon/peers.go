package daemon

import (
	"context"
	"encoding/json"
	"time"

	"github.com/pkg/errors"
	"google.golang.org/protobuf/proto"

	"gitlab.com/cranberrytack/cranberrytack/internal/admin/report"
	"gitlab.com/cranberrytack/cranberrytack/internal/core/call"
	"gitlab.com/cranberrytack/cranberrytack/internal/fleet/budget"
	"gitlab.com/cranberrytack/cranberrytack/internal/wire/link"
	wire "gitlab.com/cranberrytack/cranberrytack/internal/wire/proto"
)

// Membership is what the daemon needs to know of the fleet.
type Membership interface {
	// Members returns the live members, this daemon included.
	Members() []call.Target
	// Version changes with the members.
	Version() uint64
}

// controlOverhead is what one control message costs beside its payload: the
// headers of TCP, yamux and the frame in both directions.
const controlOverhead = 160

// spending says which part of the control budget each kind of message uses.
var spending = map[wire.ControlKind]budget.Kind{
	wire.ControlKind_CONTROL_KIND_REVISIONS: budget.Revision,
	wire.ControlKind_CONTROL_KIND_EVIDENCE:  budget.Evidence,
	wire.ControlKind_CONTROL_KIND_STATUS:    budget.Evidence,
	wire.ControlKind_CONTROL_KIND_REPORT:    budget.Other,
	wire.ControlKind_CONTROL_KIND_PROBE:     budget.Probe,
}

// control sends control messages and counts what they cost.
type control struct {
	pool  *link.Pool
	meter *budget.Meter
}

// peer is another daemon, reached over the pool of links.
type peer struct {
	control
	id string
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

// Query implements report.Source.
func (p peer) Query(ctx context.Context, q *report.Query) (report.Answer, error) {
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
	p.meter.AddSent(spending[kind], len(b)+controlOverhead)
	b, err = p.pool.Control(ctx, p.id, kind, b)
	if err != nil {
		return err
	}
	p.meter.AddReceived(spending[kind], len(b)+controlOverhead)
	return errors.Wrap(proto.Unmarshal(b, reply), "decode control reply")
}

// handle makes a control handler of a function on messages and counts what
// it costs.
func handle[Q any, PQ interface {
	*Q
	proto.Message
}, R proto.Message](m *budget.Meter, kind wire.ControlKind, f func(context.Context, PQ) (R, error)) link.ServerOption {
	return link.WithControlHandler(kind, func(ctx context.Context, _ link.Peer, payload []byte) ([]byte, error) {
		start := time.Now()
		defer m.AddCPU(spending[kind], start)
		m.AddReceived(spending[kind], len(payload)+controlOverhead)
		q := PQ(new(Q))
		if err := proto.Unmarshal(payload, q); err != nil {
			return nil, errors.Wrap(err, "decode control message")
		}
		r, err := f(ctx, q)
		if err != nil {
			return nil, err
		}
		b, err := proto.Marshal(r)
		m.AddSent(spending[kind], len(b)+controlOverhead)
		return b, errors.Wrap(err, "encode control reply")
	})
}
