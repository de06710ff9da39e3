// Package encoder encodes values as deterministic CBOR for replicated logs,
// snapshots and digests. Map keys are sorted and times are written in UTC with
// nanosecond precision, so that equal values have equal bytes on every host.
//
// # Usage
//
//	b, err := encoder.Marshal(v)
//	err = encoder.Unmarshal(b, &v)
package encoder

import "github.com/fxamacker/cbor/v2"

const (
	maxElements      = 1 << 24
	maxNestingLevels = 32
)

var (
	encMode cbor.EncMode
	decMode cbor.DecMode
)

func init() {
	var err error
	enc := cbor.CoreDetEncOptions()
	enc.Time = cbor.TimeRFC3339NanoUTC
	if encMode, err = enc.EncMode(); err != nil {
		panic(err)
	}
	dec := cbor.DecOptions{MaxArrayElements: maxElements, MaxMapPairs: maxElements, MaxNestedLevels: maxNestingLevels}
	if decMode, err = dec.DecMode(); err != nil {
		panic(err)
	}
}

// Marshal returns the deterministic CBOR encoding of v. It fails for types that
// CBOR cannot represent.
func Marshal(v any) ([]byte, error) { return encMode.Marshal(v) }

// Unmarshal decodes b into v, which must be a pointer. It fails if b is not valid
// CBOR, does not fit v, or exceeds the limits on elements and nesting levels.
func Unmarshal(b []byte, v any) error { return decMode.Unmarshal(b, v) }
