package gateway

import (
	"context"
	"time"

	"sycamoretrail/internal/feed"
)

const (
	// copyAfter is how long a starting entry waits for the operators' own record before it
	// reads a copy; an available store answers within some milliseconds.
	copyAfter = 250 * time.Millisecond
	copyRetry = 300 * time.Millisecond
	// resumeWithin is the time after the start for which an entry does without a configuration rather
	// than without the records of roll-outs: it would send a new version its full share of the requests.
	resumeWithin = 2 * time.Second
)

// copyTopics are the topics that hold copies.
var copyTopics = [...]feed.Topic{feed.Copies, feed.SecondCopies, feed.ThirdCopies}

// writeCopies writes a configuration that this entry has read for the others into topics of
// the entries' own. Parts of the store fail one by one: if all entries started while the
// operators' part was unavailable, none would have a configuration, and all requests would be
// refused until that part was back.
func (f *feeds) writeCopies(record feed.Record) {
	// Which entries write the copies is known only after the other entries have made contact.
	time.Sleep(time.Until(f.gateway.started.Add(failureTimeout)))
	if !f.gateway.writesCopies() {
		return
	}
	for _, topic := range copyTopics {
		if err := f.gateway.platform.Put(topic, record); err != nil {
			f.logStoreError(topic, err)
		}
	}
}

// loadCopy puts a copy of the configuration in force if the operators' record cannot be read.
// A copy that is older than the operators' newest version holds only until that can be read,
// since versions only increase. As with the operators' records, roll-outs come into force first.
func (f *feeds) loadCopy(ctx context.Context) {
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
		if !f.storeDisconnected[feed.Operators].Load() {
			continue // the store answers; there is no configuration yet
		}
		if err := f.gateway.state.rollouts.resume(); err != nil {
			f.logStoreError(feed.Rollouts, err)
			if time.Since(f.gateway.started) < resumeWithin {
				continue
			}
		}
		topic := copyTopics[try%len(copyTopics)]
		records, _, err := f.gateway.platform.Snapshot(topic)
		if err != nil {
			f.logStoreError(topic, err)
			continue
		}
		for _, record := range records {
			configuration, err := f.gateway.platform.DecodeConfiguration(record)
			if err != nil {
				f.logUndecodable(topic, record, err)
				continue
			}
			if configuration != nil {
				f.gateway.apply(configuration, record.Offset, "copy")
			}
		}
	}
}
