// Package encoder fixes how values are written as CBOR in logs, snapshots and
// digests: sorted, with times to the nanosecond in UTC, so that equal values
// have equal bytes on every host.
//
// # Usage
//
//	b, err := encoder.Marshal(v)
//	err = encoder.Unmarshal(b, &v)
package encoder

import "github.com/fxamacker/cbor/v2"

const (
	maxElements = 1 << 24
	maxLevels   = 32
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
	dec := cbor.DecOptions{MaxArrayElements: maxElements, MaxMapPairs: maxElements, MaxNestedLevels: maxLevels}
	if decMode, err = dec.DecMode(); err != nil {
		panic(err)
	}
}

// Marshal writes v.
func Marshal(v any) ([]byte, error) { return encMode.Marshal(v) }

// Unmarshal reads b into v, a pointer.
func Unmarshal(b []byte, v any) error { return decMode.Unmarshal(b, v) }
