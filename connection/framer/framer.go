// Package framer implements net/rpc codecs that carry calls in bounded frames.
//
// The default codec of net/rpc limits neither the size of a message nor the time to
// read it. This package puts each call and each reply into one frame: a four-byte
// length followed by part of a gob stream. It rejects frames above a limit before it
// decodes any of their bytes. A frame must be complete before a deadline that starts
// with its first byte, so a slow sender affects only its own connection. Longer
// frames are compressed, since sections and documents are repetitive and bandwidth
// between data centres is expensive; the limit applies to the compressed and the
// decompressed size. One gob encoder is used for the whole connection, so type
// descriptions are sent once.
//
// # Usage
//
//	server.ServeCodec(framer.NewServerCodec(conn, framer.Limits{MaxFrameBytes: 1 << 20}))
//	client := rpc.NewClientWithCodec(framer.NewClientCodec(conn, framer.Limits{}))
//
// Limits that are zero take the defaults of this package.
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
	// DefaultMaxFrameBytes is the maximum size of a frame.
	DefaultMaxFrameBytes = 1 << 20
	// DefaultFrameTimeout is the maximum time from a frame's first byte to its last.
	DefaultFrameTimeout = 5 * time.Second
	// DefaultIdleTimeout is the maximum wait for the next frame.
	DefaultIdleTimeout = 60 * time.Second
	// DefaultMaxInFlight is the maximum number of concurrent calls that a server runs for
	// one connection.
	DefaultMaxInFlight = 64

	lengthPrefixBytes = 4
	readBufferBytes   = 2 << 10
	// minCompressedBytes is the length from which a frame is compressed.
	minCompressedBytes = 1 << 10
	// compressedFlag marks the length of a compressed frame.
	compressedFlag = 1 << 31
)

// Kind classifies a framing error.
type Kind string

// The kinds of framing errors.
const (
	KindTooLarge      Kind = "frameTooLarge"
	KindTrailingBytes Kind = "trailingBytes"
	KindIO            Kind = "io"
	KindDecode        Kind = "decode"
)

// Error is the only error type of this package. Op is the step that failed: read,
// decode, encode or write.
type Error struct {
	Op   string
	Kind Kind
	Err  error
}

// Error returns the step, the kind and the cause as text.
func (e *Error) Error() string {
	return fmt.Sprintf("framer: %s: %s: %v", e.Op, e.Kind, e.Err)
}

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Err }

// Limits bounds the resources that a peer can use in this process: the size of a
// frame, the time for one frame, the wait for the next one and the concurrent calls.
// A zero field takes the package's default.
type Limits struct {
	MaxFrameBytes int           // MaxFrameBytes is the maximum size of a frame.
	FrameTimeout  time.Duration // FrameTimeout is the maximum time to read or write one frame.
	IdleTimeout   time.Duration // IdleTimeout is the maximum wait for the next frame.
	MaxInFlight   int           // MaxInFlight is the maximum number of concurrent calls; only servers use it.
}

// withDefaults returns the limits with each zero field set to its default.
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

// stream is a framed gob stream in both directions. One goroutine reads; net/rpc
// serialises writes.
type stream struct {
	conn   net.Conn
	reader *bufio.Reader // reader lets a short frame be read with one system call.
	limits Limits
	in     bytes.Reader
	frame  []byte
	out    bytes.Buffer
	enc    *gob.Encoder
	dec    *gob.Decoder
}

func newStream(conn net.Conn, limits Limits) *stream {
	s := &stream{conn: conn, reader: bufio.NewReaderSize(conn, readBufferBytes), limits: limits.withDefaults()}
	s.enc = gob.NewEncoder(&s.out)
	// bytes.Reader implements io.ByteReader, so gob does not read beyond a message.
	s.dec = gob.NewDecoder(&s.in)
	return s
}

// readFrame reads one whole frame into memory and decompresses it if needed. It
// returns io.EOF if the connection ends before the first byte.
func (s *stream) readFrame() error {
	var head [lengthPrefixBytes]byte
	if err := s.conn.SetReadDeadline(time.Now().Add(s.limits.IdleTimeout)); err != nil {
		return &Error{"read", KindIO, err}
	}
	if _, err := io.ReadFull(s.reader, head[:1]); err != nil {
		if err == io.EOF {
			return io.EOF
		}
		return &Error{"read", KindIO, err}
	}
	if err := s.conn.SetReadDeadline(time.Now().Add(s.limits.FrameTimeout)); err != nil {
		return &Error{"read", KindIO, err}
	}
	if _, err := io.ReadFull(s.reader, head[1:]); err != nil {
		return &Error{"read", KindIO, err}
	}
	length := binary.BigEndian.Uint32(head[:])
	n := int(length &^ compressedFlag)
	if n > s.limits.MaxFrameBytes {
		return &Error{"read", KindTooLarge, errors.Errorf("frame of %d bytes exceeds the limit of %d bytes", n, s.limits.MaxFrameBytes)}
	}
	if cap(s.frame) < n {
		s.frame = make([]byte, n)
	}
	s.frame = s.frame[:n]
	if _, err := io.ReadFull(s.reader, s.frame); err != nil {
		return &Error{"read", KindIO, err}
	}
	if length&compressedFlag == 0 {
		s.in.Reset(s.frame)
		return nil
	}
	return s.decompressFrame()
}

// decompressFrame decompresses the frame that was read, unless its decompressed size
// exceeds the limit.
func (s *stream) decompressFrame() error {
	n, err := s2.DecodedLen(s.frame)
	if err != nil {
		return &Error{"read", KindDecode, err}
	}
	if n > s.limits.MaxFrameBytes {
		return &Error{"read", KindTooLarge, errors.Errorf("frame of %d bytes when decompressed exceeds the limit of %d bytes", n, s.limits.MaxFrameBytes)}
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

// checkFrameConsumed returns an error if bytes of the frame remain after the call.
func (s *stream) checkFrameConsumed() error {
	if s.in.Len() > 0 {
		return &Error{"decode", KindTrailingBytes, errors.Errorf("%d bytes of the frame remain after the call", s.in.Len())}
	}
	return nil
}

func (s *stream) readBody(body any) error {
	if err := s.decode(body); err != nil {
		return err
	}
	return s.checkFrameConsumed()
}

// write sends head and body in one frame, or returns an error without sending if the
// frame exceeds the limit.
func (s *stream) write(head, body any) error {
	s.out.Reset()
	s.out.Write(make([]byte, lengthPrefixBytes))
	if err := s.enc.Encode(head); err != nil {
		return &Error{"encode", KindDecode, err}
	}
	if err := s.enc.Encode(body); err != nil {
		return &Error{"encode", KindDecode, err}
	}
	b := s.out.Bytes()
	n := len(b) - lengthPrefixBytes
	if n > s.limits.MaxFrameBytes {
		return &Error{"write", KindTooLarge, errors.Errorf("frame of %d bytes exceeds the limit of %d bytes", n, s.limits.MaxFrameBytes)}
	}
	binary.BigEndian.PutUint32(b, uint32(n))
	if n >= minCompressedBytes {
		b = compressFrame(b)
	}
	if err := s.conn.SetWriteDeadline(time.Now().Add(s.limits.FrameTimeout)); err != nil {
		return &Error{"write", KindIO, err}
	}
	if _, err := s.conn.Write(b); err != nil {
		return &Error{"write", KindIO, err}
	}
	return nil
}

// compressFrame returns the compressed frame, or b itself if compression does not make
// it shorter.
func compressFrame(b []byte) []byte {
	plain := b[lengthPrefixBytes:]
	out := make([]byte, lengthPrefixBytes+s2.MaxEncodedLen(len(plain)))
	n := len(s2.Encode(out[lengthPrefixBytes:], plain))
	if n >= len(plain) {
		return b
	}
	binary.BigEndian.PutUint32(out, uint32(n)|compressedFlag)
	return out[:lengthPrefixBytes+n]
}

// serverCodec implements rpc.ServerCodec. The capacity of slots is the maximum number
// of concurrent calls.
type serverCodec struct {
	*stream
	slots chan struct{}
	once  sync.Once
	done  chan struct{}
}

// NewServerCodec returns a server codec for a framed connection.
func NewServerCodec(conn net.Conn, limits Limits) rpc.ServerCodec {
	s := newStream(conn, limits)
	return &serverCodec{stream: s, slots: make(chan struct{}, s.limits.MaxInFlight), done: make(chan struct{})}
}

// ReadRequestHeader waits for a free slot, then reads the next frame and decodes the
// header of its call. It returns io.EOF after Close.
func (c *serverCodec) ReadRequestHeader(r *rpc.Request) error {
	select {
	case c.slots <- struct{}{}:
	case <-c.done:
		return io.EOF
	}
	if err := c.readFrame(); err != nil {
		return err
	}
	return c.decode(r)
}

// ReadRequestBody decodes the arguments of the call; nil discards them.
func (c *serverCodec) ReadRequestBody(body any) error { return c.readBody(body) }

// WriteResponse sends one reply and frees its slot. It closes the connection after a
// failed write, since the peer could no longer find the start of the next reply.
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

// Close closes the connection and ends the wait for a slot.
func (c *serverCodec) Close() error {
	c.once.Do(func() { close(c.done) })
	return c.conn.Close()
}

// clientCodec implements rpc.ClientCodec.
type clientCodec struct{ *stream }

// NewClientCodec returns a client codec for a framed connection.
func NewClientCodec(conn net.Conn, limits Limits) rpc.ClientCodec {
	return clientCodec{newStream(conn, limits)}
}

// WriteRequest sends one call. It closes the connection after a failed write.
func (c clientCodec) WriteRequest(r *rpc.Request, body any) error {
	err := c.write(r, body)
	if err != nil {
		_ = c.conn.Close()
	}
	return err
}

// ReadResponseHeader reads the next frame and decodes the header of its reply.
func (c clientCodec) ReadResponseHeader(r *rpc.Response) error {
	if err := c.readFrame(); err != nil {
		return err
	}
	return c.decode(r)
}

// ReadResponseBody decodes the body of the reply; nil discards it.
func (c clientCodec) ReadResponseBody(body any) error { return c.readBody(body) }

// Close closes the connection.
func (c clientCodec) Close() error { return c.conn.Close() }
