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
	// maxFragments bounds the size of a message. A configuration of a thousand routes
	// takes about twenty fragments.
	maxFragments = 256
	// maxUnpackedBytes bounds the size of one decompressed message, in bytes.
	maxUnpackedBytes = 16 << 20
	// assemblyTimeout is how long an incomplete message is kept. The sender sends all
	// fragments in a row, so those still missing after this time are lost, and the
	// receiver reads the log itself.
	assemblyTimeout = 500 * time.Millisecond
)

// Fragment is a part of a message that is too long for a datagram. The sender compresses
// and splits the message; the receiver reassembles it.
type Fragment struct {
	// Message identifies a message among those of its sender.
	Message uint64 `cbor:"1,keyasint"`
	Index   int    `cbor:"2,keyasint"`
	Count   int    `cbor:"3,keyasint"`
	Data    []byte `cbor:"4,keyasint"`
}

// Split compresses a replica and splits it into fragments.
func Split(number uint64, replica *Replica) ([]Fragment, error) {
	plain, err := cbor.Marshal(replica)
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
		return nil, fmt.Errorf("%w: message of %d fragments is too long", errMessage, count)
	}
	fragments := make([]Fragment, 0, count)
	for i := range count {
		part := data[i*fragmentBytes : min(len(data), (i+1)*fragmentBytes)]
		fragments = append(fragments, Fragment{Message: number, Index: i, Count: count, Data: part})
	}
	return fragments, nil
}

// Assembler reassembles messages from fragments. It is not safe for concurrent use.
type Assembler struct{ open map[assemblyKey]*assembly }

type assemblyKey struct {
	incarnation, message uint64
}

type assembly struct {
	began   time.Time
	parts   [][]byte
	missing int
}

// NewAssembler returns an empty assembler.
func NewAssembler() *Assembler { return &Assembler{open: make(map[assemblyKey]*assembly)} }

// Add adds a fragment. It returns the message that the fragment completes, or nil.
func (a *Assembler) Add(now time.Time, incarnation uint64, f *Fragment) (*Replica, error) {
	for key, old := range a.open {
		if now.Sub(old.began) > assemblyTimeout {
			delete(a.open, key)
		}
	}
	if f.Count < 1 || f.Count > maxFragments || f.Index < 0 || f.Index >= f.Count {
		return nil, fmt.Errorf("%w: fragment %d of %d", errMessage, f.Index, f.Count)
	}
	key := assemblyKey{incarnation, f.Message}
	pending, found := a.open[key]
	if !found {
		pending = &assembly{began: now, parts: make([][]byte, f.Count), missing: f.Count}
		a.open[key] = pending
	}
	if len(pending.parts) != f.Count || pending.parts[f.Index] != nil {
		return nil, nil
	}
	pending.parts[f.Index] = f.Data
	if pending.missing--; pending.missing > 0 {
		return nil, nil
	}
	delete(a.open, key)
	return unpack(bytes.Join(pending.parts, nil))
}

func unpack(packed []byte) (*Replica, error) {
	plain, err := io.ReadAll(io.LimitReader(flate.NewReader(bytes.NewReader(packed)), maxUnpackedBytes))
	if err != nil {
		return nil, fmt.Errorf("%w: %w", errMessage, err)
	}
	replica := &Replica{}
	if err := cbor.Unmarshal(plain, replica); err != nil {
		return nil, fmt.Errorf("%w: %w", errMessage, err)
	}
	return replica, nil
}
