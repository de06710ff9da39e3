package forwarder

import (
	"bufio"
	"io"
	"net"
	"testing"

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
