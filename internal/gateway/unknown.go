package gateway

import (
	"encoding/binary"
	"math/rand/v2"
	"sync"
	"time"

	"sycamoretrail/internal/core/peerset"
	"sycamoretrail/internal/gossip"
)

const (
	// askAfter and askSpread are the time for which this entry waits before it asks for the
	// statuses of unknown tokens: most often the next blocks hold them.
	askAfter  = 300 * time.Millisecond
	askSpread = 500 * time.Millisecond
	// maxAsked is the number of tokens that are asked for at a time.
	maxAsked = 240
	// statusesPerBlock is the number of statuses that fit a block.
	statusesPerBlock = 7
)

// unknownTokens collects tokens in blocks that stand for no known entry, by the relay that sent
// them.
type unknownTokens struct {
	mutex sync.Mutex
	by    map[string][]peerset.Token
	due   bool
}

// add collects unknown tokens. It reports whether the first ones were added.
func (u *unknownTokens) add(relay string, tokens []peerset.Token) bool {
	u.mutex.Lock()
	defer u.mutex.Unlock()
	if u.by == nil {
		u.by = make(map[string][]peerset.Token)
	}
	u.by[relay] = tokens
	first := !u.due
	u.due = true
	return first
}

func (u *unknownTokens) take() map[string][]peerset.Token {
	u.mutex.Lock()
	defer u.mutex.Unlock()
	by := u.by
	u.by, u.due = nil, false
	return by
}

// noteUnknown schedules the question for the statuses of unknown tokens.
func (l *links) noteUnknown(relay string, tokens []peerset.Token) {
	if l.unknown.add(relay, tokens[:min(len(tokens), maxAsked)]) {
		time.AfterFunc(askAfter+rand.N(askSpread), l.askUnknown)
	}
}

// askUnknown asks for the statuses of the tokens that are still unknown: the relay that reported
// them or, if that is not known either, an entry of the cell.
func (l *links) askUnknown() {
	for relay, tokens := range l.unknown.take() {
		var asked []byte
		var to []peerset.Entry
		l.gateway.state.mutex.Lock()
		for _, token := range tokens {
			if !l.gateway.state.peers.Knows(token) && token != l.ownToken() {
				asked = binary.BigEndian.AppendUint32(asked, uint32(token))
			}
		}
		if entry, found := l.gateway.state.peers.Find(relay); found {
			to = append(to, entry)
		}
		l.gateway.state.mutex.Unlock()
		if peers := l.cells.Load().Peers; len(to) == 0 && len(peers) > 0 {
			to = append(to, peers[rand.IntN(len(peers))])
		}
		if len(asked) > 0 {
			m := l.numbered(l.message())
			m.Unknown = asked
			l.send(m, to)
		}
	}
}

// handleUnknown answers with the statuses of the tokens that this entry knows.
func (l *links) handleUnknown(m *gossip.Message) {
	now := time.Now()
	own := l.ownStatus()
	ownToken := l.ownToken()
	var statuses []gossip.Status
	l.gateway.state.mutex.Lock()
	to, found := l.gateway.state.peers.Find(m.From)
	for i := 0; (i+1)*peerset.TokenBytes <= len(m.Unknown); i++ {
		token := peerset.Token(binary.BigEndian.Uint32(m.Unknown[i*peerset.TokenBytes:]))
		if token == ownToken {
			statuses = append(statuses, own)
		} else if member, known := l.gateway.state.peers.ByToken(token); known && l.gateway.state.peers.Live(now, member.Name) {
			statuses = append(statuses, statusMessage(now, &member))
		}
	}
	l.gateway.state.mutex.Unlock()
	for len(statuses) > 0 && found {
		n := min(len(statuses), statusesPerBlock)
		answer := l.message()
		answer.Digest = &gossip.Digest{Blocks: []gossip.Block{{Relay: l.gateway.self.Name, Changed: statuses[:n]}}}
		statuses = statuses[n:]
		l.send(answer, []peerset.Entry{to})
	}
}
