package catkinrun

import (
	"crypto/sha256"
	"encoding/base64"
	"encoding/binary"
	"strconv"
)

// Fingerprint identifies requests that are the same but for their ID: method, domain, path, query, team and
// body. It is a part of a cryptographic hash, so that nobody can make a request that has the fingerprint of
// another one. 0 is none.
type Fingerprint uint64

// fingerprintBytes is the length of an encoded fingerprint.
const fingerprintBytes = 8

// NewFingerprint returns the fingerprint of a call. Of a body that is streamed only the head counts. The
// stated length does not, since callers may send the same body with a length or in chunks.
func NewFingerprint(c *Call) Fingerprint {
	h := sha256.New()
	for _, part := range []string{c.Method, c.Domain, c.Target, c.Envelope.Team} {
		_, _ = h.Write(binary.AppendUvarint(nil, uint64(len(part)))) // never fails
		_, _ = h.Write([]byte(part))
	}
	_, _ = h.Write(c.Head)
	return Fingerprint(max(1, binary.BigEndian.Uint64(h.Sum(nil))))
}

// String returns the fingerprint in hexadecimal digits, as logs show it.
func (f Fingerprint) String() string { return strconv.FormatUint(uint64(f), 16) }

// Fingerprints is a list that is encoded as one text.
type Fingerprints []Fingerprint

// MarshalText implements encoding.TextMarshaler.
func (f Fingerprints) MarshalText() ([]byte, error) {
	raw := make([]byte, 0, fingerprintBytes*len(f))
	for _, fingerprint := range f {
		raw = binary.BigEndian.AppendUint64(raw, uint64(fingerprint))
	}
	return []byte(base64.RawStdEncoding.EncodeToString(raw)), nil
}

// UnmarshalText implements encoding.TextUnmarshaler. It fails with *InvalidError.
func (f *Fingerprints) UnmarshalText(text []byte) error {
	raw, err := base64.RawStdEncoding.DecodeString(string(text))
	if err != nil || len(raw)%fingerprintBytes != 0 {
		return &InvalidError{Where: "fingerprints", Field: "text", Reason: "expected base64 of 8 bytes each"}
	}
	*f = nil
	for ; len(raw) > 0; raw = raw[fingerprintBytes:] {
		*f = append(*f, Fingerprint(binary.BigEndian.Uint64(raw)))
	}
	return nil
}
