package assembler

import (
	"bytes"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"strings"
	"testing"
	"testing/iotest"

	"github.com/matryer/is"
)

// content returns n bytes that differ.
func content(n int) []byte {
	r := rand.New(rand.NewPCG(1, uint64(n)))
	b := make([]byte, n)
	for i := range b {
		b[i] = byte(r.Uint32())
	}
	return b
}

// TestBodyIsChanged guards against bodies that lose, repeat or mix bytes, at lengths around
// the ends of blocks and with readers that return few bytes or the end along with the last.
func TestBodyIsChanged(t *testing.T) {
	p := &Pool{MaxBytes: 1 << 20}
	for _, n := range []int{0, 1, BlockBytes - 1, BlockBytes, BlockBytes + 1, 3*BlockBytes - 1, 3 * BlockBytes} {
		for name, reader := range map[string]func(io.Reader) io.Reader{"plain": func(r io.Reader) io.Reader { return r }, "half": iotest.HalfReader, "end": iotest.DataErrReader} {
			is := is.New(t)
			want := content(n)
			b := Body{Pool: p, MaxBytes: 3 * BlockBytes, SmallBytes: BlockBytes}
			is.NoErr(b.ReadAll(reader(bytes.NewReader(want)))) // name
			got := b.Bytes()
			b.Release()
			other := Body{Pool: p, MaxBytes: 3 * BlockBytes}
			is.NoErr(other.ReadAll(bytes.NewReader(make([]byte, n)))) // it reuses the blocks
			other.Release()
			is.True(bytes.Equal(got, want))
			is.Equal(p.UsedBytes(), 0)
			_ = name
		}
	}
}

// endless never ends.
type endless struct{}

// Read implements io.Reader.
func (endless) Read(p []byte) (int, error) { return len(p), nil }

// TestEndlessBodiesTakeAllMemory guards against bodies without end that take more than the
// pool has, or the part of it that is reserved for small ones, or keep it when they are
// given up.
func TestEndlessBodiesTakeAllMemory(t *testing.T) {
	is := is.New(t)
	p := &Pool{MaxBytes: 40 * BlockBytes, ReservedBytes: 8 * BlockBytes}
	var held []*Body
	for range 4 {
		b := &Body{Pool: p, MaxBytes: 1 << 30, SmallBytes: 2 * BlockBytes}
		is.True(IsKind(b.ReadAll(endless{}), KindNoSpace))
		held = append(held, b)
		is.True(p.UsedBytes() <= p.MaxBytes)
	}
	small := Body{Pool: p, MaxBytes: 1 << 30, SmallBytes: 2 * BlockBytes}
	is.NoErr(small.ReadAll(bytes.NewReader(content(100))))
	small.Release()
	for _, b := range held {
		b.Release()
	}
	is.Equal(p.UsedBytes(), 0)
	before := len(p.free)
	again := Body{Pool: p, MaxBytes: 10 * BlockBytes}
	is.True(IsKind(again.ReadAll(endless{}), KindTooLarge))
	again.Release()
	is.Equal(len(p.free), before) // no new memory was taken
}

// TestFailedSourceLooksComplete guards against a body that broke off and is taken for a
// complete one.
func TestFailedSourceLooksComplete(t *testing.T) {
	is := is.New(t)
	p := &Pool{MaxBytes: 1 << 20}
	b := Body{Pool: p, MaxBytes: 1 << 20}
	err := b.ReadAll(io.MultiReader(bytes.NewReader(content(100)), iotest.ErrReader(io.ErrUnexpectedEOF)))
	is.True(IsKind(err, KindRead))
	is.True(errors.Is(err, io.ErrUnexpectedEOF))
}

// TestFreeBlocksAreNotCounted guards against a pool that holds the blocks of earlier bodies
// beside as much memory again for a body in one piece.
func TestFreeBlocksAreNotCounted(t *testing.T) {
	is := is.New(t)
	p := &Pool{MaxBytes: 10 * BlockBytes}
	b := Body{Pool: p, MaxBytes: 1 << 30}
	is.True(IsKind(b.ReadAll(endless{}), KindNoSpace))
	b.Release()
	is.Equal(len(p.free), 10)
	is.True(p.Reserve(7*BlockBytes+1, false))
	is.Equal(len(p.free), 2)
	is.True(!p.Reserve(3*BlockBytes, false))
	p.Return(7*BlockBytes + 1)
	is.True(p.Reserve(100*BlockBytes, false)) // a body that is too large is held alone
	is.True(!p.Reserve(1, true))
	is.Equal(len(p.free), 0)
}

// TestWrappedEndIsNoEnd guards against a body that is taken for complete because its reader
// failed at the end of something else: only io.EOF itself ends a body.
func TestWrappedEndIsNoEnd(t *testing.T) {
	is := is.New(t)
	failure := fmt.Errorf("read the trailer: %w", io.EOF)
	body := Body{Pool: &Pool{MaxBytes: 2 * BlockBytes}, MaxBytes: BlockBytes}
	err := body.ReadAll(io.MultiReader(strings.NewReader("part"), iotest.ErrReader(failure)))
	is.True(IsKind(err, KindRead))
	is.True(errors.Is(err, failure))
	body.Release()
}
