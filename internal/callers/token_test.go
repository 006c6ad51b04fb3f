package callers

import (
	"errors"
	"testing"
	"time"
)

// FuzzReadToken reads arbitrary texts as tokens. Only the signed one may be accepted,
// and none may cause a panic, since tokens come from callers.
func FuzzReadToken(f *testing.F) {
	key := []byte("k")
	now := time.Unix(1000, 0)
	good := streamToken{Target: "e1", ID: "a-1.0.x", Organisation: "acme", Expires: 2000}
	text := good.sign(key)
	f.Add(text)
	f.Add(text[:len(text)-1])
	f.Add("")
	f.Add(good.sign([]byte("another")))
	f.Fuzz(func(t *testing.T, in string) {
		got, err := readToken(in, [][]byte{key}, now)
		if err != nil {
			if in == text {
				t.Fatalf("the signed token was refused: %v", err)
			}
			return
		}
		if got != good {
			t.Fatalf("%q passed as %+v", in, got)
		}
	})
}

func TestTokenExpires(t *testing.T) {
	key := []byte("k")
	text := streamToken{Target: "e1", Expires: 2000}.sign(key)
	if _, err := readToken(text, [][]byte{key}, time.Unix(1999, 0)); err != nil {
		t.Fatalf("before its end: %v", err)
	}
	if _, err := readToken(text, [][]byte{key}, time.Unix(2000, 0)); !errors.Is(err, errTokenExpired) {
		t.Fatalf("at its end: %v", err)
	}
}

// The shared key is changed entry by entry. A token that was signed before the
// change must still be valid after it by the accepted key, or callers would lose
// available answers. Without the accepted key it is refused.
func TestTokenOfAcceptedKey(t *testing.T) {
	now := time.Unix(1000, 0)
	text := streamToken{Target: "t", ID: "a.1.b", Organisation: "o", Expires: 2000}.sign([]byte("old"))
	if _, err := readToken(text, [][]byte{[]byte("new"), []byte("old")}, now); err != nil {
		t.Error(err)
	}
	if _, err := readToken(text, [][]byte{[]byte("new")}, now); !errors.Is(err, errBadToken) {
		t.Errorf("read a token of a key that is no longer accepted: %v", err)
	}
}
