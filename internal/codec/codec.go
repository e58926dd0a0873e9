// Package codec encodes values as CBOR in its deterministic form (RFC 8949, section 4.2): equal values have equal
// encodings, so states can be compared by their bytes. Decoding is limited in size and nesting.
package codec

import (
	"errors"
	"fmt"

	"github.com/fxamacker/cbor/v2"
)

// ErrMalformed reports that bytes can't be decoded as the expected value.
var ErrMalformed = errors.New("can't be read")

var (
	encoding, _ = cbor.CoreDetEncOptions().EncMode()
	decoding, _ = cbor.DecOptions{DupMapKey: cbor.DupMapKeyEnforcedAPF, MaxArrayElements: 1 << 17, MaxMapPairs: 1 << 17,
		MaxNestedLevels: 8, IndefLength: cbor.IndefLengthForbidden, TagsMd: cbor.TagsForbidden}.DecMode()
)

// Encode encodes a value of one of the program's own types. It panics on a type that CBOR can't represent.
func Encode(v any) []byte {
	b, err := encoding.Marshal(v)
	if err != nil {
		panic(err)
	}
	return b
}

// Decode decodes a value into v. After an error v may be partly filled and must not be used.
func Decode(b []byte, v any) error {
	if err := decoding.Unmarshal(b, v); err != nil {
		return fmt.Errorf("%w: %v", ErrMalformed, err)
	}
	return nil
}
