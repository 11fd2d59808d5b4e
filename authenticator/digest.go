package authenticator

import (
	"crypto/sha256"
	"crypto/subtle"
	"encoding/hex"
)

type (
	// Digest is the SHA-256 digest of a key. The zero value is that of no key.
	Digest [sha256.Size]byte
)

const (
	// MaxKeyBytes is the length of the longest key that is looked up, in bytes, from
	// docs/design/tenants.md. It bounds the cost of a check whatever a caller sends.
	MaxKeyBytes = 256
	// loggedBytes is how much of a digest is logged: 8 hexadecimal digits tell the keys of a
	// deployment apart and reveal none of them.
	loggedBytes = 4
)

// DigestOf returns the digest of a key. It reports false for a key that no tenant can have: an
// empty one, or one longer than MaxKeyBytes.
func DigestOf(key string) (Digest, bool) {
	if key == "" || len(key) > MaxKeyBytes {
		return Digest{}, false
	}
	// A conversion of the string would allocate.
	var b [MaxKeyBytes]byte
	return sha256.Sum256(b[:copy(b[:], key)]), true
}

// ParseDigest returns the digest with a text that Digest.Text returned. It reports false for any
// other text.
func ParseDigest(text string) (Digest, bool) {
	var d Digest
	if len(text) != hex.EncodedLen(len(d)) {
		return Digest{}, false
	}
	if _, err := hex.Decode(d[:], []byte(text)); err != nil {
		return Digest{}, false
	}
	return d, true
}

// Text returns the whole digest in hexadecimal digits.
func (d Digest) Text() string {
	var b [2 * sha256.Size]byte
	hex.Encode(b[:], d[:])
	return string(b[:])
}

// String returns the first 8 hexadecimal digits of the digest, as they are logged.
func (d Digest) String() string { return hex.EncodeToString(d[:loggedBytes]) }

// equal compares two digests in constant time.
func (d Digest) equal(e Digest) bool { return subtle.ConstantTimeCompare(d[:], e[:]) == 1 }
