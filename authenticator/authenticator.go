// Package authenticator makes and checks callers' keys. Only hashes are kept.
package authenticator

import (
	"crypto/rand"
	"crypto/sha256"
	"encoding/base64"
	"encoding/hex"
	"net/http"
	"strings"

	"github.com/catkinrun/catkinrun"
)

const (
	secretPrefix = "ck_"
	secretBytes  = 24
	// maxSecret bounds the length of a key that is looked at.
	maxSecret = 256
)

// Issue returns a new secret and its hash.
func Issue() (secret, hash string) {
	raw := make([]byte, secretBytes)
	_, _ = rand.Read(raw) // never fails
	secret = secretPrefix + base64.RawURLEncoding.EncodeToString(raw)
	return secret, Hash(secret)
}

// Hash returns a secret's hash. Secrets are long and random, so a plain hash keeps them.
func Hash(secret string) string {
	sum := sha256.Sum256([]byte(secret))
	return hex.EncodeToString(sum[:])
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

// Check returns the key that a secret belongs to, unless it is withdrawn.
func Check(s *catkinrun.Snapshot, secret string) (catkinrun.Resource, bool) {
	if secret == "" {
		return catkinrun.Resource{}, false
	}
	key, ok := s.KeyByHash(Hash(secret))
	return key, ok && !key.Key.Withdrawn
}

// Valid reports whether a key that was checked before still stands for its team.
func Valid(s *catkinrun.Snapshot, keyID, team string) bool {
	key, ok := s.Get(catkinrun.KindKey, keyID)
	return ok && !key.Key.Withdrawn && key.Key.Team == team
}
