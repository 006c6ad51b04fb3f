package peers

import (
	"crypto/hmac"
	"crypto/rand"
	"crypto/sha256"
	"encoding/binary"
	"fmt"

	"github.com/fasthttp/websocket"

	"sycamoretrail/internal/core/message"
)

// The hello precedes all packets:
//
//	dialler  -> Hello            version, member, nonce
//	acceptor -> Hello, Proof     its own, and HMAC("acceptor", both hellos)
//	dialler  -> Proof            HMAC("dialler", both hellos)
//	acceptor -> Welcome
//
// Either end may send Refusal instead and close the connection. The key never leaves a
// process. The nonces are fresh and the labels differ, so that a proof can neither be
// replayed nor reflected to its sender.

const (
	nonceLength   = 16
	labelDialler  = "sycamoretrail dialler"
	labelAcceptor = "sycamoretrail acceptor"
)

// hello identifies one end.
type hello struct {
	Version int            `cbor:"1,keyasint"`
	Member  message.Member `cbor:"2,keyasint"`
	Nonce   []byte         `cbor:"3,keyasint"`
}

// refusalCode is the reason why a hello was refused.
type refusalCode uint8

const (
	refusalVersion refusalCode = iota + 1
	refusalKey
	refusalMalformed
)

// refusal informs the other end why the connection is closed.
type refusal struct {
	Code   refusalCode `cbor:"1,keyasint"`
	Detail string      `cbor:"2,keyasint"`
}

// helloFrame is one frame of the hello; exactly one field is set.
type helloFrame struct {
	Hello   *hello   `cbor:"1,keyasint,omitempty"`
	Proof   []byte   `cbor:"2,keyasint,omitempty"`
	Refusal *refusal `cbor:"3,keyasint,omitempty"`
	Welcome bool     `cbor:"4,keyasint,omitempty"`
}

// frames is the part of a WebSocket connection that the hello needs.
type frames interface {
	ReadMessage() (kind int, data []byte, err error)
	WriteMessage(kind int, data []byte) error
}

// identity holds the credentials of one end.
type identity struct {
	version int
	self    message.Member
	// key authenticates this end. The other end may authenticate with key or with
	// accepted, which is the previous or the next key during a key rotation; nil means
	// that only key is accepted.
	key, accepted []byte
}

// dialHello performs the hello as the end that opened the connection. Once the peer
// is authenticated, veto may still abort the hello with an error; the peer then never
// registers the connection as a link.
func (id identity) dialHello(conn frames, veto func(message.Member) error) (message.Member, error) {
	own, err := id.sendHello(conn)
	if err != nil {
		return message.Member{}, err
	}
	peer, peerRaw, err := id.readHello(conn)
	if err != nil {
		return message.Member{}, err
	}
	if err := id.checkProof(conn, labelAcceptor, own, peerRaw); err != nil {
		return message.Member{}, err
	}
	if err := veto(peer.Member); err != nil {
		return peer.Member, err
	}
	if err := writeFrame(conn, helloFrame{Proof: proof(id.key, labelDialler, own, peerRaw)}); err != nil {
		return message.Member{}, err
	}
	answer, _, err := readFrame(conn)
	if err != nil {
		return message.Member{}, err
	}
	if !answer.Welcome {
		return message.Member{}, fmt.Errorf("%w: no welcome", ErrMalformed)
	}
	return peer.Member, nil
}

// acceptHello performs the hello as the listening end.
func (id identity) acceptHello(conn frames) (message.Member, error) {
	peer, peerRaw, err := id.readHello(conn)
	if err != nil {
		return message.Member{}, err
	}
	own, err := id.sendHello(conn)
	if err != nil {
		return message.Member{}, err
	}
	if err := writeFrame(conn, helloFrame{Proof: proof(id.key, labelAcceptor, peerRaw, own)}); err != nil {
		return message.Member{}, err
	}
	if err := id.checkProof(conn, labelDialler, peerRaw, own); err != nil {
		return message.Member{}, err
	}
	return peer.Member, writeFrame(conn, helloFrame{Welcome: true})
}

func (id identity) sendHello(conn frames) ([]byte, error) {
	nonce := make([]byte, nonceLength)
	if _, err := rand.Read(nonce); err != nil {
		return nil, fmt.Errorf("generate nonce: %w", err)
	}
	raw, err := encMode.Marshal(helloFrame{Hello: &hello{Version: id.version, Member: id.self, Nonce: nonce}})
	if err != nil {
		return nil, fmt.Errorf("encode hello: %w", err)
	}
	return raw, conn.WriteMessage(websocket.BinaryMessage, raw)
}

// readHello checks the version first, so that an older peer gets an error about its
// version and not about a key that it cannot prove in the newer way.
func (id identity) readHello(conn frames) (*hello, []byte, error) {
	frame, raw, err := readFrame(conn)
	if err != nil {
		return nil, nil, err
	}
	peer := frame.Hello
	if peer == nil || len(peer.Nonce) != nonceLength || peer.Member.Incarnation == "" {
		refuse(conn, refusalMalformed, "the first frame must be a complete hello")
		return nil, nil, fmt.Errorf("%w: not a hello", ErrMalformed)
	}
	if peer.Version != id.version {
		detail := fmt.Sprintf("peer has version %d, this entry %d", peer.Version, id.version)
		refuse(conn, refusalVersion, fmt.Sprintf("this entry speaks version %d, you speak %d", id.version, peer.Version))
		return nil, nil, fmt.Errorf("%w: %s", ErrVersion, detail)
	}
	return peer, raw, nil
}

func (id identity) checkProof(conn frames, label string, diallerHello, acceptorHello []byte) error {
	frame, _, err := readFrame(conn)
	if err != nil {
		return err
	}
	if hmac.Equal(frame.Proof, proof(id.key, label, diallerHello, acceptorHello)) {
		return nil
	}
	// Anyone can compute a proof with an empty key, so it is never accepted.
	if len(id.accepted) > 0 && hmac.Equal(frame.Proof, proof(id.accepted, label, diallerHello, acceptorHello)) {
		return nil
	}
	refuse(conn, refusalKey, "shared_key differs")
	return ErrKey
}

// proof computes the HMAC over the label and both hellos as sent over the wire.
func proof(key []byte, label string, diallerHello, acceptorHello []byte) []byte {
	mac := hmac.New(sha256.New, key)
	for _, part := range [][]byte{[]byte(label), diallerHello, acceptorHello} {
		var length [8]byte
		binary.BigEndian.PutUint64(length[:], uint64(len(part)))
		mac.Write(length[:])
		mac.Write(part)
	}
	return mac.Sum(nil)
}

func writeFrame(conn frames, frame helloFrame) error {
	raw, err := encMode.Marshal(frame)
	if err != nil {
		return fmt.Errorf("encode hello: %w", err)
	}
	return conn.WriteMessage(websocket.BinaryMessage, raw)
}

// readFrame reads one frame and returns a refusal as the corresponding error.
func readFrame(conn frames) (helloFrame, []byte, error) {
	var frame helloFrame
	_, raw, err := conn.ReadMessage()
	if err != nil {
		return frame, nil, fmt.Errorf("read hello: %w", err)
	}
	if err := decMode.Unmarshal(raw, &frame); err != nil {
		return frame, nil, fmt.Errorf("%w: %w", ErrMalformed, err)
	}
	if frame.Refusal != nil {
		return frame, nil, refusalError(*frame.Refusal)
	}
	return frame, raw, nil
}

func refusalError(r refusal) error {
	switch r.Code {
	case refusalVersion:
		return fmt.Errorf("%w: %w: %s", ErrRefused, ErrVersion, r.Detail)
	case refusalKey:
		return fmt.Errorf("%w: %w: %s", ErrRefused, ErrKey, r.Detail)
	}
	return fmt.Errorf("%w: %s", ErrRefused, r.Detail)
}

// refuse sends a refusal on a best-effort basis; the connection is closed anyway.
func refuse(conn frames, code refusalCode, detail string) {
	_ = writeFrame(conn, helloFrame{Refusal: &refusal{Code: code, Detail: detail}})
}
