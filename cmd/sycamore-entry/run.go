package main

import (
	"context"
	"crypto/rand"
	"encoding/binary"
	"fmt"
	"time"

	"sycamoretrail/internal/core/entry"
	"sycamoretrail/internal/core/ident"
	"sycamoretrail/internal/core/message"
	"sycamoretrail/internal/settings"
)

// run starts the entry and returns when it has drained.
func run(ctx context.Context, s settings.Entry) error {
	cfg, err := coreConfig(s)
	if err != nil {
		return err
	}
	p, err := newProcess(s, cfg)
	if err != nil {
		return err
	}
	return p.run(ctx)
}

// coreConfig returns the core's configuration with a random incarnation, the only random
// value chosen outside the core. The core's own generator is seeded from the same source.
func coreConfig(s settings.Entry) (entry.Config, error) {
	var random [16]byte
	if _, err := rand.Read(random[:]); err != nil {
		return entry.Config{}, fmt.Errorf("draw an incarnation: %w", err)
	}
	incarnation := ident.NewIncarnation(binary.BigEndian.Uint64(random[:8]), time.Now().Unix())
	return entry.Config{
		Self: message.Member{
			Name:          s.Name,
			Incarnation:   incarnation,
			Zone:          s.Zone,
			PeerAddress:   s.PeersAddress,
			CallerAddress: s.CallersAddress,
		},
		Seed:   binary.BigEndian.Uint64(random[8:]),
		Policy: entry.Policy(s.Policy),
	}, nil
}
