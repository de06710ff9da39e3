package parser

import (
	"github.com/hornbeamrack/hornbeamrack/common/decoder"
	"github.com/hornbeamrack/hornbeamrack/common/encoder"
)

// encodedPrefix starts a section that is encoded as CBOR. No valid YAML text
// starts with it.
var encodedPrefix = []byte("\x00cbor\x00")

// Encode returns a section encoded as CBOR. The caller must have validated it:
// Parse does not check it, and only the merged document is validated again.
func Encode(c Content) ([]byte, error) {
	b, err := encoder.Marshal(c)
	if err != nil {
		return nil, err
	}
	return append(append([]byte(nil), encodedPrefix...), b...), nil
}

// decodeEncoded decodes the CBOR of a section; body is the section with its prefix,
// for errors.
func decodeEncoded(section string, body, encoded []byte) (Content, error) {
	var c Content
	if err := encoder.Unmarshal(encoded, &c); err != nil {
		return Content{}, decoder.ErrorAt(section, body, "$", "the encoded section cannot be read: %v", err).
			WithHint("send the section again")
	}
	return c, nil
}
