package gateway

import (
	"context"
	"time"

	"sycamoretrail/internal/feed"
)

const (
	// copyAfter is how long an entry that starts waits for the operators' own record
	// before it takes the copy; a sound store answers in some milliseconds.
	copyAfter = 250 * time.Millisecond
	copyRetry = 300 * time.Millisecond
)

// copyTopics are where copies are kept.
var copyTopics = [...]feed.Topic{feed.Copies, feed.SecondCopies, feed.ThirdCopies}

// keepCopy writes a configuration that this entry has read for the others into
// topics of the entries' own. Parts of the store fail one by one: when all entries
// start while the operators' part is away, none would know a configuration, and all
// callers would be turned away until it is back.
func (f *feeds) keepCopy(record feed.Record) {
	// Who keeps them shows only when this entry has heard the others.
	time.Sleep(time.Until(f.gateway.started.Add(silence)))
	if !f.gateway.keepsCopies() {
		return
	}
	for _, topic := range copyTopics {
		if err := f.gateway.platform.Put(topic, record); err != nil {
			f.noteLost(topic, err)
		}
	}
}

// takeCopy puts the copy in force if the operators' record does not come. A version
// that is older than the operators' newest holds only until that can be read, since
// versions only rise.
func (f *feeds) takeCopy(ctx context.Context) {
	pause := copyAfter
	for try := 0; ; try++ {
		select {
		case <-ctx.Done():
			return
		case <-time.After(pause):
		}
		if f.gateway.configuration.Load() != nil {
			return
		}
		pause = copyRetry
		if !f.blind[feed.Operators].Load() {
			continue // the store answers; there is no configuration yet
		}
		topic := copyTopics[try%len(copyTopics)]
		records, _, err := f.gateway.platform.Snapshot(topic)
		if err != nil {
			f.noteLost(topic, err)
			continue
		}
		for _, record := range records {
			configuration, err := f.gateway.platform.DecodeConfiguration(record)
			if err != nil {
				f.noteUndecodable(topic, record, err)
				continue
			}
			if configuration != nil {
				f.gateway.apply(configuration, record.Offset, "copy")
			}
		}
	}
}
