package acceptor

import (
	"bufio"
	"bytes"
	"errors"
	"io"
	"sync/atomic"

	"github.com/valyala/fasthttp"

	"github.com/hornbeamrack/hornbeamrack/common/assembler"
)

const (
	// initialReadBytes is the size of the read buffer of a connection. A longer header
	// enlarges it up to the limit in force.
	initialReadBytes = DefaultHeaderBytes
	// maxEnlargedBytes bounds what the enlarged buffers of all connections of a server
	// hold together.
	maxEnlargedBytes = 16 << 20
	// maxTrailerBytes bounds the trailers of a chunked body. The buffer is enlarged for them
	// before the body is read, so the limit on headers would be too much.
	maxTrailerBytes = 64 << 10
	// smallBodyBytes is the length up to which a body may take the reserved part of the
	// memory for bodies.
	smallBodyBytes = 64 << 10
	// chunkedLength is the length that fasthttp gives to a chunked body.
	chunkedLength = -1
)

var (
	// errHeaderTooLarge means that a header is longer than the limit in force.
	errHeaderTooLarge = errors.New("the request header is longer than the limit")
	// errNoHeaderSpace means that the headers of other connections use maxEnlargedBytes.
	errNoHeaderSpace = errors.New("too many long request headers are being read")
	// errNoBodySpace means that the bodies of other requests use the memory for them.
	errNoBodySpace = errors.New("too many long request bodies are being read")
)

// requestReader reads the requests of one connection. fasthttp parses a header only as a
// whole in the buffer, so the buffer is enlarged while a header does not fit, and replaced
// by a small one before the next request. The limit thus may change between two requests.
// It is used by the goroutine of the connection alone.
type requestReader struct {
	counter  countingReader
	br       *bufio.Reader
	enlarged *atomic.Int64 // enlarged counts the bytes of the server's buffers beyond initialReadBytes.
	own      int64         // own is what this reader has added to enlarged.
}

// countingReader counts the bytes that it reads.
type countingReader struct {
	r io.Reader
	n int64
}

// Read implements io.Reader.
func (r *countingReader) Read(p []byte) (int, error) {
	n, err := r.r.Read(p)
	r.n += int64(n)
	return n, err
}

// init sets the source and the counter of enlarged buffers.
func (r *requestReader) init(source io.Reader, enlarged *atomic.Int64) {
	r.counter = countingReader{r: source}
	r.enlarged = enlarged
	r.br = bufio.NewReaderSize(&r.counter, initialReadBytes)
}

// Read implements io.Reader.
func (r *requestReader) Read(p []byte) (int, error) { return r.br.Read(p) }

// awaitByte waits until a byte can be read.
func (r *requestReader) awaitByte() error {
	if r.own > 0 && r.br.Buffered() <= initialReadBytes {
		r.resize(initialReadBytes)
		r.release()
	}
	_, err := r.br.Peek(1)
	return err
}

// release gives back what this reader has added to enlarged.
func (r *requestReader) release() {
	r.enlarged.Add(-r.own)
	r.own = 0
}

// resize replaces the buffer by one of another size, which holds the buffered bytes. size
// is at least their number.
func (r *requestReader) resize(size int) {
	buffered, _ := r.br.Peek(r.br.Buffered())
	rest := bytes.Clone(buffered)
	r.br = bufio.NewReaderSize(io.MultiReader(bytes.NewReader(rest), &r.counter), size)
	_, _ = r.br.Peek(len(rest))
}

// consumed returns the number of bytes that were read and are not buffered any more.
func (r *requestReader) consumed() int64 { return r.counter.n - int64(r.br.Buffered()) }

// enlarge doubles the buffer, up to limit bytes. It returns errNoHeaderSpace if the
// server's buffers would become too large together.
func (r *requestReader) enlarge(limit int) error {
	size := min(2*r.br.Size(), limit)
	more := int64(size - r.br.Size())
	if r.enlarged.Add(more) > maxEnlargedBytes {
		r.enlarged.Add(-more)
		return errNoHeaderSpace
	}
	r.own += more
	r.resize(size)
	return nil
}

// readHeader reads a header of up to limit bytes. It returns an error of fasthttp,
// errHeaderTooLarge or errNoHeaderSpace.
func (r *requestReader) readHeader(h *fasthttp.RequestHeader, limit int) error {
	start := r.consumed()
	for {
		err := h.Read(r.br)
		var small *fasthttp.ErrSmallBuffer
		switch {
		case err == nil && r.consumed()-start > int64(limit):
			return errHeaderTooLarge
		case !errors.As(err, &small):
			return err
		case r.br.Size() >= limit:
			return errHeaderTooLarge
		}
		if err := r.enlarge(limit); err != nil {
			return err
		}
	}
}

// readBody reads the body that follows the header of req, with the trailers of a chunked
// one, which fasthttp parses as a whole in the buffer like a header. It returns the bytes
// that it has reserved in the pool, which the caller returns when req is done with.
func (r *requestReader) readBody(req *fasthttp.Request, l Limits, pool *assembler.Pool) (reserved int, err error) {
	length := req.Header.ContentLength()
	if length == chunkedLength {
		return r.readChunks(req, l, pool)
	}
	if length <= 0 || length > l.BodyBytes {
		return 0, req.ContinueReadBody(r.br, l.BodyBytes, false)
	}
	if !pool.Reserve(length, length <= smallBodyBytes) {
		return 0, errNoBodySpace
	}
	return length, req.ContinueReadBody(r.br, l.BodyBytes, false)
}

// readChunks reads a chunked body into the pool's blocks, and then into one piece.
func (r *requestReader) readChunks(req *fasthttp.Request, l Limits, pool *assembler.Pool) (reserved int, err error) {
	for trailer := min(l.HeaderBytes, maxTrailerBytes); r.br.Size() < trailer; {
		if err := r.enlarge(trailer); err != nil {
			return 0, err
		}
	}
	body := assembler.Body{Pool: pool, MaxBytes: l.BodyBytes, SmallBytes: smallBodyBytes}
	defer body.Release()
	if err := req.ContinueReadBodyStream(r.br, l.BodyBytes, false); err != nil {
		return 0, err
	}
	err = body.ReadAll(req.BodyStream())
	_ = req.CloseBodyStream()
	if err != nil {
		return 0, err
	}
	if !pool.Reserve(body.Len(), body.Len() <= smallBodyBytes) {
		return 0, errNoBodySpace
	}
	req.SetBodyRaw(body.Bytes())
	if body.Len() == 0 {
		req.Header.SetContentLength(0)
	}
	return body.Len(), nil
}
