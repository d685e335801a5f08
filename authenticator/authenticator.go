// Package authenticator generates callers' keys and extracts them from requests.
package authenticator

import (
	"crypto/rand"
	"encoding/base64"
	"net/http"
	"strings"
)

const (
	keyPrefix   = "ck_"
	randomBytes = 24
	// maxKeyBytes bounds the length of a key; a longer one counts as missing.
	maxKeyBytes = 256
)

// NewKey returns a new random key.
func NewKey() string {
	raw := make([]byte, randomBytes)
	_, _ = rand.Read(raw) // never fails
	return keyPrefix + base64.RawURLEncoding.EncodeToString(raw)
}

// ExtractKey removes the caller's key from the headers and returns it.
func ExtractKey(h http.Header) string {
	value := h.Get("Authorization")
	h.Del("Authorization")
	scheme, key, ok := strings.Cut(value, " ")
	if !ok || !strings.EqualFold(scheme, "Bearer") || len(key) > maxKeyBytes {
		return ""
	}
	return strings.TrimSpace(key)
}
