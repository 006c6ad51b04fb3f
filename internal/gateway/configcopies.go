package gateway

import (
	"context"
	"slices"
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

// loadCopies puts the newest copy of the configuration in force if the operators' record cannot be
// read. It reads all copies, since some may have been written last before a change. One that is older
// than the operators' newest version holds only until that can be read, since versions only increase.
// As with the operators' records, roll-outs come into force first.
func (f *feeds) loadCopies(ctx context.Context) {
	unread := slices.Clone(copyTopics[:])
	pause := copyAfter
	for len(unread) > 0 {
		select {
		case <-ctx.Done():
			return
		case <-time.After(pause):
		}
		pause = copyRetry
		if !f.storeDisconnected[feed.Operators].Load() {
			if f.gateway.configuration.Load() != nil {
				return
			}
			continue // the store answers; there is no configuration yet
		}
		if !f.resumeRollouts() {
			continue
		}
		topic := unread[0]
		unread = unread[1:]
		if !f.loadCopy(topic) {
			unread = append(unread, topic)
		}
	}
}

// resumeRollouts continues the recorded roll-outs before the first copy comes into force; it returns
// false if a further attempt is due.
func (f *feeds) resumeRollouts() bool {
	if f.gateway.configuration.Load() != nil {
		return true
	}
	if err := f.gateway.state.rollouts.resume(); err != nil {
		f.logStoreError(feed.Rollouts, err)
		return time.Since(f.gateway.started) >= resumeWithin
	}
	return true
}

// loadCopy puts the copy in a topic in force if it is newer than what is; it returns false if the
// topic cannot be read.
func (f *feeds) loadCopy(topic feed.Topic) bool {
	records, _, err := f.gateway.platform.Snapshot(topic)
	if err != nil {
		f.logStoreError(topic, err)
		return false
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
	return true
}
