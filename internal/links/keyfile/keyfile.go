// Package keyfile reads and writes the key file for signed links. A file is used as a whole or not at all. A file that other
// users of the machine can access is refused. Errors never contain secrets.
package keyfile

import (
	"crypto/ecdsa"
	"crypto/ed25519"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/x509"
	"encoding/base64"
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"strings"

	"poppymill/internal/links"
	"poppymill/internal/operator"
)

// File is the content of a key file.
type File struct {
	Keys          []links.Key
	AddressSecret []byte // encrypts client addresses in tokens (address_secret); nil: none
}

// Read reads and validates a key file.
func Read(path string) (*File, *links.KeySet, error) {
	info, err := os.Stat(path)
	if err != nil {
		return nil, nil, err
	}
	if info.Mode().Perm()&0o077 != 0 {
		return nil, nil, fmt.Errorf("%s: accessible to users other than its owner (%v): chmod 600", path, info.Mode().Perm())
	}
	text, err := operator.ReadFile(path)
	if err != nil {
		return nil, nil, err
	}
	f, err := parse(text, path)
	if err != nil {
		return nil, nil, err
	}
	keySet, err := links.NewKeySet(f.Keys, f.AddressSecret)
	if err != nil {
		return nil, nil, fmt.Errorf("%s: %w", path, err)
	}
	return f, keySet, nil
}

// parse parses the HCL of a key file. It does not validate the keys as a set.
func parse(text []byte, path string) (*File, error) {
	f := &File{}
	var version int
	var secret string
	err := operator.Parse(text, path, operator.RequiredAttr("version", operator.Int(&version, 1, 1)),
		operator.Attr("address_secret", operator.String(&secret)),
		operator.Block("key", []string{"id"}, func(labels []string, _ int) ([]operator.Field, error) {
			k := links.Key{ID: labels[0]}
			var state, private, public, shared string
			return []operator.Field{operator.RequiredAttr("issuer", operator.String(&k.Issuer)),
				operator.RequiredAttr("algorithm", operator.OneOf(&k.Algorithm, "ES256", "EdDSA", "HS256")),
				operator.RequiredAttr("state", operator.OneOf(&state, "upcoming", "signing", "verifying", "retired", "withdrawn")),
				operator.Attr("private", operator.String(&private)), operator.Attr("public", operator.String(&public)),
				operator.Attr("secret", operator.String(&shared)), operator.Check(func() (err error) {
					if k.State, err = links.ParseState(state); err == nil {
						err = parseMaterial(&k, private, public, shared)
					}
					f.Keys = append(f.Keys, k)
					return err
				})}, nil
		}))
	if err == nil && secret != "" {
		if f.AddressSecret, err = base64.StdEncoding.DecodeString(secret); err != nil {
			err = fmt.Errorf("%s: address_secret: is no base64", path)
		}
	}
	return f, err
}

// parseMaterial decodes the key material: base64 of PKCS #8 (private) or PKIX (public) in DER, or of the bytes of a secret.
func parseMaterial(k *links.Key, private, public, shared string) error {
	if (k.Algorithm == "HS256") != (shared != "") || shared != "" && private+public != "" {
		return errors.New("HS256 takes only secret; other algorithms take private or public")
	}
	if shared != "" {
		raw, err := base64.StdEncoding.DecodeString(shared)
		if err != nil {
			return errors.New("secret: is no base64")
		}
		k.Private, k.Public = raw, raw
		return nil
	}
	if private != "" {
		raw, err := base64.StdEncoding.DecodeString(private)
		if err != nil {
			return errors.New("private: is no base64")
		}
		parsed, err := x509.ParsePKCS8PrivateKey(raw)
		switch p := parsed.(type) {
		case *ecdsa.PrivateKey:
			k.Private, k.Public = p, &p.PublicKey
		case ed25519.PrivateKey:
			k.Private, k.Public = p, p.Public()
		default:
			return fmt.Errorf("private: unsupported key (%T)", err)
		}
	}
	if public != "" {
		raw, err := base64.StdEncoding.DecodeString(public)
		if err != nil {
			return errors.New("public: is no base64")
		}
		parsed, err := x509.ParsePKIXPublicKey(raw)
		if err != nil {
			return errors.New("public: unsupported key")
		}
		k.Public = parsed // links.NewRing checks that it matches the private key
	}
	if k.Public == nil {
		return errors.New("neither private nor public")
	}
	return nil
}

// GenerateKey generates a key for an algorithm.
func GenerateKey(id, issuer, algorithm string, state links.State) (k links.Key, err error) {
	k = links.Key{ID: id, Issuer: issuer, Algorithm: algorithm, State: state}
	switch algorithm {
	case "ES256":
		p, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
		if err != nil {
			return k, err
		}
		k.Private, k.Public = p, &p.PublicKey
	case "EdDSA":
		pub, p, err := ed25519.GenerateKey(rand.Reader)
		if err != nil {
			return k, err
		}
		k.Private, k.Public = p, pub
	case "HS256":
		secret := make([]byte, 32)
		rand.Read(secret)
		k.Private, k.Public = secret, secret
	default:
		return k, fmt.Errorf("algorithm %q is not one of ES256, EdDSA, HS256", algorithm)
	}
	return k, nil
}

// Write replaces a key file atomically, and syncs it before the rename: after a crash either the old or the new file is there.
// Invalid keys are not written.
func Write(path string, f *File) error {
	if _, err := links.NewKeySet(f.Keys, f.AddressSecret); err != nil {
		return err
	}
	var b strings.Builder
	b.WriteString("# Keys of signed links. Whoever reads this can issue them.\nversion = 1\n")
	if f.AddressSecret != nil {
		fmt.Fprintf(&b, "address_secret = %q\n", base64.StdEncoding.EncodeToString(f.AddressSecret))
	}
	for _, k := range f.Keys {
		fmt.Fprintf(&b, "\nkey %q {\n  issuer    = %q\n  algorithm = %q\n  state     = %q\n", k.ID, k.Issuer, k.Algorithm, k.State)
		if err := writeMaterial(&b, k); err != nil {
			return fmt.Errorf("key %q: %w", k.ID, err)
		}
		b.WriteString("}\n")
	}
	return replaceFile(path, []byte(b.String()))
}

// writeMaterial writes the attribute that holds the key material.
func writeMaterial(b *strings.Builder, k links.Key) error {
	name, raw, err := "", []byte(nil), error(nil)
	switch {
	case k.Algorithm == "HS256":
		name, raw = "secret", k.Public.([]byte)
	case k.Private != nil:
		name = "private"
		raw, err = x509.MarshalPKCS8PrivateKey(k.Private)
	default:
		name = "public"
		raw, err = x509.MarshalPKIXPublicKey(k.Public)
	}
	if err == nil {
		fmt.Fprintf(b, "  %-9s = %q\n", name, base64.StdEncoding.EncodeToString(raw))
	}
	return err
}

// replaceFile writes a temporary file, syncs it and renames it to path.
func replaceFile(path string, text []byte) (err error) {
	f, err := os.CreateTemp(filepath.Dir(path), ".keys-*")
	if err != nil {
		return err
	}
	defer func() {
		if err != nil {
			err = errors.Join(err, os.Remove(f.Name()))
		}
	}()
	if _, err = f.Write(text); err == nil {
		err = f.Sync()
	}
	if err = errors.Join(err, f.Close()); err != nil {
		return err
	}
	if err = os.Rename(f.Name(), path); err != nil {
		return err
	}
	dir, err := os.Open(filepath.Dir(path))
	if err != nil {
		return nil // the file is replaced; the directory cannot be opened to sync the rename
	}
	defer dir.Close()
	dir.Sync()
	return nil
}

// Rotate makes the first upcoming key the signing key. The previous one becomes verifying, so that its tokens stay valid until
// they expire.
func (f *File) Rotate() error {
	for i := range f.Keys {
		if f.Keys[i].State != links.Upcoming {
			continue
		}
		for j := range f.Keys {
			if f.Keys[j].State == links.Signing {
				f.Keys[j].State = links.Verifying
			}
		}
		f.Keys[i].State = links.Signing
		return nil
	}
	return errors.New("keys: there is no upcoming key; add one first, and wait until all gateways have loaded it")
}

// SetState sets the state of a key.
func (f *File) SetState(id string, s links.State) error {
	for i := range f.Keys {
		if f.Keys[i].ID == id {
			f.Keys[i].State = s
			return nil
		}
	}
	return fmt.Errorf("key %q: does not exist", id)
}
