package forwarder

import (
	"bufio"
	"io"
	"net/http/httputil"

	"github.com/pkg/errors"
	"github.com/valyala/fasthttp"
)

// chunkedLength is the length that fasthttp gives to a body in chunks.
const chunkedLength = -1

// chunkedBody reads a body in chunks and the trailer behind it, whose lines are checked as
// those of a header are. fasthttp would read the trailer with the last chunk, and it accepts
// white space in names.
type chunkedBody struct {
	chunks io.Reader
	br     *bufio.Reader
	header *fasthttp.ResponseHeader // header gets the trailer.
	err    error                    // err is the first error of Read, io.EOF behind the trailer.
}

// newChunkedBody returns the body that follows the header h.
func newChunkedBody(br *bufio.Reader, h *fasthttp.ResponseHeader) *chunkedBody {
	return &chunkedBody{chunks: httputil.NewChunkedReader(br), br: br, header: h}
}

// Read implements io.Reader. It returns io.EOF once the trailer is read.
func (b *chunkedBody) Read(p []byte) (int, error) {
	if b.err != nil {
		return 0, b.err
	}
	n, err := b.chunks.Read(p)
	if err == io.EOF {
		err = firstError(readTrailer(b.br, b.header), io.EOF)
	}
	b.err = err
	return n, err
}

// readTrailer reads the trailer of a body in chunks, which is a blank line if there is none.
func readTrailer(br *bufio.Reader, h *fasthttp.ResponseHeader) error {
	start, err := br.Peek(len(lineEnd))
	if err != nil {
		return errIncomplete(err)
	}
	if string(start) != string(lineEnd) {
		raw, err := peekHeader(br)
		if err != nil {
			return errIncomplete(err)
		}
		if err := checkHeaderLines(raw); err != nil {
			return err
		}
	}
	return errIncomplete(h.ReadTrailer(br))
}

// errIncomplete returns io.ErrUnexpectedEOF for the end of the connection, which does not
// end a body in chunks, and any other error unchanged.
func errIncomplete(err error) error {
	if errors.Is(err, io.EOF) {
		return io.ErrUnexpectedEOF
	}
	return err
}
