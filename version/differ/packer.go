package differ

import (
	"github.com/klauspost/compress/s2"
	"github.com/pkg/errors"

	"github.com/hornbeamrack/hornbeamrack/common/encoder"
)

// MaxUpdateBytes is the largest size of an unpacked update, in bytes.
const MaxUpdateBytes = 64 << 20

// Pack returns an update encoded and compressed for transfer to nodes.
func Pack(u Update) ([]byte, error) {
	plain, err := encoder.Marshal(u)
	if err != nil {
		return nil, &Error{"pack", KindEncoding, err}
	}
	return s2.Encode(nil, plain), nil
}

// Unpack returns the update that Pack encoded, or an error of KindEncoding when it
// is corrupt or larger than MaxUpdateBytes.
func Unpack(b []byte) (Update, error) {
	n, err := s2.DecodedLen(b)
	if err != nil {
		return Update{}, &Error{"unpack", KindEncoding, err}
	}
	if n > MaxUpdateBytes {
		return Update{}, &Error{"unpack", KindEncoding, errors.Errorf("unpacked update has %d bytes, limit is %d", n, MaxUpdateBytes)}
	}
	plain, err := s2.Decode(nil, b)
	if err != nil {
		return Update{}, &Error{"unpack", KindEncoding, err}
	}
	var u Update
	if err := encoder.Unmarshal(plain, &u); err != nil {
		return Update{}, &Error{"unpack", KindEncoding, err}
	}
	return u, nil
}
