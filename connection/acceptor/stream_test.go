package acceptor

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
)

// slowStream is a body that arrives in parts, and ends with an error when ctx ends.
type slowStream struct {
	ctx   context.Context
	parts int
	pause time.Duration
}

// Read implements io.Reader.
func (s *slowStream) Read(p []byte) (int, error) {
	if s.parts == 0 {
		return 0, io.EOF
	}
	select {
	case <-s.ctx.Done():
		return 0, errors.New("cancelled")
	case <-time.After(s.pause):
	}
	s.parts--
	return copy(p, "part"), nil
}

// readChunks reads a chunked response and returns its body.
func readChunks(t *testing.T, r *bufio.Reader) string {
	t.Helper()
	for {
		line, err := r.ReadString('\n')
		if err != nil {
			t.Fatal(err)
		}
		if line == "\r\n" {
			break
		}
	}
	var body strings.Builder
	for {
		var n int
		line, err := r.ReadString('\n')
		if err != nil {
			t.Fatalf("after %d bytes: %v", body.Len(), err)
		}
		if _, err := fmt.Sscanf(line, "%x", &n); err != nil {
			t.Fatal(err)
		}
		chunk := make([]byte, n+2)
		if _, err := io.ReadFull(r, chunk); err != nil {
			t.Fatalf("after %d bytes: %v", body.Len(), err)
		}
		if n == 0 {
			return body.String()
		}
		body.Write(chunk[:n])
	}
}

// TestDrainSparesLongStreams guards against a planned stop that cuts the last response of a
// connection while it is streamed, alone and with a further request behind it.
func TestDrainSparesLongStreams(t *testing.T) {
	for _, behind := range []string{"", get("/behind")} {
		t.Run("behind: "+behind, func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			const parts = 8
			s := &Server{Handler: func(x *Exchange) {
				x.Response.SetBodyStream(&slowStream{x.Context(), parts, longWork / parts}, -1)
			}}
			address := start(t, s)
			s.Drain()
			conn := dial(t, address, get("/"))
			time.Sleep(longWork / parts * 2) // The response has begun.
			_, err := io.WriteString(conn, behind)
			is.NoErr(err)
			is.Equal(readChunks(t, bufio.NewReader(conn)), strings.Repeat("part", parts))
		})
	}
}
