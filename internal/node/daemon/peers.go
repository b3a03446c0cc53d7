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

// memberSource lists the live members of the fleet. Its implementation must be
// safe for concurrent use.
type memberSource interface {
	// Members returns the live members, including this daemon. The caller must
	// not modify the slice.
	Members() []call.Target
	// Version returns a number that changes whenever the members change.
	Version() uint64
}

// controlOverhead is the number of bytes that a control message adds to its
// payload: the headers of TCP, yamux and the frame in both directions.
const controlOverhead = 160

// budgetKinds maps the kinds of control messages to the parts of the control
// budget that they count against.
var budgetKinds = map[wire.ControlKind]budget.Kind{
	wire.ControlKind_CONTROL_KIND_REVISIONS: budget.Revision,
	wire.ControlKind_CONTROL_KIND_EVIDENCE:  budget.Evidence,
	wire.ControlKind_CONTROL_KIND_STATUS:    budget.Evidence,
	wire.ControlKind_CONTROL_KIND_REPORT:    budget.Other,
	wire.ControlKind_CONTROL_KIND_PROBE:     budget.Probe,
}

// control holds what is needed to send control messages and to meter their
// cost.
type control struct {
	pool  *link.Pool
	meter *budget.Meter
}

// peer is another daemon, to which messages are sent over the link pool.
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
	return r, p.roundTrip(ctx, wire.ControlKind_CONTROL_KIND_REVISIONS, m, r)
}

// Query implements report.Source.
func (p peer) Query(ctx context.Context, q *report.Query) (report.Answer, error) {
	var a report.Answer
	b, err := json.Marshal(q)
	if err != nil {
		return a, errors.Wrap(err, "encode query")
	}
	r := new(wire.ReportAnswer)
	if err := p.roundTrip(ctx, wire.ControlKind_CONTROL_KIND_REPORT, &wire.ReportQuery{Query: b}, r); err != nil {
		return a, err
	}
	return a, errors.Wrap(json.Unmarshal(r.GetAnswer(), &a), "decode answer")
}

// queryStatus requests the status of the peer.
func (p peer) queryStatus(ctx context.Context) (*wire.StatusReply, error) {
	r := new(wire.StatusReply)
	return r, p.roundTrip(ctx, wire.ControlKind_CONTROL_KIND_STATUS, &wire.ReportQuery{}, r)
}

// sendEvidence sends samples and notices about version moves.
func (p peer) sendEvidence(ctx context.Context, e *wire.Evidence) error {
	return p.roundTrip(ctx, wire.ControlKind_CONTROL_KIND_EVIDENCE, e, new(wire.Evidence))
}

// roundTrip sends a request, decodes the reply into reply, and meters both.
func (p peer) roundTrip(ctx context.Context, kind wire.ControlKind, req, reply proto.Message) error {
	b, err := proto.Marshal(req)
	if err != nil {
		return errors.Wrap(err, "encode control message")
	}
	p.meter.AddSent(budgetKinds[kind], len(b)+controlOverhead)
	b, err = p.pool.Control(ctx, p.id, kind, b)
	if err != nil {
		return err
	}
	p.meter.AddReceived(budgetKinds[kind], len(b)+controlOverhead)
	return errors.Wrap(proto.Unmarshal(b, reply), "decode control reply")
}

// controlHandler wraps f as the handler of a kind of control message: it
// decodes the request, encodes the reply, and meters the cost.
func controlHandler[Q any, PQ interface {
	*Q
	proto.Message
}, R proto.Message](m *budget.Meter, kind wire.ControlKind, f func(context.Context, PQ) (R, error)) link.ServerOption {
	return link.WithControlHandler(kind, func(ctx context.Context, _ link.Peer, payload []byte) ([]byte, error) {
		start := time.Now()
		defer m.AddCPU(budgetKinds[kind], start)
		m.AddReceived(budgetKinds[kind], len(payload)+controlOverhead)
		q := PQ(new(Q))
		if err := proto.Unmarshal(payload, q); err != nil {
			return nil, errors.Wrap(err, "decode control message")
		}
		r, err := f(ctx, q)
		if err != nil {
			return nil, err
		}
		b, err := proto.Marshal(r)
		m.AddSent(budgetKinds[kind], len(b)+controlOverhead)
		return b, errors.Wrap(err, "encode control reply")
	})
}
