package peers

import (
	"fmt"
	"sync"
	"time"

	"github.com/fasthttp/websocket"

	"sycamoretrail/internal/core/entry"
	"sycamoretrail/internal/core/message"
)

const (
	// maxFrame bounds the bytes of one frame: a document of 1 MiB and a batch of messages.
	maxFrame = 4 << 20
	// writeTimeout ends a link whose other end does not read.
	writeTimeout = 5 * time.Second
	// pingsPerIdle is the number of pings sent within the idle timeout of a link.
	pingsPerIdle = 3
)

// link is one connection after the hello. It reads on the goroutine that calls run and
// writes on another one.
type link struct {
	conn     *websocket.Conn
	member   message.Member
	queue    *queue
	counters *counters
	deliver  func(entry.Input)
	// idle bounds the time without any frame from the peer, including pongs. A
	// half-open connection causes no error; frames merely stop arriving.
	idle time.Duration

	stopOnce sync.Once
	stopping chan struct{}
	reason   error
	// done is closed after PeerDown has been delivered.
	done chan struct{}
}

func newLink(conn *websocket.Conn, member message.Member, l *Links) *link {
	return &link{
		conn:     conn,
		member:   member,
		queue:    newQueue(l.options.QueueSize, l.counters.dropped),
		counters: &l.counters,
		deliver:  l.options.Deliver,
		idle:     l.options.IdleTimeout,
		stopping: make(chan struct{}),
		done:     make(chan struct{}),
	}
}

// run delivers PeerUp, the messages of the peer, and PeerDown, in this order. It
// returns the reason why the link ended.
func (k *link) run() error {
	defer close(k.done)
	var writer sync.WaitGroup
	writer.Go(k.write)
	k.deliver(entry.PeerUp{Member: k.member})
	err := k.read()
	k.stop(err)
	writer.Wait()
	k.deliver(entry.PeerDown{Incarnation: k.member.Incarnation})
	return k.reason
}

// stop ends the link and never blocks. Only the reason of the first call is kept.
func (k *link) stop(reason error) {
	k.stopOnce.Do(func() {
		k.reason = reason
		close(k.stopping)
	})
}

// send queues a message and never blocks.
func (k *link) send(m message.Message) {
	if !k.queue.push(m) {
		k.counters.dropped(kindOf(m), 1)
		k.stop(errQueueFull)
	}
}

func (k *link) read() error {
	k.conn.SetReadLimit(maxFrame)
	k.conn.SetPongHandler(func(string) error { return k.extend() })
	k.conn.SetPingHandler(func(text string) error {
		if err := k.extend(); err != nil {
			return err
		}
		return k.conn.WriteControl(websocket.PongMessage, []byte(text), time.Now().Add(writeTimeout))
	})
	for {
		if err := k.extend(); err != nil {
			return err
		}
		kind, data, err := k.conn.ReadMessage()
		if err != nil {
			return fmt.Errorf("read: %w", err)
		}
		if kind != websocket.BinaryMessage {
			return fmt.Errorf("%w: not a binary frame", ErrMalformed)
		}
		packet, count, err := decodePacket(data)
		if err != nil {
			return err
		}
		k.counters.received(len(data), count)
		for _, m := range packet.Messages {
			k.deliver(entry.FromPeer{From: k.member.Incarnation, Message: m})
		}
	}
}

// extend postpones the read deadline to a full idle timeout from now.
func (k *link) extend() error {
	return k.conn.SetReadDeadline(time.Now().Add(k.idle))
}

// write sends the queued messages until the link stops. It then closes the connection,
// which also ends the reader.
func (k *link) write() {
	defer k.conn.Close()
	ping := time.NewTicker(k.idle / pingsPerIdle)
	defer ping.Stop()
	for {
		select {
		case <-k.stopping:
			if k.reason == errClosed {
				_ = k.flush() // the last heartbeat announces the stop
			}
			return
		case <-ping.C:
			if err := k.conn.WriteControl(websocket.PingMessage, nil, time.Now().Add(writeTimeout)); err != nil {
				k.stop(fmt.Errorf("ping: %w", err))
			}
		case <-k.queue.wake:
			if err := k.flush(); err != nil {
				k.stop(err)
			}
		}
	}
}

func (k *link) flush() error {
	for batch := k.queue.nextBatch(); batch != nil; batch = k.queue.nextBatch() {
		data, count, err := encodePacket(Packet{Messages: batch})
		if err != nil {
			return err
		}
		if err := k.conn.SetWriteDeadline(time.Now().Add(writeTimeout)); err != nil {
			return fmt.Errorf("write: %w", err)
		}
		if err := k.conn.WriteMessage(websocket.BinaryMessage, data); err != nil {
			return fmt.Errorf("write: %w", err)
		}
		k.counters.sent(len(data), count)
	}
	return nil
}
