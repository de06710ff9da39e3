// Package claimer ensures that a request with an idempotency key runs at most
// once.
//
// Before a node forwards such a request to a target, it claims the key. The claim
// is granted after a quorum of the control hosts has synced it to disk. A second
// claim of the same key, through any node, is not granted. Once the request has
// run, its response is stored with the claim, which is then settled; later claims
// of the key return that response. A claim is released if its request provably
// reached no target.
//
// Registry is the replicated state. It has a Raft group of its own, separate from
// the group of the configuration, so that neither can delay the other.
//
// # Usage
//
//	r := &claimer.Registry{}             // on control hosts, under a replicator.Group
//	result, err := provider.Do(ctx, cmd) // on nodes, through a Provider
//
// A claim is stored until it expires; then its key is deleted. A full registry
// grants no further claims: it never deletes a claim before it expires.
package claimer

import (
	"bytes"
	"container/list"
	"context"
	"fmt"
	"strings"
	"sync"
	"time"
	"unicode/utf8"

	"github.com/pkg/errors"

	"github.com/hornbeamrack/hornbeamrack/common/asserter"
	"github.com/hornbeamrack/hornbeamrack/common/encoder"
)

const (
	// DefaultLifetime is how long a key is stored unless another lifetime is configured.
	DefaultLifetime = 24 * time.Hour
	// MaxLifetime is the longest time for which a key is stored.
	MaxLifetime = 366 * 24 * time.Hour
	// DefaultMaxClaims bounds the number of keys stored in a Registry without MaxClaims.
	DefaultMaxClaims = 1_000_000
	// MaxStoredBodyBytes bounds the body of a response that is stored for retries.
	// Of a response with a longer body only the status is stored.
	MaxStoredBodyBytes = 16 << 10
	// maxStoredBytes bounds the body and the content type of a response in a command.
	maxStoredBytes = 2 * MaxStoredBodyBytes
	// MaxKeyBytes bounds the length of an idempotency key in bytes; a longer one is rejected.
	MaxKeyBytes = 128
	// maxNameBytes bounds the name of the service and the id of the attempt in a command.
	maxNameBytes = 4 << 10
)

// Kind classifies the errors of this package.
type Kind string

// The kinds of claim errors.
const (
	KindCorrupt Kind = "damaged" // KindCorrupt means that a command or a snapshot cannot be decoded or encoded.
	KindTooLong Kind = "tooLong" // KindTooLong means that a key, or a name in a command, is too long to be stored.
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

// Verdict is the result of a command on a claim.
type Verdict string

// The verdicts on a claim.
const (
	VerdictGranted  Verdict = "granted"  // VerdictGranted means that the request may run.
	VerdictHeld     Verdict = "held"     // VerdictHeld means that another attempt holds or held the claim; its outcome is unknown.
	VerdictSettled  Verdict = "settled"  // VerdictSettled means that the request ran and its response is stored.
	VerdictMismatch Verdict = "mismatch" // VerdictMismatch means that the key was used for another request.
	VerdictFull     Verdict = "full"     // VerdictFull means that no further key can be stored.
)

// Response is a stored response of a target, which a retry with the same idempotency
// key gets in place of another run.
type Response struct {
	Status      int    `cbor:"1,keyasint"` // Status is the HTTP status code.
	ContentType string `cbor:"2,keyasint,omitempty"`
	Body        []byte `cbor:"3,keyasint,omitempty"`
	Truncated   bool   `cbor:"4,keyasint,omitempty"` // Truncated means that the body or the content type could not be stored.
}

// NewResponse returns a response in the form in which it is stored, with a copy of the
// body. If the body is too long or the content type cannot be encoded, only the status
// is stored.
func NewResponse(status int, contentType, body []byte) *Response {
	if len(body) > MaxStoredBodyBytes || !utf8.Valid(contentType) {
		return &Response{Status: status, Truncated: true}
	}
	return &Response{Status: status, ContentType: string(contentType), Body: bytes.Clone(body)}
}

// Command is one change of the registry. Nodes leave its times unset: the control
// host that proposes the command sets them, so that a node with a wrong clock
// cannot make a claim expire early.
type Command struct {
	Key         string    `cbor:"1,keyasint"` // Key is the service and the idempotency key, separated by a zero byte.
	Attempt     string    `cbor:"2,keyasint"` // Attempt identifies the one attempt that the claim is for.
	Fingerprint uint64    `cbor:"3,keyasint"` // Fingerprint identifies the request's method, path and body.
	Action      Action    `cbor:"4,keyasint"`
	ProposedAt  time.Time `cbor:"5,keyasint"`           // ProposedAt is set by Stamp.
	ExpiresAt   time.Time `cbor:"6,keyasint,omitempty"` // ExpiresAt is set by Stamp; only ActionClaim has it.
	Response    *Response `cbor:"7,keyasint,omitempty"` // Response is the response to store; only ActionSettle has it.
	// Lifetime is how long the key is to be stored. Stamp computes ExpiresAt from
	// it.
	Lifetime time.Duration `cbor:"8,keyasint,omitempty"`
}

// ValidKey reports whether an idempotency key can be claimed: it must be UTF-8, as
// commands are encoded, and at most MaxKeyBytes long.
func ValidKey(key string) bool { return len(key) <= MaxKeyBytes && utf8.ValidString(key) }

// WithTime returns the command with its times set for a proposal at the time now.
func (c Command) WithTime(now time.Time) Command {
	c.ProposedAt = now
	if c.Action == ActionClaim {
		c.ExpiresAt = now.Add(c.Lifetime)
	}
	return c
}

// checkLengths returns an Error of KindTooLong if the key or a name of the command is
// too long to be stored.
func (c Command) checkLengths() error {
	service, key, _ := strings.Cut(c.Key, "\x00")
	if len(key) > MaxKeyBytes || len(service) > maxNameBytes || len(c.Attempt) > maxNameBytes {
		return &Error{"stamp", KindTooLong, errors.Errorf("key of %d bytes, service of %d, attempt of %d", len(key), len(service), len(c.Attempt))}
	}
	return nil
}

// withBounds returns the command with a lifetime and a response that may be stored. A
// lifetime that is not positive is replaced by DefaultLifetime, since such a claim would
// expire at once and its request could run again.
func (c Command) withBounds() Command {
	if c.Action == ActionClaim && c.Lifetime <= 0 {
		c.Lifetime = DefaultLifetime
	}
	c.Lifetime = min(c.Lifetime, MaxLifetime)
	if c.Response != nil && len(c.Response.Body)+len(c.Response.ContentType) > maxStoredBytes {
		c.Response = &Response{Status: c.Response.Status, Truncated: true}
	}
	return c
}

// Stamp sets the times of an encoded command for a proposal at the time now, limits what
// a node may have set to any value, and returns the command encoded. It returns an Error
// of KindCorrupt if the command cannot be decoded, and of KindTooLong if its key is too
// long.
func Stamp(command []byte, now time.Time) ([]byte, error) {
	var c Command
	if err := encoder.Unmarshal(command, &c); err != nil {
		return nil, &Error{"stamp", KindCorrupt, err}
	}
	if err := c.checkLengths(); err != nil {
		return nil, err
	}
	b, err := encoder.Marshal(c.withBounds().WithTime(now))
	if err != nil {
		return nil, &Error{"stamp", KindCorrupt, err}
	}
	return b, nil
}

// Action selects what a command does: ActionClaim, ActionSettle or ActionRelease.
type Action uint8

// The actions on a claim.
const (
	ActionClaim   Action = iota + 1 // ActionClaim claims a key for an attempt.
	ActionSettle                    // ActionSettle stores the response with the claim of the attempt.
	ActionRelease                   // ActionRelease deletes the claim of an attempt that did not run.
)

// Result is the result of a command: its verdict and, if there is one, the stored
// response. A released claim gives the zero Result.
type Result struct {
	Verdict  Verdict   `cbor:"1,keyasint"`
	Response *Response `cbor:"2,keyasint,omitempty"` // Response is the stored response with VerdictSettled, else nil.
}

// Provider sends commands from a node to the registry.
type Provider interface {
	// Do runs one command and returns its result. After an error the command may or
	// may not have run.
	Do(ctx context.Context, c Command) (Result, error)
}

// claim is one stored key. Response is nil until the claim is settled.
type claim struct {
	Key         string    `cbor:"1,keyasint"`
	Attempt     string    `cbor:"2,keyasint"`
	Fingerprint uint64    `cbor:"3,keyasint"`
	ExpiresAt   time.Time `cbor:"4,keyasint"`
	Response    *Response `cbor:"5,keyasint,omitempty"`
}

// Registry stores all claims in the order in which they were granted. That is also
// the order in which they expire, unless the configured lifetime has changed. It
// implements replicator.Applier and is safe for concurrent use.
type Registry struct {
	MaxClaims int // MaxClaims bounds the number of claims; DefaultMaxClaims when zero.

	mu          sync.Mutex
	byKey       map[string]*list.Element
	oldestFirst list.List
}

// Len returns the number of stored keys, including expired ones not yet deleted.
func (r *Registry) Len() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return len(r.byKey)
}

// Apply runs one encoded command and returns its Result. A command that cannot be
// decoded violates the invariant claimDecodes and gives the zero Result.
func (r *Registry) Apply(index uint64, command []byte) any {
	var c Command
	if err := encoder.Unmarshal(command, &c); err != nil {
		asserter.Check(false, "claimDecodes", "index %d: %v", index, err)
		return Result{}
	}
	return r.ApplyCommand(c)
}

// ApplyCommand runs one decoded command after it has deleted the claims that are
// expired at its ProposedAt. An unknown action gives the zero Result.
func (r *Registry) ApplyCommand(c Command) Result {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.removeExpired(c.ProposedAt)
	switch c.Action {
	case ActionClaim:
		return r.applyClaim(c)
	case ActionSettle:
		return r.applySettle(c)
	case ActionRelease:
		return r.applyRelease(c)
	}
	return Result{}
}

// removeExpired deletes expired claims, from the oldest to the first that has not
// expired.
func (r *Registry) removeExpired(now time.Time) {
	for front := r.oldestFirst.Front(); front != nil; front = r.oldestFirst.Front() {
		c := front.Value.(*claim)
		if now.Before(c.ExpiresAt) {
			return
		}
		r.oldestFirst.Remove(front)
		delete(r.byKey, c.Key)
	}
}

// find returns the claim of a key, nil if there is none.
func (r *Registry) find(key string) *claim {
	e, ok := r.byKey[key]
	if !ok {
		return nil
	}
	return e.Value.(*claim)
}

// applyClaim grants a claim unless the key is claimed already or the registry is
// full. A repeated claim by the same attempt is granted again.
func (r *Registry) applyClaim(c Command) Result {
	old := r.find(c.Key)
	switch {
	case old == nil:
	case old.Fingerprint != c.Fingerprint:
		return Result{Verdict: VerdictMismatch}
	case old.Response != nil:
		return Result{Verdict: VerdictSettled, Response: old.Response}
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

// insert adds a claim as the newest, the last to expire. The lock is held.
func (r *Registry) insert(c *claim) {
	if r.byKey == nil {
		r.byKey = map[string]*list.Element{}
	}
	r.byKey[c.Key] = r.oldestFirst.PushBack(c)
}

// applySettle stores the response with a claim. Only the first response is stored;
// repeated commands return it. An attempt that does not hold the claim gets
// VerdictHeld.
func (r *Registry) applySettle(c Command) Result {
	old := r.find(c.Key)
	if old == nil || old.Attempt != c.Attempt {
		return Result{Verdict: VerdictHeld}
	}
	if old.Response == nil {
		next := *old
		next.Response = c.Response
		r.byKey[c.Key].Value = &next
		old = &next
	}
	return Result{Verdict: VerdictSettled, Response: old.Response}
}

// applyRelease deletes a claim whose request reached no target. A settled claim is
// never released; an attempt that does not hold the claim gets the zero Result.
func (r *Registry) applyRelease(c Command) Result {
	old := r.find(c.Key)
	if old == nil || old.Attempt != c.Attempt {
		return Result{}
	}
	if !asserter.Check(old.Response == nil, "settledNeverReleased", "key %q", c.Key) {
		return Result{Verdict: VerdictSettled, Response: old.Response}
	}
	r.oldestFirst.Remove(r.byKey[c.Key])
	delete(r.byKey, c.Key)
	return Result{}
}

// Snapshot returns all claims encoded, oldest first, in the form that Restore reads. It
// returns an error if they cannot be encoded.
func (r *Registry) Snapshot() ([]byte, error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	claims := make([]claim, 0, r.oldestFirst.Len())
	for e := r.oldestFirst.Front(); e != nil; e = e.Next() {
		claims = append(claims, *e.Value.(*claim))
	}
	b, err := encoder.Marshal(claims)
	return b, errors.Wrap(err, "encode claims")
}

// Restore replaces all claims by those of a snapshot. It returns an Error of
// KindCorrupt, and changes nothing, if the snapshot cannot be decoded.
func (r *Registry) Restore(_ uint64, data []byte) error {
	var claims []claim
	if err := encoder.Unmarshal(data, &claims); err != nil {
		return &Error{"restore", KindCorrupt, err}
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.byKey = nil
	r.oldestFirst.Init()
	for i := range claims {
		r.insert(&claims[i])
	}
	return nil
}
