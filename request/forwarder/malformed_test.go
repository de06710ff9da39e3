package forwarder

import (
	"bufio"
	"io"
	"net"
	"testing"

	"github.com/matryer/is"
	"github.com/valyala/fasthttp"
)

// startTextTarget starts a target that responds to each request with the text and then
// closes the connection.
func startTextTarget(t *testing.T, text string) string {
	t.Helper()
	return startTarget(t, func(_ int, conn net.Conn, r *bufio.Reader) {
		if _, ok := readHeader(r); ok {
			_, _ = io.WriteString(conn, text)
		}
	})
}

// checkRejected fails the test if a response with the text is passed on.
func checkRejected(t *testing.T, text string) {
	t.Helper()
	address := startTextTarget(t, text)
	for _, stream := range []bool{false, true} {
		if got := send(address, newRequest("/"), stream); got.complete {
			t.Errorf("stream %t, %q: got %+v", stream, text, got)
		}
	}
}

// checkPassedOn fails the test if a response with the text is not passed on as want.
func checkPassedOn(t *testing.T, text string, want received) {
	t.Helper()
	address := startTextTarget(t, text)
	for _, stream := range []bool{false, true} {
		if got := send(address, newRequest("/"), stream); got != want {
			t.Errorf("stream %t, %q: got %+v, want %+v", stream, text, got, want)
		}
	}
}

// TestInvalidStatusIsRejected guards against a response that is passed on although its
// status is not one of three digits from 100 on, as a final or an interim response. HTTP
// has clients treat a status from 600 on as a server error, so that one is passed on.
func TestInvalidStatusIsRejected(t *testing.T) {
	const final = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"
	statuses := []string{"000", "001", "010", "099", "0", "00", "20", "0000", "0200", "1000", "", "-01", "+20", "2 0", "20x", "x00", "\x00200", "200\x00"}
	for _, status := range statuses {
		checkRejected(t, "HTTP/1.1 "+status+" Text\r\nContent-Length: 2\r\n\r\nok")
		checkRejected(t, "HTTP/1.1 "+status+"\r\nContent-Length: 2\r\n\r\nok")
		checkRejected(t, "HTTP/1.1 "+status+" Text\r\n\r\n"+final)
		checkRejected(t, "HTTP/1.1 102 Processing\r\n\r\nHTTP/1.1 "+status+" Text\r\n\r\n"+final)
	}
	checkPassedOn(t, final, received{true, fasthttp.StatusOK, "ok"})
	checkPassedOn(t, "HTTP/1.1 102 Processing\r\n\r\n"+final, received{true, fasthttp.StatusOK, "ok"})
	checkPassedOn(t, "HTTP/1.1 999 Text\r\nContent-Length: 2\r\n\r\nok", received{true, 999, "ok"})
}

// invalidNames are names that a header must not have: with a blank or a control byte, or
// empty.
var invalidNames = []string{
	"X A", "X-A ", "X\tA", "X-A\t", "X-Response Signature", "Content Length", "Content-Length ",
	"X\x00A", "X\x01A", "X\x0bA", "X\x1fA", "X\x7fA", "X-A\x00", "\x00X-A", "X\rA", "",
}

// TestInvalidNameIsRejected guards against a response that is passed on although the name
// of one of its headers is not valid: in the header, in that of an interim response and in
// the trailer, as the first line or a later one.
func TestInvalidNameIsRejected(t *testing.T) {
	const chunks = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n"
	for _, name := range invalidNames {
		line := name + ": 1\r\n"
		checkRejected(t, "HTTP/1.1 200 OK\r\n"+line+"Content-Length: 2\r\n\r\nok")
		checkRejected(t, "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n"+line+"\r\nok")
		checkRejected(t, "HTTP/1.1 103 Early Hints\r\n"+line+"\r\n"+wholeResponse)
		checkRejected(t, "HTTP/1.1 103 Early Hints\r\nX-B: 1\r\n"+line+"\r\n"+wholeResponse)
		checkRejected(t, chunks+line+"\r\n")
		checkRejected(t, chunks+"X-B: 1\r\n"+line+"\r\n")
	}
	whole := received{true, fasthttp.StatusOK, "ok"}
	checkPassedOn(t, chunks+"\r\n", whole)
	checkPassedOn(t, chunks+"X-B: 1\r\nX-Sum:\r\n\r\n", whole)
}

// TestTrailerIsPassedOn guards against a trailer that is lost, or taken for a header of the
// response.
func TestTrailerIsPassedOn(t *testing.T) {
	is := is.New(t)
	address := startTextTarget(t, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\nTrailer: X-Sum\r\n\r\n2\r\nok\r\n0\r\nX-Sum: 7\r\nX-More: 8\r\n\r\n")
	resp, err := get(&Forwarder{Address: address}, "/")
	is.NoErr(err)
	is.Equal(string(resp.Header.Peek("X-Sum")), "7")
	is.Equal(string(resp.Header.Peek("X-More")), "8")
	is.Equal(string(resp.Header.Peek("Trailer")), "X-Sum, X-More")
}

// TestContinuedLineIsRejected guards against a response that is passed on although one of
// its lines begins with white space: one reader takes it for a header whose name begins
// with a blank, another for the end of the line before it.
func TestContinuedLineIsRejected(t *testing.T) {
	for _, line := range []string{" X-A: 1", "\tX-A: 1", " Content-Length: 1", " more", "\tmore", " ", "\t"} {
		lines := "X-B: 1\r\n" + line + "\r\n"
		checkRejected(t, "HTTP/1.1 200 OK\r\n"+line+"\r\nContent-Length: 2\r\n\r\nok")
		checkRejected(t, "HTTP/1.1 200 OK\r\n"+lines+"Content-Length: 2\r\n\r\nok")
		checkRejected(t, "HTTP/1.1 200 OK\r\n"+lines+"\r\nok")
		checkRejected(t, "HTTP/1.1 103 Early Hints\r\n"+lines+"\r\n"+wholeResponse)
		checkRejected(t, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n"+lines+"\r\n")
	}
}

// TestInvalidReasonIsRejected guards against a response that is passed on with a control
// byte in its status line, which some clients reject and others end the line at.
func TestInvalidReasonIsRejected(t *testing.T) {
	for _, reason := range []string{"O\x00K", "\x01OK", "OK\x0b", "O\x1fK", "OK\x7f", "O\rK", "OK\r"} {
		checkRejected(t, "HTTP/1.1 200 "+reason+"\r\nContent-Length: 2\r\n\r\nok")
		checkRejected(t, "HTTP/1.1 103 "+reason+"\r\n\r\n"+wholeResponse)
	}
	for _, reason := range []string{"", " ", " All right", " All\tright", " Très bien"} {
		checkPassedOn(t, "HTTP/1.1 200"+reason+"\r\nContent-Length: 2\r\n\r\nok", received{true, fasthttp.StatusOK, "ok"})
	}
}
