// Package claimer makes sure that a request with an idempotency key runs at
// most once.
//
// Before a node hands such a request to a target, it claims the key: the claim
// is synced by a majority of the control hosts before it is granted. A second
// claim of the same key, through any node, is not granted. When the outcome is
// known it is stored with the claim, and later claims return it. A claim whose
// holder knows that the request never reached a target is released.
//
// Register is the replicated state, a group of its own apart from the
// configuration's, so that neither can hold up the other.
//
// # Usage
//
//	r := &claimer.Register{}             // on control hosts, under a replicator.Group
//	claim, err := client.Claim(ctx, ...) // on nodes, through a Provider
//
// A claim is kept until its deadline, after which the key is forgotten. A full
// register grants no further claims; it never forgets a claim early.
package claimer

import (
	"container/list"
	"context"
	"fmt"
	"sync"
	"time"

	"github.com/pkg/errors"

	"github.com/hornbeamrack/hornbeamrack/common/asserter"
	"github.com/hornbeamrack/hornbeamrack/common/encoder"
)

const (
	// DefaultLifetime is how long a key is remembered.
	DefaultLifetime = 24 * time.Hour
	// DefaultMaxClaims bounds the number of keys that are remembered.
	DefaultMaxClaims = 1_000_000
	// MaxStoredBodyBytes bounds the answer stored for resends, in bytes. Of a longer
	// one only the status is stored.
	MaxStoredBodyBytes = 16 << 10
	// MaxKeyBytes bounds the length of an idempotency key.
	MaxKeyBytes = 128
)

// Kind tells why a claim failed.
type Kind string

// The kinds of claim errors.
const (
	KindCorrupt Kind = "damaged"
)

// Error is the only error type of this package.
type Error struct {
	Op   string
	Kind Kind
	Err  error
}

// Error implements error.
func (e *Error) Error() string { return fmt.Sprintf("claimer: %s: %s: %v", e.Op, e.Kind, e.Err) }

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Err }

// Verdict is the answer to a claim.
type Verdict string

// The verdicts on a claim.
const (
	VerdictGranted  Verdict = "granted"  // VerdictGranted lets the request run.
	VerdictHeld     Verdict = "held"     // VerdictHeld means that another attempt has, or had, the claim; its outcome is unknown.
	VerdictSettled  Verdict = "settled"  // VerdictSettled means that the request ran; the answer is stored.
	VerdictMismatch Verdict = "mismatch" // VerdictMismatch means that the key was used for another request.
	VerdictFull     Verdict = "full"     // VerdictFull means that no further key can be remembered.
)

// Response is a target's answer as it is stored.
type Response struct {
	Status      int    `cbor:"1,keyasint"`
	ContentType string `cbor:"2,keyasint,omitempty"`
	Body        []byte `cbor:"3,keyasint,omitempty"`
	Truncated   bool   `cbor:"4,keyasint,omitempty"` // Truncated means that the body was too long to store.
}

// Command is one change of the register. Nodes leave its times out: the control
// host that proposes it stamps them, so that a node with a wrong clock cannot
// make a key be forgotten early.
type Command struct {
	Key         string    `cbor:"1,keyasint"`
	Attempt     string    `cbor:"2,keyasint"` // Attempt identifies the one hand-over that the claim is for.
	Fingerprint uint64    `cbor:"3,keyasint"` // Fingerprint identifies the request's method, path and body.
	Action      Action    `cbor:"4,keyasint"`
	ProposedAt  time.Time `cbor:"5,keyasint"`
	ExpiresAt   time.Time `cbor:"6,keyasint,omitempty"`
	Response    *Response `cbor:"7,keyasint,omitempty"`
	// Lifetime is how long the node wants the key to be remembered; the log
	// holds the deadline that comes of it.
	Lifetime time.Duration `cbor:"8,keyasint,omitempty"`
}

// WithTime returns the command as it is proposed at a moment.
func (c Command) WithTime(now time.Time) Command {
	c.ProposedAt = now
	if c.Action == ActionClaim {
		c.ExpiresAt = now.Add(c.Lifetime)
	}
	return c
}

// Stamp sets the times of an encoded command.
func Stamp(command []byte, now time.Time) ([]byte, error) {
	var c Command
	if err := encoder.Unmarshal(command, &c); err != nil {
		return nil, &Error{"stamp", KindCorrupt, err}
	}
	b, err := encoder.Marshal(c.WithTime(now))
	if err != nil {
		return nil, &Error{"stamp", KindCorrupt, err}
	}
	return b, nil
}

// Action tells what a command does.
type Action uint8

// The actions on a claim.
const (
	ActionClaim Action = iota + 1
	ActionSettle
	ActionRelease
)

// Result is the answer to a command.
type Result struct {
	Verdict  Verdict   `cbor:"1,keyasint"`
	Response *Response `cbor:"2,keyasint,omitempty"`
}

// Provider reaches the register from a node.
type Provider interface {
	// Do runs one command. An error means that it may or may not have run.
	Do(ctx context.Context, c Command) (Result, error)
}

// claim is one remembered key.
type claim struct {
	Key         string    `cbor:"1,keyasint"`
	Attempt     string    `cbor:"2,keyasint"`
	Fingerprint uint64    `cbor:"3,keyasint"`
	ExpiresAt   time.Time `cbor:"4,keyasint"`
	Answer      *Response `cbor:"5,keyasint,omitempty"`
}

// Registry holds all claims in the order in which they were made, which is
// also, but for a changed lifetime, the order of their deadlines. It
// implements replicator.Applier.
type Registry struct {
	MaxClaims int // Max is MaxClaims when zero.

	mu    sync.Mutex
	byKey map[string]*list.Element
	order list.List
}

// Len returns the number of remembered keys.
func (r *Registry) Len() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return len(r.byKey)
}

// Apply runs one command and returns its Result.
func (r *Registry) Apply(index uint64, command []byte) any {
	var c Command
	if err := encoder.Unmarshal(command, &c); err != nil {
		asserter.Check(false, "claimDecodes", "index %d: %v", index, err)
		return Result{}
	}
	return r.ApplyCommand(c)
}

// ApplyCommand runs one decoded command.
func (r *Registry) ApplyCommand(c Command) Result {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.expire(c.ProposedAt)
	switch c.Action {
	case ActionClaim:
		return r.claim(c)
	case ActionSettle:
		return r.settle(c)
	case ActionRelease:
		return r.release(c)
	}
	return Result{}
}

// expire forgets claims whose deadline has passed.
func (r *Registry) expire(now time.Time) {
	for front := r.order.Front(); front != nil; front = r.order.Front() {
		c := front.Value.(*claim)
		if now.Before(c.ExpiresAt) {
			return
		}
		r.order.Remove(front)
		delete(r.byKey, c.Key)
	}
}

func (r *Registry) find(key string) *claim {
	e, ok := r.byKey[key]
	if !ok {
		return nil
	}
	return e.Value.(*claim)
}

func (r *Registry) claim(c Command) Result {
	old := r.find(c.Key)
	switch {
	case old == nil:
	case old.Fingerprint != c.Fingerprint:
		return Result{Verdict: VerdictMismatch}
	case old.Answer != nil:
		return Result{Verdict: VerdictSettled, Response: old.Answer}
	case old.Attempt == c.Attempt:
		return Result{Verdict: VerdictGranted}
	default:
		return Result{Verdict: VerdictHeld}
	}
	limit := r.MaxClaims
	if limit == 0 {
		limit = DefaultMaxClaims
	}
	if len(r.byKey) >= limit {
		return Result{Verdict: VerdictFull}
	}
	r.insert(&claim{Key: c.Key, Attempt: c.Attempt, Fingerprint: c.Fingerprint, ExpiresAt: c.ExpiresAt})
	return Result{Verdict: VerdictGranted}
}

func (r *Registry) insert(c *claim) {
	if r.byKey == nil {
		r.byKey = map[string]*list.Element{}
	}
	r.byKey[c.Key] = r.order.PushBack(c)
}

func (r *Registry) settle(c Command) Result {
	old := r.find(c.Key)
	if old == nil || old.Attempt != c.Attempt {
		return Result{Verdict: VerdictHeld}
	}
	if old.Answer == nil {
		next := *old
		next.Answer = c.Response
		r.byKey[c.Key].Value = &next
		old = &next
	}
	return Result{Verdict: VerdictSettled, Response: old.Answer}
}

// release forgets a claim whose request never reached a target. A settled
// claim is never released.
func (r *Registry) release(c Command) Result {
	old := r.find(c.Key)
	if old == nil || old.Attempt != c.Attempt {
		return Result{}
	}
	if !asserter.Check(old.Answer == nil, "settledNeverReleased", "key %q", c.Key) {
		return Result{Verdict: VerdictSettled, Response: old.Answer}
	}
	r.order.Remove(r.byKey[c.Key])
	delete(r.byKey, c.Key)
	return Result{}
}

// Snapshot returns all claims.
func (r *Registry) Snapshot() ([]byte, error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	claims := make([]claim, 0, r.order.Len())
	for e := r.order.Front(); e != nil; e = e.Next() {
		claims = append(claims, *e.Value.(*claim))
	}
	b, err := encoder.Marshal(claims)
	return b, errors.Wrap(err, "encode claims")
}

// Restore replaces all claims.
func (r *Registry) Restore(_ uint64, data []byte) error {
	var claims []claim
	if err := encoder.Unmarshal(data, &claims); err != nil {
		return &Error{"restore", KindCorrupt, err}
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.byKey = nil
	r.order.Init()
	for i := range claims {
		r.insert(&claims[i])
	}
	return nil
}
