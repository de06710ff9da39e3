package parser

import (
	"github.com/hornbeamrack/hornbeamrack/common/decoder"
	"github.com/hornbeamrack/hornbeamrack/common/encoder"
)

// encodedMark opens a section that is written as CBOR. No YAML text begins so.
var encodedMark = []byte("\x00cbor\x00")

// Encode writes a section as CBOR. Its writer has checked it: Parse takes it
// as it is, and only the merged document is checked again.
func Encode(c Content) ([]byte, error) {
	b, err := encoder.Marshal(c)
	if err != nil {
		return nil, err
	}
	return append(append([]byte(nil), encodedMark...), b...), nil
}

func decode(section string, body, encoded []byte) (Content, error) {
	var c Content
	if err := encoder.Unmarshal(encoded, &c); err != nil {
		return Content{}, decoder.ErrorAt(section, body, "$", "the encoded section cannot be read: %v", err).
			WithHint("send the section again")
	}
	return c, nil
}
