package gossip

import (
	"bytes"
	"compress/flate"
	"fmt"
	"io"
	"time"

	"github.com/fxamacker/cbor/v2"
)

const (
	// fragmentBytes leaves room for the other fields of a datagram.
	fragmentBytes = 1200
	// maxFragments bounds a message: a configuration of a thousand routes takes
	// some twenty.
	maxFragments = 256
	// maxAssembled bounds the memory of one unpacked message.
	maxAssembled = 16 << 20
	// assemblyLife is how long fragments wait for the rest. The sender sends them in
	// a row; what is missing then is lost, and the receiver reads for itself.
	assemblyLife = 500 * time.Millisecond
)

// Fragment is a part of a message that is too long for a datagram: the message is
// packed, cut, and joined again by the receiver.
type Fragment struct {
	// Message tells the messages of a sender apart.
	Message uint64 `cbor:"1,keyasint"`
	Index   int    `cbor:"2,keyasint"`
	Count   int    `cbor:"3,keyasint"`
	Data    []byte `cbor:"4,keyasint"`
}

// Split packs news and cuts it into fragments.
func Split(number uint64, news *Replica) ([]Fragment, error) {
	plain, err := cbor.Marshal(news)
	if err != nil {
		return nil, fmt.Errorf("%w: %w", errMessage, err)
	}
	var packed bytes.Buffer
	writer, err := flate.NewWriter(&packed, flate.DefaultCompression)
	if err != nil {
		return nil, fmt.Errorf("%w: %w", errMessage, err)
	}
	if _, err = writer.Write(plain); err == nil {
		err = writer.Close()
	}
	if err != nil {
		return nil, fmt.Errorf("%w: %w", errMessage, err)
	}
	data := packed.Bytes()
	count := (len(data) + fragmentBytes - 1) / fragmentBytes
	if count > maxFragments {
		return nil, fmt.Errorf("%w: %d fragments are too many", errMessage, count)
	}
	fragments := make([]Fragment, 0, count)
	for i := range count {
		part := data[i*fragmentBytes : min(len(data), (i+1)*fragmentBytes)]
		fragments = append(fragments, Fragment{Message: number, Index: i, Count: count, Data: part})
	}
	return fragments, nil
}

// Assembler joins fragments. It is not safe for concurrent use.
type Assembler struct{ open map[assemblyKey]*assembly }

type assemblyKey struct {
	incarnation, message uint64
}

type assembly struct {
	began   time.Time
	parts   [][]byte
	missing int
}

// NewAssembler makes an assembler without fragments.
func NewAssembler() *Assembler { return &Assembler{open: make(map[assemblyKey]*assembly)} }

// Add takes a fragment; it returns the news that it completes, or nil.
func (a *Assembler) Add(now time.Time, incarnation uint64, f *Fragment) (*Replica, error) {
	for key, old := range a.open {
		if now.Sub(old.began) > assemblyLife {
			delete(a.open, key)
		}
	}
	if f.Count < 1 || f.Count > maxFragments || f.Index < 0 || f.Index >= f.Count {
		return nil, fmt.Errorf("%w: fragment %d of %d", errMessage, f.Index, f.Count)
	}
	key := assemblyKey{incarnation, f.Message}
	one, found := a.open[key]
	if !found {
		one = &assembly{began: now, parts: make([][]byte, f.Count), missing: f.Count}
		a.open[key] = one
	}
	if len(one.parts) != f.Count || one.parts[f.Index] != nil {
		return nil, nil
	}
	one.parts[f.Index] = f.Data
	if one.missing--; one.missing > 0 {
		return nil, nil
	}
	delete(a.open, key)
	return unpack(bytes.Join(one.parts, nil))
}

func unpack(packed []byte) (*Replica, error) {
	plain, err := io.ReadAll(io.LimitReader(flate.NewReader(bytes.NewReader(packed)), maxAssembled))
	if err != nil {
		return nil, fmt.Errorf("%w: %w", errMessage, err)
	}
	news := &Replica{}
	if err := cbor.Unmarshal(plain, news); err != nil {
		return nil, fmt.Errorf("%w: %w", errMessage, err)
	}
	return news, nil
}
