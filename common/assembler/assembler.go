// Package assembler reads bodies whose length is not known in advance into memory that is
// bounded over all of them.
//
// A body is read into blocks of a pool, and copied into one piece only when it is complete.
// What a body occupies is therefore what it has taken from the pool, and the blocks of a
// body that is given up are used again at once: a buffer that is enlarged by copying
// occupies up to three times the bytes in it, and one that is given up stays until the
// garbage collector has run.
//
// # Usage
//
//	pool := &assembler.Pool{MaxBytes: 32 << 20, ReservedBytes: 8 << 20}
//	b := assembler.Body{Pool: pool, MaxBytes: 16 << 20, SmallBytes: 1 << 20}
//	defer b.Release()
//	err := b.ReadAll(r)
//	content := b.Bytes()
package assembler

import (
	"errors"
	"fmt"
	"io"
	"sync"
)

// BlockBytes is the size of one block.
const BlockBytes = 16 << 10

// Kind is the reason why a body was not read.
type Kind string

// The kinds of errors.
const (
	KindTooLarge Kind = "tooLarge" // KindTooLarge means that the body has more than MaxBytes.
	KindNoSpace  Kind = "noSpace"  // KindNoSpace means that the pool has no block for it.
	KindRead     Kind = "read"     // KindRead means that the source returned an error.
)

// Error is the only error type of this package.
type Error struct {
	Op   string
	Kind Kind
	Err  error
}

// Error implements error.
func (e *Error) Error() string { return fmt.Sprintf("assembler: %s: %s: %v", e.Op, e.Kind, e.Err) }

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Err }

// IsKind reports whether err is an Error of the given kind.
func IsKind(err error, kind Kind) bool {
	var e *Error
	return errors.As(err, &e) && e.Kind == kind
}

// Pool bounds the memory of the bodies that are being read, and holds their blocks. Exported
// fields are set before the first use. It is safe for concurrent use.
type Pool struct {
	MaxBytes      int // MaxBytes bounds the size of all blocks and reservations.
	ReservedBytes int // ReservedBytes is the part of MaxBytes that only small bodies may take.

	mu   sync.Mutex
	free [][]byte
	used int // used is the size of all blocks that are taken and of all reservations.
}

// UsedBytes returns the size of the blocks that are taken and of the reservations.
func (p *Pool) UsedBytes() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.used
}

// Reserve reserves memory for a body of n bytes that is held in one piece, and reports
// whether there is as much. A body that is larger than MaxBytes is allowed alone.
func (p *Pool) Reserve(n int, small bool) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if !p.add(n, small) && !p.addAlone(n) {
		return false
	}
	p.trimFree()
	return true
}

// trimFree gives up free blocks that are beyond MaxBytes together with what is in use. p.mu
// is held.
func (p *Pool) trimFree() {
	room := max(0, (p.MaxBytes-p.used)/BlockBytes)
	if room < len(p.free) {
		clear(p.free[room:])
		p.free = p.free[:room]
	}
}

// Return ends a reservation of n bytes.
func (p *Pool) Return(n int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.used -= n
}

// add adds n bytes to those in use if the bounds allow it. p.mu is held.
func (p *Pool) add(n int, small bool) bool {
	limit := p.MaxBytes
	if !small {
		limit -= p.ReservedBytes
	}
	if p.used+n > limit {
		return false
	}
	p.used += n
	return true
}

// addAlone adds n bytes if nothing else is in use. p.mu is held.
func (p *Pool) addAlone(n int) bool {
	if p.used > 0 {
		return false
	}
	p.used = n
	return true
}

// take returns a block, false if there is none for a body of this kind.
func (p *Pool) take(small bool) ([]byte, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if !p.add(BlockBytes, small) {
		return nil, false
	}
	if n := len(p.free); n > 0 {
		block := p.free[n-1]
		p.free = p.free[:n-1]
		return block, true
	}
	return make([]byte, BlockBytes), true
}

// give puts blocks back.
func (p *Pool) give(blocks [][]byte) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.used -= len(blocks) * BlockBytes
	p.free = append(p.free, blocks...)
}

// Body is one body. Exported fields are set before ReadAll. It is used by one goroutine.
type Body struct {
	Pool       *Pool
	MaxBytes   int // MaxBytes bounds the length of the body.
	SmallBytes int // SmallBytes is the length up to which the body may take the reserved blocks.

	blocks [][]byte
	length int
}

// ReadAll reads r to its end. It returns an *Error.
func (b *Body) ReadAll(r io.Reader) error {
	for {
		space, err := b.space()
		if err != nil {
			return err
		}
		n, err := r.Read(space)
		b.length += n
		switch {
		case b.length > b.MaxBytes:
			return &Error{"read", KindTooLarge, fmt.Errorf("the body has more than %d bytes", b.MaxBytes)}
		case err == io.EOF: // An error that wraps it means that something else ended.
			return nil
		case err != nil:
			return &Error{"read", KindRead, err}
		}
	}
}

// space returns the free part of the last block, which is a new one if that is full.
func (b *Body) space() ([]byte, error) {
	if b.length == len(b.blocks)*BlockBytes {
		block, ok := b.Pool.take(b.length < b.SmallBytes)
		if !ok {
			return nil, &Error{"read", KindNoSpace, fmt.Errorf("no memory is left for a body of more than %d bytes", b.length)}
		}
		b.blocks = append(b.blocks, block)
	}
	return b.blocks[len(b.blocks)-1][b.length%BlockBytes:], nil
}

// Len returns the length of the body.
func (b *Body) Len() int { return b.length }

// Bytes returns the body in one piece, which later calls of Release do not affect.
func (b *Body) Bytes() []byte {
	out := make([]byte, 0, b.length)
	for _, block := range b.blocks {
		out = append(out, block[:min(BlockBytes, b.length-len(out))]...)
	}
	return out
}

// Release puts the blocks of the body back into the pool. The body is empty afterwards.
func (b *Body) Release() {
	b.Pool.give(b.blocks)
	b.blocks, b.length = nil, 0
}
