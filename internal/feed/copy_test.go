package feed_test

import (
	"context"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"

	"sycamoretrail/internal/feed"
)

// copyWorld is a reader of a log, and an entry that gets copies from it.
type copyWorld struct {
	*WithT
	log    *fakeLog
	reader *feed.Follower
	other  *feed.Follower
	// held is the state of other, by key; reads counts its calls to the log.
	held    map[string]string
	otherOf *fakeLog
	mayRead bool
	copies  []feed.Copy
	stop    func()
}

func newCopyWorld(t *testing.T) *copyWorld {
	w := &copyWorld{WithT: NewWithT(t), log: &fakeLog{}, otherOf: &fakeLog{}, held: make(map[string]string)}
	config := feed.Config{Topic: feed.Targets, Interval: 50 * time.Millisecond, Wait: 800 * time.Millisecond, MaxAge: 1200 * time.Millisecond}
	quiet := feed.Callbacks{
		IsReader: func() bool { return true }, Apply: func(feed.Update) {},
		Unavailable: func(feed.Topic, error) {}, Available: func(feed.Topic, time.Duration) {},
	}
	w.reader = feed.NewFollower(config, w.log, quiet)
	quiet.IsReader = func() bool { return false }
	quiet.MayRead = func() bool { return w.mayRead }
	quiet.Copy = func(_ feed.Topic, from feed.Position) (feed.Copy, bool) {
		c, found := w.reader.Copy(from)
		if found {
			w.copies = append(w.copies, c)
		}
		return c, found
	}
	quiet.Apply = func(u feed.Update) {
		if u.Reset {
			clear(w.held)
		}
		for _, r := range u.Records {
			if len(r.Value) == 0 {
				delete(w.held, r.Key)
			} else {
				w.held[r.Key] = string(r.Value)
			}
		}
	}
	w.other = feed.NewFollower(config, w.otherOf, quiet)
	ctx, stop := context.WithCancel(context.Background())
	w.stop = func() {
		stop()
		time.Sleep(2 * time.Second)
	}
	go w.reader.Run(ctx)
	go w.other.Run(ctx)
	return w
}

// Guards against an entry that reads the log at its start although another has the records, and
// against copies that bring back dropped keys.
func TestEntryStartsFromACopy(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newCopyWorld(t)
		defer w.stop()
		for i := range 300 {
			w.log.append(fmt.Sprint("i-", i), "1")
		}
		time.Sleep(3 * time.Second)
		w.Expect(w.held).To(HaveLen(300))
		w.Expect(w.copies[0].Snapshot).To(BeTrue())
		w.log.append("i-7", "")
		w.log.append("i-8", "2")
		time.Sleep(3 * time.Second)
		w.Expect(w.held).To(HaveLen(299))
		w.Expect(w.held["i-8"]).To(Equal("2"))
		last := w.copies[len(w.copies)-1]
		w.Expect(last.Snapshot).To(BeFalse())
		w.Expect(len(last.Records)).To(BeNumerically("<=", 2))
		w.Expect(w.otherOf.count()).To(BeZero())
	})
}

// Guards against an entry that goes on with an old copy: when the reader no longer reads, others
// must read the log themselves.
func TestOldCopiesAreNotUsed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newCopyWorld(t)
		defer w.stop()
		w.mayRead = true
		w.log.append("i-1", "1")
		w.otherOf.append("i-1", "1")
		time.Sleep(2 * time.Second)
		w.log.setUnavailable(true)
		w.otherOf.append("i-1", "2")
		time.Sleep(4 * time.Second)
		w.Expect(w.otherOf.count()).To(BeNumerically(">", 0))
		w.Expect(w.held["i-1"]).To(Equal("2"))
	})
}

// Guards against a gap after the log has dropped its history: the reader takes a snapshot, and
// what has changed before it must be in later copies, dropped keys included.
func TestCopiesAfterALostHistoryHoldAllChanges(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newCopyWorld(t)
		defer w.stop()
		w.log.append("i-1", "1")
		w.log.append("i-2", "1")
		time.Sleep(2 * time.Second)
		w.log.setUnavailable(true)
		time.Sleep(time.Second)
		w.log.append("i-1", "")
		w.log.truncate()
		w.log.append("i-2", "2")
		w.log.setUnavailable(false)
		time.Sleep(5 * time.Second)
		w.Expect(w.held).To(Equal(map[string]string{"i-2": "2"}))
		w.Expect(w.copies[len(w.copies)-1].Snapshot).To(BeFalse())
	})
}
