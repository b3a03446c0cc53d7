// Package link carries frames between daemons: yamux sessions over TCP with a
// handshake, length-prefixed protobuf frames and a pool of sessions.
package link

import (
	"bufio"
	"encoding/binary"
	"io"
	"net"
	"sync"
	"time"

	"github.com/pkg/errors"
	"google.golang.org/protobuf/proto"

	"gitlab.com/cranberrytack/cranberrytack/internal/base/clock"
	wire "gitlab.com/cranberrytack/cranberrytack/internal/wire/proto"
)

const (
	// MaxFrameBytes bounds the size of one frame, and so the memory that a faulty
	// peer can make this process allocate for it.
	MaxFrameBytes = 256 << 10
	// MaxChunkBytes is the maximum size of a body chunk in one frame.
	MaxChunkBytes = 32 << 10
	// MaxInlineBodyBytes is the maximum size of a body that is sent in CallStart.
	MaxInlineBodyBytes = 64 << 10

	lengthPrefixBytes    = 4
	readBufferBytes      = 4 << 10
	maxPooledBufferBytes = 64 << 10
)

// Errors of streams and sessions.
var (
	ErrFrameTooLarge  = errors.New("frame too large")
	ErrMalformedFrame = errors.New("malformed frame")
	ErrHandshake      = errors.New("handshake failed")
	ErrClosed         = errors.New("link closed")
)

var bufferPool = sync.Pool{New: func() any { b := make([]byte, 0, readBufferBytes); return &b }}

// Stream exchanges frames over one yamux stream. One goroutine may send while
// another receives.
type Stream struct {
	conn    net.Conn
	reader  *bufio.Reader
	session *Session
	kind    streamKind
	// releasedAt is when the stream was last returned to its session.
	releasedAt time.Time
}

func newStream(conn net.Conn, s *Session) *Stream {
	st := &Stream{conn: conn, reader: bufio.NewReaderSize(conn, readBufferBytes), session: s}
	s.addStream(st)
	return st
}

// Session returns the session on which the stream was opened.
func (s *Stream) Session() *Session {
	return s.session
}

// Send writes frames with a single write.
func (s *Stream) Send(frames ...*wire.Frame) error {
	bp, _ := bufferPool.Get().(*[]byte)
	buf := (*bp)[:0]
	defer func() {
		if cap(buf) <= maxPooledBufferBytes {
			*bp = buf
			bufferPool.Put(bp)
		}
	}()
	for _, f := range frames {
		start := len(buf)
		buf = append(buf, 0, 0, 0, 0)
		var err error
		buf, err = proto.MarshalOptions{}.MarshalAppend(buf, f)
		if err != nil {
			return errors.Wrap(ErrMalformedFrame, err.Error())
		}
		size := len(buf) - start - lengthPrefixBytes
		if size > MaxFrameBytes {
			return errors.Wrapf(ErrFrameTooLarge, "%d bytes", size)
		}
		binary.BigEndian.PutUint32(buf[start:], uint32(size))
	}
	if _, err := s.conn.Write(buf); err != nil {
		return errors.Wrap(ErrClosed, err.Error())
	}
	return nil
}

// Receive reads the next frame. It returns io.EOF when the peer closed the
// stream between two frames.
func (s *Stream) Receive() (*wire.Frame, error) {
	var head [lengthPrefixBytes]byte
	if _, err := io.ReadFull(s.reader, head[:]); err != nil {
		if errors.Is(err, io.EOF) {
			return nil, io.EOF
		}
		return nil, errors.Wrap(ErrClosed, err.Error())
	}
	size := binary.BigEndian.Uint32(head[:])
	if size > MaxFrameBytes {
		return nil, errors.Wrapf(ErrFrameTooLarge, "%d bytes", size)
	}
	f := new(wire.Frame)
	if err := s.decode(int(size), f); err != nil {
		return nil, err
	}
	return f, nil
}

func (s *Stream) decode(size int, f *wire.Frame) error {
	bp, _ := bufferPool.Get().(*[]byte)
	defer bufferPool.Put(bp)
	if cap(*bp) < size {
		*bp = make([]byte, 0, size)
	}
	buf := (*bp)[:size]
	if _, err := io.ReadFull(s.reader, buf); err != nil {
		return errors.Wrap(ErrClosed, err.Error())
	}
	if err := proto.Unmarshal(buf, f); err != nil {
		return errors.Wrap(ErrMalformedFrame, err.Error())
	}
	return nil
}

// SetReadTimeout makes Receive fail d from now; zero or less removes the time-out.
func (s *Stream) SetReadTimeout(d clock.Milli) {
	var t time.Time
	if d > 0 {
		t = time.Now().Add(d.Duration())
	}
	_ = s.conn.SetReadDeadline(t)
}

// Interrupt makes pending and later calls of Send and Receive fail.
func (s *Stream) Interrupt() {
	_ = s.conn.SetDeadline(time.Unix(1, 0))
}

// Close ends the stream.
func (s *Stream) Close() {
	s.session.removeStream(s)
	_ = s.conn.Close()
}
