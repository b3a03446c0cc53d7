package link

import (
	"context"
	"time"

	"github.com/pkg/errors"

	"gitlab.com/cranberrytack/cranberrytack/internal/base/clock"
	wire "gitlab.com/cranberrytack/cranberrytack/internal/wire/proto"
)

func (s *Session) clientHandshake(ctx context.Context, self Identity, clk clock.Clock) error {
	conn, err := s.mux.OpenStream()
	if err != nil {
		return errors.Wrap(ErrHandshake, err.Error())
	}
	st := newStream(conn, s)
	defer st.Close()
	stop := context.AfterFunc(ctx, st.Interrupt)
	defer stop()
	_ = conn.SetDeadline(time.Now().Add(handshakeTimeout.Duration()))
	sent := clk.Now()
	if err := st.Send(helloFrame(self, clk, "")); err != nil {
		return errors.Wrap(ErrHandshake, err.Error())
	}
	hello, err := receiveHello(st)
	if err != nil {
		return err
	}
	now := clk.Now()
	if roundTrip := now - sent; roundTrip > maxHandshakeRoundTrip {
		return errors.Wrapf(ErrHandshake, "peer responded only after %.0f ms", float64(roundTrip))
	}
	if hello.GetError() != "" {
		return errors.Wrapf(ErrHandshake, "peer refused: %q", hello.GetError())
	}
	s.applyHello(hello, now)
	return nil
}

func (s *Session) serverHandshake(self Identity, clk clock.Clock) error {
	conn, err := s.mux.AcceptStream()
	if err != nil {
		return errors.Wrap(ErrHandshake, err.Error())
	}
	st := newStream(conn, s)
	defer st.Close()
	hello, err := receiveHello(st)
	if err != nil {
		return err
	}
	// The clock is read before the reply is sent, so that the dialer's limit on
	// the round trip also covers a pause of this process.
	now := clk.Now()
	if refusal := refusalReason(hello, self); refusal != "" {
		_ = st.Send(helloFrame(self, clk, refusal))
		// Closing at once can discard the refusal before the peer has read it.
		st.SetReadTimeout(refusalReadTimeout)
		_, _ = st.Receive()
		return errors.Wrap(ErrHandshake, refusal)
	}
	if err := st.Send(helloFrame(self, clk, "")); err != nil {
		return errors.Wrap(ErrHandshake, err.Error())
	}
	s.applyHello(hello, now)
	return nil
}

func (s *Session) applyHello(h *wire.Hello, now clock.Milli) {
	s.peer = Peer{Member: h.GetMember(), Incarnation: h.GetIncarnation()}
	s.offset.Observe(now, clock.Milli(h.GetClock()))
}

func refusalReason(h *wire.Hello, self Identity) string {
	switch {
	case h.GetFleet() != self.Fleet:
		return "wrong fleet " + h.GetFleet()
	case h.GetProtocol() != ProtocolVersion:
		return "wrong protocol version"
	case h.GetMember() == "":
		return "member id missing"
	default:
		return ""
	}
}

func helloFrame(self Identity, clk clock.Clock, refusal string) *wire.Frame {
	return &wire.Frame{Body: &wire.Frame_Hello{Hello: &wire.Hello{
		Fleet:       self.Fleet,
		Member:      self.Member,
		Incarnation: self.Incarnation,
		Protocol:    ProtocolVersion,
		Clock:       float64(clk.Now()),
		Error:       refusal,
	}}}
}

func receiveHello(st *Stream) (*wire.Hello, error) {
	f, err := st.Receive()
	if err != nil {
		return nil, errors.Wrap(ErrHandshake, err.Error())
	}
	h := f.GetHello()
	if h == nil {
		return nil, errors.Wrap(ErrHandshake, "first frame is not a hello")
	}
	return h, nil
}
