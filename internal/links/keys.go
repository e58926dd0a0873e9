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

// State is the state of a key in its life cycle.
type State int

// The states of a key. A key verifies before, while and after it signs, so that gateways may load a new key file in any order.
const (
	Upcoming  State = iota // verifies; does not sign yet
	Signing                // signs and verifies
	Verifying              // verifies; no longer signs
	Retired                // not in use: its life is over
	Withdrawn              // not in use: it leaked
)

var states = []string{"upcoming", "signing", "verifying", "retired", "withdrawn"}

func (s State) String() string { return states[s] }

// ParseState returns the state with a name.
func ParseState(s string) (State, error) {
	if i := slices.Index(states, s); i >= 0 {
		return State(i), nil
	}
	return 0, fmt.Errorf("%q is not a key state", s)
}

// Key is one key with its algorithm. A token's alg header never selects the algorithm; it must equal the key's.
type Key struct {
	ID, Issuer string
	Algorithm  string // ES256, EdDSA or HS256
	State      State
	Private    any // *ecdsa.PrivateKey, ed25519.PrivateKey or []byte; nil: the key cannot sign
	Public     any // *ecdsa.PublicKey, ed25519.PublicKey or []byte
}

// String identifies the key without its secrets, so that printing or logging a key is safe.
func (k Key) String() string { return fmt.Sprintf("%s (%s, %s)", k.ID, k.Algorithm, k.State) }

// GoString does the same for %#v.
func (k Key) GoString() string { return k.String() }

const (
	maxKeys        = 64
	minSecretBytes = 32 // minimum for HS256 (RFC 7518, section 3.2)
)

// KeySet is a validated set of keys. It is replaced as a whole.
type KeySet struct {
	keys          map[string]*Key
	signing       *Key
	addressSecret []byte // A256GCM key for cdniip; nil: cdniip can be neither issued nor read
}

// NewKeySet validates keys and makes a set of them. The error names the key and what is wrong with it.
func NewKeySet(keys []Key, addressSecret []byte) (*KeySet, error) {
	if len(keys) == 0 || len(keys) > maxKeys {
		return nil, fmt.Errorf("keys: %d, want 1 to %d", len(keys), maxKeys)
	}
	if len(addressSecret) != 0 && len(addressSecret) != 32 {
		return nil, fmt.Errorf("address_secret: %d bytes, want 32", len(addressSecret))
	}
	r := &KeySet{keys: map[string]*Key{}, addressSecret: addressSecret}
	for _, k := range keys {
		if err := k.check(); err != nil {
			return nil, fmt.Errorf("key %q: %w", k.ID, err)
		}
		if r.keys[k.ID] != nil {
			return nil, fmt.Errorf("key %q: duplicate id", k.ID)
		}
		r.keys[k.ID] = &k
		if k.State == Signing {
			if r.signing != nil {
				return nil, fmt.Errorf("key %q: %s is already the signing key", k.ID, r.signing.ID)
			}
			r.signing = &k
		}
	}
	return r, nil
}

// check validates a single key.
func (k *Key) check() error {
	ok := false
	switch k.Algorithm {
	case "ES256":
		pub, publicOK := k.Public.(*ecdsa.PublicKey)
		priv, privateOK := k.Private.(*ecdsa.PrivateKey)
		ok = publicOK && pub.Curve.Params().BitSize == 256 && (k.Private == nil || privateOK && priv.PublicKey.Equal(pub))
	case "EdDSA":
		pub, publicOK := k.Public.(ed25519.PublicKey)
		priv, privateOK := k.Private.(ed25519.PrivateKey)
		ok = publicOK && len(pub) == ed25519.PublicKeySize && (k.Private == nil || privateOK && pub.Equal(priv.Public()))
	case "HS256":
		secret, publicOK := k.Public.([]byte)
		if ok = publicOK; ok && len(secret) < minSecretBytes {
			return fmt.Errorf("secret of %d bytes, want at least %d", len(secret), minSecretBytes)
		}
	default:
		return fmt.Errorf("algorithm %q is not one of ES256, EdDSA, HS256", k.Algorithm)
	}
	switch {
	case !ok:
		return fmt.Errorf("not a key for %s, or the private and public key do not match", k.Algorithm)
	case k.ID == "" || len(k.ID) > 64:
		return errors.New("id is empty or longer than 64 bytes")
	case k.Issuer == "":
		return errors.New("issuer: empty")
	case k.State == Signing && k.Private == nil:
		return errors.New("state is signing, but there is no private key")
	}
	return nil
}

// verifies reports whether signatures of the key are accepted.
func (k *Key) verifies() bool { return k.State <= Verifying }

// Describe returns a description of each key, sorted by id.
func (r *KeySet) Describe() (all []string) {
	for _, k := range r.keys {
		all = append(all, k.String())
	}
	slices.SortFunc(all, cmp.Compare)
	return all
}

// SigningKeyID returns the id of the signing key; empty if there is none.
func (r *KeySet) SigningKeyID() string {
	if r.signing == nil {
		return ""
	}
	return r.signing.ID
}

// verify checks the signature of a token whose form was checked before. Only the key's own algorithm is accepted.
func (k *Key) verify(token string) error {
	s, err := jose.ParseSigned(token, []jose.SignatureAlgorithm{jose.SignatureAlgorithm(k.Algorithm)})
	if err != nil {
		return err
	}
	_, err = s.Verify(k.Public)
	return err
}

// Sign issues a token with the signing key.
func (r *KeySet) Sign(c Claims) (string, error) {
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
func (r *KeySet) SealAddress(prefix string) (string, error) {
	if r.addressSecret == nil {
		return "", errors.New("address_secret: none")
	}
	e, err := jose.NewEncrypter(jose.A256GCM, jose.Recipient{Algorithm: jose.DIRECT, Key: r.addressSecret}, nil)
	if err != nil {
		return "", err
	}
	sealed, err := e.Encrypt([]byte(prefix))
	if err != nil {
		return "", err
	}
	return sealed.CompactSerialize()
}

// decryptAddress decrypts the value of cdniip.
func (r *KeySet) decryptAddress(sealed string) (string, error) {
	if r.addressSecret == nil {
		return "", errors.New("no address can be read here")
	}
	e, err := jose.ParseEncryptedCompact(sealed, []jose.KeyAlgorithm{jose.DIRECT}, []jose.ContentEncryption{jose.A256GCM})
	if err != nil {
		return "", err
	}
	text, err := e.Decrypt(r.addressSecret)
	return string(text), err
}
