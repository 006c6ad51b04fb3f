package console

import (
	"crypto/aes"
	"crypto/cipher"
	"crypto/hmac"
	"crypto/rand"
	"crypto/sha256"
	"encoding/base64"
	"encoding/json"
	"fmt"
	"strings"
	"time"
)

// Purposes of signatures. A signature for one purpose is invalid for the others.
const (
	purposeDraft   = "draft"
	purposeCSRF    = "csrf"
	purposeOutcome = "outcome"
)

const keyBytes = 32

// keys protects the data that browsers hold for the console. The keys are
// generated at start and not stored, so a restart ends all sessions and drafts.
type keys struct {
	mac  []byte
	aead cipher.AEAD
}

func newKeys() (*keys, error) {
	secret := make([]byte, 2*keyBytes)
	_, _ = rand.Read(secret) // documented never to fail
	block, err := aes.NewCipher(secret[keyBytes:])
	if err != nil {
		return nil, fmt.Errorf("draw keys: %w", err)
	}
	aead, err := cipher.NewGCM(block)
	if err != nil {
		return nil, fmt.Errorf("draw keys: %w", err)
	}
	return &keys{mac: secret[:keyBytes], aead: aead}, nil
}

func (k *keys) tag(purpose string, data []byte) []byte {
	mac := hmac.New(sha256.New, k.mac)
	_, _ = mac.Write([]byte(purpose + "\x00"))
	_, _ = mac.Write(data)
	return mac.Sum(nil)
}

// sign returns "<data>.<tag>", both in base64url.
func (k *keys) sign(purpose string, data []byte) string {
	return base64.RawURLEncoding.EncodeToString(data) + "." + base64.RawURLEncoding.EncodeToString(k.tag(purpose, data))
}

func (k *keys) verify(purpose, text string) ([]byte, bool) {
	dataText, tagText, _ := strings.Cut(text, ".")
	data, err := base64.RawURLEncoding.DecodeString(dataText)
	if err != nil {
		return nil, false
	}
	tag, err := base64.RawURLEncoding.DecodeString(tagText)
	if err != nil || !hmac.Equal(tag, k.tag(purpose, data)) {
		return nil, false
	}
	return data, true
}

// csrf returns the CSRF token that the forms of the session must contain.
func (k *keys) csrf(cookie string) string {
	return base64.RawURLEncoding.EncodeToString(k.tag(purposeCSRF, []byte(cookie)))
}

// session is the content of the cookie of a logged-in operator.
type session struct {
	Token string `json:"token"`
	// Expires is in Unix seconds.
	Expires int64 `json:"expires"`
}

// seal encrypts a session, because the cookie contains the operator's token.
func (k *keys) seal(s session) (string, error) {
	data, err := json.Marshal(s)
	if err != nil {
		return "", fmt.Errorf("encode session: %w", err)
	}
	nonce := make([]byte, k.aead.NonceSize())
	_, _ = rand.Read(nonce)
	return base64.RawURLEncoding.EncodeToString(k.aead.Seal(nonce, nonce, data, nil)), nil
}

func (k *keys) open(cookie string, now time.Time) (session, bool) {
	var s session
	sealed, err := base64.RawURLEncoding.DecodeString(cookie)
	if err != nil || len(sealed) < k.aead.NonceSize() {
		return s, false
	}
	nonce, body := sealed[:k.aead.NonceSize()], sealed[k.aead.NonceSize():]
	data, err := k.aead.Open(nil, nonce, body, nil)
	if err != nil || json.Unmarshal(data, &s) != nil {
		return session{}, false
	}
	return s, now.Unix() < s.Expires
}
