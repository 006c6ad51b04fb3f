package gateway

import (
	"fmt"
	"time"

	"github.com/fxamacker/cbor/v2"

	"sycamoretrail/internal/core/streams"
)

// storedBatch is a batch of origins as recorded.
type storedBatch struct {
	ExpiresMS int64         `cbor:"1,keyasint"`
	Groups    []storedGroup `cbor:"2,keyasint"`
}

// storedGroup holds the keys of streams of one origin, one after the other.
type storedGroup struct {
	_                struct{} `cbor:",toarray"`
	Service, Version string
	Keys             []byte
}

func encodeBatch(batch streams.Batch) (value []byte, size int, err error) {
	stored := storedBatch{ExpiresMS: batch.Expires.UnixMilli()}
	for _, group := range batch.Groups {
		keys := make([]byte, 0, len(group.Keys)*len(streams.Key{}))
		for _, key := range group.Keys {
			keys = append(keys, key[:]...)
		}
		stored.Groups = append(stored.Groups, storedGroup{Service: group.Origin.Service, Version: group.Origin.Version, Keys: keys})
		size += len(group.Keys)
	}
	value, err = cbor.Marshal(stored)
	if err != nil {
		return nil, 0, fmt.Errorf("batch of origins: %w", err)
	}
	return value, size, nil
}

func decodeBatch(value []byte) (streams.Batch, error) {
	var stored storedBatch
	if err := cbor.Unmarshal(value, &stored); err != nil {
		return streams.Batch{}, fmt.Errorf("batch of origins: %w", err)
	}
	batch := streams.Batch{Expires: time.UnixMilli(stored.ExpiresMS)}
	for _, group := range stored.Groups {
		const size = len(streams.Key{})
		if len(group.Keys)%size != 0 {
			return streams.Batch{}, fmt.Errorf("batch of origins: keys of %d bytes", len(group.Keys))
		}
		decoded := streams.Group{Origin: streams.Origin{Service: group.Service, Version: group.Version}}
		for keys := group.Keys; len(keys) > 0; keys = keys[size:] {
			decoded.Keys = append(decoded.Keys, streams.Key(keys[:size]))
		}
		batch.Groups = append(batch.Groups, decoded)
	}
	return batch, nil
}
