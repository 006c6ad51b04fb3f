package gateway

import (
	"net"
	"sync"

	"sycamoretrail/internal/eventlog"
	"sycamoretrail/internal/ingress"
)

const (
	// callersShare is the share of the process' descriptors for connections of callers, directoryShare that for
	// callers that ask which entries to use, and handoffsShare that for connections of other entries: callers'
	// own go first. Targets, the store, probes and files use the rest.
	callersShare   = 0.45
	directoryShare = 0.1
	handoffsShare  = 0.15
	// minConnections is the least that they share, however little memory there is.
	minConnections = 128
	// maxProbes bounds the connections of each listener that the platform's own checks use.
	maxProbes = 64

	// connectionsShare is the part of the process' memory that all these connections may use, and
	// connectionBytes what one of them may make the process and the kernel hold besides bodies and answers: the
	// read and write buffers, a head of keptHeadBytes, stacks, and receiveBuffer.
	connectionsShare = 0.3
	connectionBytes  = 112 << 10
)

// gates bound the connections that the process accepts, by listener. Probes and collectors of metrics have one
// each, so that they always find room.
type gates struct{ callers, directory, handoffs, ready, metrics *ingress.Gate }

func newGates(descriptors, memoryMB int) gates {
	shares := callersShare + directoryShare + handoffsShare
	affordable := connectionsShare*float64(memoryMB<<20)/connectionBytes - 2*maxProbes
	available := max(minConnections, min(float64(descriptors), affordable/shares))
	return gates{
		callers:   ingress.NewGate(int(callersShare * available)),
		directory: ingress.NewGate(int(directoryShare * available)),
		handoffs:  ingress.NewGate(int(handoffsShare * available)),
		ready:     ingress.NewGate(maxProbes),
		metrics:   ingress.NewGate(maxProbes),
	}
}

func (g gates) byListener() map[string]*ingress.Gate {
	return map[string]*ingress.Gate{"callers": g.callers, "directory": g.directory, "handoffs": g.handoffs, "ready": g.ready, "metrics": g.metrics}
}

// onClose sets what is called with each connection that is closed to make room, or for want of it.
func (g gates) onClose(note func(listener string, client net.Addr, reason string)) {
	for name, gate := range g.byListener() {
		gate.OnClose = func(client net.Addr, reason string) { note(name, client, reason) }
	}
}

func (g gates) open() int {
	sum := 0
	for _, gate := range g.byListener() {
		sum += gate.Open()
	}
	return sum
}

// closed returns how many connections were closed to make room, and how many new ones for want of it.
func (g gates) closed() (evicted, refused int64) {
	for _, gate := range g.byListener() {
		for reason, n := range gate.Closed() {
			if reason == ingress.ReasonNoRoom {
				refused += n
			} else {
				evicted += n
			}
		}
	}
	return evicted, refused
}

// closedClients counts connections that were closed for what their clients did or did not do. The zero value has
// counted none.
type closedClients struct {
	byReason tally
	mutex    sync.Mutex
	// recent holds those since the last line of the log, by listener and reason.
	recent map[[2]string]*recentlyClosed
}

// recentlyClosed are connections of one listener that were closed for one reason. last is the client of one of them.
type recentlyClosed struct {
	count int
	last  net.Addr
}

func (c *closedClients) add(listener string, client net.Addr, reason string) {
	c.byReason.add(reason)
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if c.recent == nil {
		c.recent = make(map[[2]string]*recentlyClosed)
	}
	key := [2]string{listener, reason}
	if c.recent[key] == nil {
		c.recent[key] = &recentlyClosed{}
	}
	c.recent[key].count++
	c.recent[key].last = client
}

func (c *closedClients) takeRecent() map[[2]string]*recentlyClosed {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	recent := c.recent
	c.recent = nil
	return recent
}

// logRoomMade writes a line if connections were evicted or refused since the last call, which is given the
// counts of that time. It returns those of now.
func (g *Gateway) logRoomMade(evictedBefore, refusedBefore int64) (evicted, refused int64) {
	evicted, refused = g.gates.closed()
	if evicted > evictedBefore || refused > refusedBefore {
		g.log.Write(eventlog.StateChange, eventConnectionsShort, eventlog.Fields{
			"evicted": evicted - evictedBefore, "refused": refused - refusedBefore, "connections": g.gates.open(),
		})
	}
	return evicted, refused
}

// logClosedClients writes a line for each listener and reason for which connections were closed since the last call.
func (g *Gateway) logClosedClients() {
	for key, closed := range g.closedClients.takeRecent() {
		held, waiting := g.held.used()
		g.log.Write(eventlog.StateChange, eventClientsClosed, eventlog.Fields{
			"listener": key[0], "reason": key[1], "count": closed.count, "client": closed.last.String(),
			"connections": g.gates.open(), "held_bytes": held, "waiting_for_memory": waiting,
		})
	}
}
