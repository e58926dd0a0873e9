package links

import (
	"cmp"
	"crypto/ecdsa"
	"crypto/ed25519"
	"errors"
	"fmt"
	"slices"

	"github.com/go-jose/go-jose/v4"
)

// State is where a key stands in its life.
type State int

// The states of a key. It verifies from before it signs until after, so that gateways may take up a new file in any order.
const (
	Upcoming  State = iota // verifies, does not sign yet
	Signing                // signs and verifies
	Verifying              // signs no more
	Retired                // does nothing; its time is over
	Withdrawn              // does nothing: it leaked
)

var states = []string{"upcoming", "signing", "verifying", "retired", "withdrawn"}

func (s State) String() string { return states[s] }

// ParseState reads a state's name.
func ParseState(s string) (State, error) {
	if i := slices.Index(states, s); i >= 0 {
		return State(i), nil
	}
	return 0, fmt.Errorf("%q is no state of a key", s)
}

// Key is one key. Its algorithm is its own: never what a token says.
type Key struct {
	ID, Issuer string
	Algorithm  string // ES256, EdDSA or HS256
	State      State
	Private    any // *ecdsa.PrivateKey, ed25519.PrivateKey or []byte; nil: it can't sign
	Public     any // *ecdsa.PublicKey, ed25519.PublicKey or []byte
}

// String never shows what is secret, whoever prints a key.
func (k Key) String() string { return fmt.Sprintf("%s (%s, %s)", k.ID, k.Algorithm, k.State) }

// GoString is the same for %#v.
func (k Key) GoString() string { return k.String() }

const (
	mostKeys    = 64
	leastSecret = 32 // bytes of a secret of HS256 (RFC 7518, section 3.2)
)

// Ring is a set of keys, taken whole.
type Ring struct {
	keys    map[string]*Key
	signing *Key
	box     []byte // what encrypts cdniip, A256GCM; nil: none can be read
}

// NewRing checks keys together. The error names the key and what is wrong with it.
func NewRing(keys []Key, box []byte) (*Ring, error) {
	if len(keys) == 0 || len(keys) > mostKeys {
		return nil, fmt.Errorf("keys: %d, from 1 to %d", len(keys), mostKeys)
	}
	if len(box) != 0 && len(box) != 32 {
		return nil, fmt.Errorf("address_secret: %d bytes in place of 32", len(box))
	}
	r := &Ring{keys: map[string]*Key{}, box: box}
	for _, k := range keys {
		if err := k.check(); err != nil {
			return nil, fmt.Errorf("key %q: %w", k.ID, err)
		}
		if r.keys[k.ID] != nil {
			return nil, fmt.Errorf("key %q: stands twice", k.ID)
		}
		r.keys[k.ID] = &k
		if k.State == Signing {
			if r.signing != nil {
				return nil, fmt.Errorf("key %q: %s signs already", k.ID, r.signing.ID)
			}
			r.signing = &k
		}
	}
	return r, nil
}

func (k *Key) check() error {
	ok := false
	switch k.Algorithm {
	case "ES256":
		pub, is := k.Public.(*ecdsa.PublicKey)
		priv, signs := k.Private.(*ecdsa.PrivateKey)
		ok = is && pub.Curve.Params().BitSize == 256 && (k.Private == nil || signs && priv.PublicKey.Equal(pub))
	case "EdDSA":
		pub, is := k.Public.(ed25519.PublicKey)
		priv, signs := k.Private.(ed25519.PrivateKey)
		ok = is && len(pub) == ed25519.PublicKeySize && (k.Private == nil || signs && pub.Equal(priv.Public()))
	case "HS256":
		secret, is := k.Public.([]byte)
		if ok = is; ok && len(secret) < leastSecret {
			return fmt.Errorf("a secret of %d bytes, %d at least", len(secret), leastSecret)
		}
	default:
		return fmt.Errorf("algorithm %q is none of ES256, EdDSA, HS256", k.Algorithm)
	}
	switch {
	case !ok:
		return fmt.Errorf("what it holds is no key for %s, or its halves don't belong together", k.Algorithm)
	case k.ID == "" || len(k.ID) > 64:
		return errors.New("its id is empty or over 64 characters")
	case k.Issuer == "":
		return errors.New("issuer: empty")
	case k.State == Signing && k.Private == nil:
		return errors.New("it is to sign and has no private half")
	}
	return nil
}

// verifies tells whether what a key signed counts.
func (k *Key) verifies() bool { return k.State <= Verifying }

// Names lists the keys, by id.
func (r *Ring) Names() (all []string) {
	for _, k := range r.keys {
		all = append(all, k.String())
	}
	slices.SortFunc(all, cmp.Compare)
	return all
}

// Signs names the key that signs; empty where none does.
func (r *Ring) Signs() string {
	if r.signing == nil {
		return ""
	}
	return r.signing.ID
}

// verify checks the signature of a token whose form was checked before, by the key's algorithm alone.
func (k *Key) verify(token string) error {
	s, err := jose.ParseSigned(token, []jose.SignatureAlgorithm{jose.SignatureAlgorithm(k.Algorithm)})
	if err != nil {
		return err
	}
	_, err = s.Verify(k.Public)
	return err
}

// Sign issues a token with the key that signs.
func (r *Ring) Sign(c Claims) (string, error) {
	k := r.signing
	if k == nil {
		return "", errors.New("no key signs")
	}
	if c.Issuer == "" {
		c.Issuer = k.Issuer
	}
	var private any = k.Private
	s, err := jose.NewSigner(jose.SigningKey{Algorithm: jose.SignatureAlgorithm(k.Algorithm), Key: private},
		(&jose.SignerOptions{}).WithType("JWT").WithHeader("kid", k.ID))
	if err != nil {
		return "", fmt.Errorf("key %q: %w", k.ID, err)
	}
	signed, err := s.Sign(c.encode())
	if err != nil {
		return "", fmt.Errorf("key %q: %w", k.ID, err)
	}
	return signed.CompactSerialize()
}

// SealAddress encrypts an address or prefix for cdniip (RFC 9246, section 2.1.10: a JWE in compact form).
func (r *Ring) SealAddress(prefix string) (string, error) {
	if r.box == nil {
		return "", errors.New("address_secret: none")
	}
	e, err := jose.NewEncrypter(jose.A256GCM, jose.Recipient{Algorithm: jose.DIRECT, Key: r.box}, nil)
	if err != nil {
		return "", err
	}
	sealed, err := e.Encrypt([]byte(prefix))
	if err != nil {
		return "", err
	}
	return sealed.CompactSerialize()
}

func (r *Ring) openAddress(sealed string) (string, error) {
	if r.box == nil {
		return "", errors.New("no address can be read here")
	}
	e, err := jose.ParseEncryptedCompact(sealed, []jose.KeyAlgorithm{jose.DIRECT}, []jose.ContentEncryption{jose.A256GCM})
	if err != nil {
		return "", err
	}
	text, err := e.Decrypt(r.box)
	return string(text), err
}
