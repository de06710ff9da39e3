// Package framer carries net/rpc calls in bounded frames.
//
// The codec that net/rpc brings reads whatever its peer tells it to read and
// waits for as long as the peer likes. This package puts each call and each
// answer into one frame, a four-byte length followed by a gob stream, and
// refuses frames above a limit before any of their bytes are decoded. A frame
// that has begun must end before a deadline, so a slow sender costs its own
// connection and nothing more. Longer frames are compressed, since sections and
// documents repeat themselves and bytes between data centres are dear; the limit
// holds for the frame before and after. The gob encoder lives as long as the
// connection, so type descriptions travel once.
//
// # Usage
//
//	server.ServeCodec(framer.NewServerCodec(conn, framer.Limits{MaxFrame: 1 << 20}))
//	client := rpc.NewClientWithCodec(framer.NewClientCodec(conn, framer.Limits{}))
//
// Zero limits take the defaults of this package.
package framer

import (
	"bufio"
	"bytes"
	"encoding/binary"
	"encoding/gob"
	"fmt"
	"io"
	"net"
	"net/rpc"
	"sync"
	"time"

	"github.com/klauspost/compress/s2"
	"github.com/pkg/errors"
)

const (
	// DefaultMaxFrameBytes bounds one frame, in bytes.
	DefaultMaxFrameBytes = 1 << 20
	// DefaultFrameTimeout bounds the time from a frame's first byte to its last.
	DefaultFrameTimeout = 5 * time.Second
	// DefaultIdleTimeout bounds the wait for the next frame.
	DefaultIdleTimeout = 60 * time.Second
	// DefaultMaxInFlight bounds the calls that a server works on for one connection.
	DefaultMaxInFlight = 64

	lengthBytes = 4
	readBytes   = 2 << 10
	// compressFrom is the length from which a frame is compressed, in bytes.
	compressFrom = 1 << 10
	// compressed marks the length of a compressed frame.
	compressed = 1 << 31
)

// Kind tells what went wrong with a frame.
type Kind string

// The kinds of framing errors.
const (
	KindTooLarge      Kind = "frameTooLarge"
	KindTrailingBytes Kind = "trailingBytes"
	KindIO            Kind = "io"
	KindDecode        Kind = "decode"
)

// Error is the only error type of this package.
type Error struct {
	Op   string
	Kind Kind
	Err  error
}

// Error implements error.
func (e *Error) Error() string {
	return fmt.Sprintf("framer: %s: %s: %v", e.Op, e.Kind, e.Err)
}

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Err }

// Limits bounds what a peer can make this process do. A zero field takes the
// package's default.
type Limits struct {
	MaxFrameBytes int           // MaxFrame is in bytes.
	FrameTimeout  time.Duration // FrameTimeout is the time that one frame may take.
	IdleTimeout   time.Duration // IdleTimeout is the longest silence between frames.
	MaxInFlight   int           // MaxInFlight is in calls; only servers use it.
}

func (l Limits) withDefaults() Limits {
	if l.MaxFrameBytes == 0 {
		l.MaxFrameBytes = DefaultMaxFrameBytes
	}
	if l.FrameTimeout == 0 {
		l.FrameTimeout = DefaultFrameTimeout
	}
	if l.IdleTimeout == 0 {
		l.IdleTimeout = DefaultIdleTimeout
	}
	if l.MaxInFlight == 0 {
		l.MaxInFlight = DefaultMaxInFlight
	}
	return l
}

// stream is one framed gob stream in both directions. Reads come from one
// goroutine; writes are serialised by net/rpc.
type stream struct {
	conn   net.Conn
	read   *bufio.Reader // read takes a short frame off the connection at once.
	limits Limits
	in     bytes.Reader
	frame  []byte
	out    bytes.Buffer
	enc    *gob.Encoder
	dec    *gob.Decoder
}

func newStream(conn net.Conn, limits Limits) *stream {
	s := &stream{conn: conn, read: bufio.NewReaderSize(conn, readBytes), limits: limits.withDefaults()}
	s.enc = gob.NewEncoder(&s.out)
	// bytes.Reader is an io.ByteReader, so gob reads no further than a message.
	s.dec = gob.NewDecoder(&s.in)
	return s
}

// next reads one whole frame into memory.
func (s *stream) next() error {
	var head [lengthBytes]byte
	if err := s.conn.SetReadDeadline(time.Now().Add(s.limits.IdleTimeout)); err != nil {
		return &Error{"read", KindIO, err}
	}
	if _, err := io.ReadFull(s.read, head[:1]); err != nil {
		if err == io.EOF {
			return io.EOF
		}
		return &Error{"read", KindIO, err}
	}
	if err := s.conn.SetReadDeadline(time.Now().Add(s.limits.FrameTimeout)); err != nil {
		return &Error{"read", KindIO, err}
	}
	if _, err := io.ReadFull(s.read, head[1:]); err != nil {
		return &Error{"read", KindIO, err}
	}
	length := binary.BigEndian.Uint32(head[:])
	n := int(length &^ compressed)
	if n > s.limits.MaxFrameBytes {
		return &Error{"read", KindTooLarge, errors.Errorf("%d bytes, limit %d", n, s.limits.MaxFrameBytes)}
	}
	if cap(s.frame) < n {
		s.frame = make([]byte, n)
	}
	s.frame = s.frame[:n]
	if _, err := io.ReadFull(s.read, s.frame); err != nil {
		return &Error{"read", KindIO, err}
	}
	if length&compressed == 0 {
		s.in.Reset(s.frame)
		return nil
	}
	return s.expand()
}

// expand decompresses the frame that was read.
func (s *stream) expand() error {
	n, err := s2.DecodedLen(s.frame)
	if err != nil {
		return &Error{"read", KindDecode, err}
	}
	if n > s.limits.MaxFrameBytes {
		return &Error{"read", KindTooLarge, errors.Errorf("%d bytes when decompressed, limit %d", n, s.limits.MaxFrameBytes)}
	}
	plain, err := s2.Decode(nil, s.frame)
	if err != nil {
		return &Error{"read", KindDecode, err}
	}
	s.in.Reset(plain)
	return nil
}

func (s *stream) decode(v any) error {
	if err := s.dec.Decode(v); err != nil {
		return &Error{"decode", KindDecode, err}
	}
	return nil
}

// finish checks that the frame held nothing but the call that was read.
func (s *stream) finish() error {
	if s.in.Len() > 0 {
		return &Error{"decode", KindTrailingBytes, errors.Errorf("%d bytes", s.in.Len())}
	}
	return nil
}

func (s *stream) readBody(body any) error {
	if err := s.decode(body); err != nil {
		return err
	}
	return s.finish()
}

func (s *stream) write(head, body any) error {
	s.out.Reset()
	s.out.Write(make([]byte, lengthBytes))
	if err := s.enc.Encode(head); err != nil {
		return &Error{"encode", KindDecode, err}
	}
	if err := s.enc.Encode(body); err != nil {
		return &Error{"encode", KindDecode, err}
	}
	b := s.out.Bytes()
	n := len(b) - lengthBytes
	if n > s.limits.MaxFrameBytes {
		return &Error{"write", KindTooLarge, errors.Errorf("%d bytes, limit %d", n, s.limits.MaxFrameBytes)}
	}
	binary.BigEndian.PutUint32(b, uint32(n))
	if n >= compressFrom {
		b = shrink(b)
	}
	if err := s.conn.SetWriteDeadline(time.Now().Add(s.limits.FrameTimeout)); err != nil {
		return &Error{"write", KindIO, err}
	}
	if _, err := s.conn.Write(b); err != nil {
		return &Error{"write", KindIO, err}
	}
	return nil
}

// shrink compresses a frame, unless that makes it longer.
func shrink(b []byte) []byte {
	plain := b[lengthBytes:]
	out := make([]byte, lengthBytes+s2.MaxEncodedLen(len(plain)))
	n := len(s2.Encode(out[lengthBytes:], plain))
	if n >= len(plain) {
		return b
	}
	binary.BigEndian.PutUint32(out, uint32(n)|compressed)
	return out[:lengthBytes+n]
}

// serverCodec implements rpc.ServerCodec. The slots channel bounds the calls
// that are worked on at once.
type serverCodec struct {
	*stream
	slots chan struct{}
	once  sync.Once
	done  chan struct{}
}

// NewServerCodec returns the server's side of a framed connection.
func NewServerCodec(conn net.Conn, limits Limits) rpc.ServerCodec {
	s := newStream(conn, limits)
	return &serverCodec{stream: s, slots: make(chan struct{}, s.limits.MaxInFlight), done: make(chan struct{})}
}

// ReadRequestHeader waits for a free slot, then for the next frame.
func (c *serverCodec) ReadRequestHeader(r *rpc.Request) error {
	select {
	case c.slots <- struct{}{}:
	case <-c.done:
		return io.EOF
	}
	if err := c.next(); err != nil {
		return err
	}
	return c.decode(r)
}

// ReadRequestBody decodes the arguments of the call; nil discards them.
func (c *serverCodec) ReadRequestBody(body any) error { return c.readBody(body) }

// WriteResponse sends one answer and frees its slot. A failed write closes the
// connection, since the peer can no longer tell answers apart.
func (c *serverCodec) WriteResponse(r *rpc.Response, body any) error {
	err := c.write(r, body)
	select {
	case <-c.slots:
	default:
	}
	if err != nil {
		_ = c.Close()
	}
	return err
}

// Close ends the connection.
func (c *serverCodec) Close() error {
	c.once.Do(func() { close(c.done) })
	return c.conn.Close()
}

type clientCodec struct{ *stream }

// NewClientCodec returns the client's side of a framed connection.
func NewClientCodec(conn net.Conn, limits Limits) rpc.ClientCodec {
	return clientCodec{newStream(conn, limits)}
}

// WriteRequest sends one call.
func (c clientCodec) WriteRequest(r *rpc.Request, body any) error {
	err := c.write(r, body)
	if err != nil {
		_ = c.conn.Close()
	}
	return err
}

// ReadResponseHeader waits for the next answer.
func (c clientCodec) ReadResponseHeader(r *rpc.Response) error {
	if err := c.next(); err != nil {
		return err
	}
	return c.decode(r)
}

// ReadResponseBody decodes the answer; nil discards it.
func (c clientCodec) ReadResponseBody(body any) error { return c.readBody(body) }

// Close ends the connection.
func (c clientCodec) Close() error { return c.conn.Close() }
