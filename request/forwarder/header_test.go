package forwarder

import (
	"bufio"
	"context"
	"io"
	"net"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/valyala/fasthttp"
)

// TestHeaderOfBareLineFeedsHoldsNoSlot guards against a request that waits until its
// deadline for the end of a header whose lines end without a carriage return.
func TestHeaderOfBareLineFeedsHoldsNoSlot(t *testing.T) {
	for _, text := range []string{"HTTP/1.1 200 OK\nContent-Length: 2\n\nok", "HTTP/1.1 200 OK\r\nContent-Length: 2\n\nok", "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\nok"} {
		is := is.New(t)
		ended := make(chan struct{})
		address := startTarget(t, func(_ int, conn net.Conn, r *bufio.Reader) {
			_, _ = readHeader(r)
			_, _ = io.WriteString(conn, text)
			<-ended
		})
		deadline := time.Now().Add(time.Minute)
		err := (&Forwarder{Address: address}).Do(context.Background(), newRequest("/"), &fasthttp.Response{}, deadline, Identity{})
		close(ended)
		is.True(IsKind(err, KindBroken))
		is.True(time.Now().Before(deadline))
	}
}
