package callers

import (
	"crypto/hmac"
	"crypto/sha256"
	"encoding/base64"
	"errors"
	"fmt"
	"time"

	"github.com/fxamacker/cbor/v2"

	"sycamoretrail/internal/core/ident"
)

// streamToken identifies a stream at any entry. A caller that has the token and a
// bearer token of the same organisation may read the stream.
type streamToken struct {
	Target       string          `cbor:"1,keyasint"`
	ID           ident.RequestID `cbor:"2,keyasint"`
	Organisation string          `cbor:"3,keyasint"`
	// Expires is in Unix seconds.
	Expires int64 `cbor:"4,keyasint"`
}

// maxTokenLength bounds the text form of a token, in bytes.
const maxTokenLength = 1024

// Errors of readToken.
var (
	errBadToken     = errors.New("not a stream token of this system")
	errTokenExpired = errors.New("the stream token has expired")
)

// sign returns the text of a token: base64url of its CBOR and an HMAC-SHA256.
func (t streamToken) sign(key []byte) string {
	data, err := cbor.Marshal(t)
	if err != nil {
		return ""
	}
	return base64.RawURLEncoding.EncodeToString(append(data, tokenMAC(key, data)...))
}

func tokenMAC(key, data []byte) []byte {
	mac := hmac.New(sha256.New, key)
	_, _ = mac.Write(data)
	return mac.Sum(nil)
}

func signedByOne(keys [][]byte, signed, mac []byte) bool {
	for _, key := range keys {
		if hmac.Equal(mac, tokenMAC(key, signed)) {
			return true
		}
	}
	return false
}

// readToken verifies a token's signature against the keys before it decodes the
// token.
func readToken(text string, keys [][]byte, now time.Time) (streamToken, error) {
	var t streamToken
	if len(text) > maxTokenLength {
		return t, errBadToken
	}
	data, err := base64.RawURLEncoding.DecodeString(text)
	if err != nil || len(data) <= sha256.Size {
		return t, errBadToken
	}
	signed, mac := data[:len(data)-sha256.Size], data[len(data)-sha256.Size:]
	if !signedByOne(keys, signed, mac) {
		return t, errBadToken
	}
	if err := cbor.Unmarshal(signed, &t); err != nil {
		return t, fmt.Errorf("%w: %w", errBadToken, err)
	}
	if now.Unix() >= t.Expires {
		return t, errTokenExpired
	}
	return t, nil
}
