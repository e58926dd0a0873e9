// Package canon words values as CBOR in the one form that alike values share (RFC 8949, 4.2), so that states can be compared by
// their bytes, and reads them within bounds.
package canon

import (
	"errors"
	"fmt"

	"github.com/fxamacker/cbor/v2"
)

// ErrUnreadable tells that bytes are not what they should be.
var ErrUnreadable = errors.New("can't be read")

var (
	encoding, _ = cbor.CoreDetEncOptions().EncMode()
	decoding, _ = cbor.DecOptions{DupMapKey: cbor.DupMapKeyEnforcedAPF, MaxArrayElements: 1 << 17, MaxMapPairs: 1 << 17,
		MaxNestedLevels: 8, IndefLength: cbor.IndefLengthForbidden, TagsMd: cbor.TagsForbidden}.DecMode()
)

// Encode words one of the program's own types.
func Encode(v any) []byte {
	b, err := encoding.Marshal(v)
	if err != nil {
		panic(err)
	}
	return b
}

// Decode reads one; what was read of bytes that are no such value must not be used.
func Decode(b []byte, v any) error {
	if err := decoding.Unmarshal(b, v); err != nil {
		return fmt.Errorf("%w: %v", ErrUnreadable, err)
	}
	return nil
}
