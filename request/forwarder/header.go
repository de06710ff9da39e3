package forwarder

import (
	"bufio"
	"bytes"
	"slices"

	"github.com/pkg/errors"
	"github.com/valyala/fasthttp"
)

var (
	headerEnd = []byte("\r\n\r\n")
	lineEnd   = []byte("\r\n")
	http11    = []byte("HTTP/1.1")
	http10    = []byte("HTTP/1.0")
)

// readResponseHeader reads the header of one response, interim or final. It takes nothing
// for a header before its blank line has arrived, and rejects one that readers may
// understand differently: fasthttp reads status 000 as 200, skips white space in names and
// joins a line that begins with white space with the one before it.
func readResponseHeader(br *bufio.Reader, h *fasthttp.ResponseHeader) error {
	raw, err := peekHeader(br)
	if err != nil {
		return err
	}
	if err := checkHeader(raw); err != nil {
		return err
	}
	return h.Read(br)
}

// peekHeader returns the bytes up to the first blank line, without consuming them. It
// waits until they have arrived.
func peekHeader(br *bufio.Reader) ([]byte, error) {
	for searched := 0; ; {
		b, err := br.Peek(br.Buffered())
		if err != nil {
			return nil, err
		}
		if i := bytes.Index(b[searched:], headerEnd); i >= 0 {
			return b[:searched+i+len(lineEnd)], nil
		}
		if hasBareLineFeed(b[searched:]) {
			return nil, errors.New("a line of the header ends without a carriage return")
		}
		searched = max(0, len(b)-len(headerEnd)+1)
		if _, err := br.Peek(len(b) + 1); err != nil {
			return nil, errors.Wrapf(err, "the header is not complete after %d bytes", len(b))
		}
	}
}

// hasBareLineFeed reports whether a line feed in b does not follow a carriage return. The
// first byte is not checked.
func hasBareLineFeed(b []byte) bool {
	for i := 1; i < len(b); i++ {
		if b[i] == '\n' && b[i-1] != '\r' {
			return true
		}
	}
	return false
}

// checkHeader returns an error if the status line or a header line is not well-formed.
// Each line ends with a carriage return and a line feed.
func checkHeader(raw []byte) error {
	status, rest, _ := bytes.Cut(raw, lineEnd)
	if err := checkStatusLine(status); err != nil {
		return err
	}
	return checkHeaderLines(rest)
}

// checkHeaderLines returns an error if a line of a header or a trailer is not well-formed.
func checkHeaderLines(raw []byte) error {
	for len(raw) > 0 {
		var line []byte
		line, raw, _ = bytes.Cut(raw, lineEnd)
		if err := checkHeaderLine(line); err != nil {
			return err
		}
	}
	return nil
}

// checkStatusLine returns an error unless the line has a supported version and a status
// that a client may receive to a request without Upgrade.
func checkStatusLine(line []byte) error {
	version, rest, _ := bytes.Cut(line, []byte(" "))
	code, _, _ := bytes.Cut(rest, []byte(" "))
	switch {
	case !bytes.Equal(version, http11) && !bytes.Equal(version, http10):
		return errors.Errorf("the status line %q has no supported version", line)
	case len(code) != 3 || code[0] < '1' || code[0] > '9':
		return errors.Errorf("the status line %q has no valid status", line)
	case string(code) == "101":
		return errors.New("the peer switches protocols without a request to do so")
	case slices.ContainsFunc(line, isControl):
		return errors.Errorf("the status line %q has a control byte within it", line)
	}
	return nil
}

// checkHeaderLine returns an error if a line has a line end within it, or a blank or a
// control byte in its name. A line that continues the one before it begins with a blank or
// a tab, so it is rejected too.
func checkHeaderLine(line []byte) error {
	if bytes.ContainsAny(line, "\r\n") {
		return errors.Errorf("the header line %q has a line end within it", line)
	}
	name, _, _ := bytes.Cut(line, []byte(":"))
	if slices.ContainsFunc(name, isBlankOrControl) {
		return errors.Errorf("the header line %q has white space or a control byte in its name", line)
	}
	return nil
}

// isBlankOrControl reports whether b must not be in a name: a blank, a tab or another
// control byte.
func isBlankOrControl(b byte) bool { return b == ' ' || b == '\t' || isControl(b) }

// isControl reports whether b is a control byte other than a tab.
func isControl(b byte) bool { return b < ' ' && b != '\t' || b == 0x7f }
