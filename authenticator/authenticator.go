// Package authenticator makes callers' keys and takes them out of requests.
package authenticator

import (
	"crypto/rand"
	"encoding/base64"
	"net/http"
	"strings"
)

const (
	secretPrefix = "ck_"
	secretBytes  = 24
	// maxSecret bounds the length of a key that is looked at.
	maxSecret = 256
)

// Issue returns a new key.
func Issue() string {
	raw := make([]byte, secretBytes)
	_, _ = rand.Read(raw) // never fails
	return secretPrefix + base64.RawURLEncoding.EncodeToString(raw)
}

// TakeSecret removes the caller's key from the headers and returns it.
func TakeSecret(h http.Header) string {
	value := h.Get("Authorization")
	h.Del("Authorization")
	scheme, secret, ok := strings.Cut(value, " ")
	if !ok || !strings.EqualFold(scheme, "Bearer") || len(secret) > maxSecret {
		return ""
	}
	return strings.TrimSpace(secret)
}
