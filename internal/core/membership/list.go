package membership

import (
	"sort"
	"time"
)

// SetListed applies the platform's list of entries. The list lags behind: a new row adds a name
// to connect to, and a missing row removes a name only if it is unresponsive. A member from
// which heartbeats arrive stays, whatever the list shows. Pass only lists that were read
// successfully.
func (m *Membership) SetListed(now time.Time, rows []Instance) {
	m.detectPause(now)
	m.listed = m.listed[:0]
	for _, p := range m.peers {
		p.listed = false
	}
	listed := make(map[string]bool, len(rows))
	for _, row := range rows {
		if row.Name == m.member.Name || listed[row.Name] {
			continue
		}
		listed[row.Name] = true
		m.listed = append(m.listed, row)
		m.addListed(now, row)
	}
	sort.Slice(m.listed, func(i, j int) bool { return m.listed[i].Name < m.listed[j].Name })
	m.prune(now)
}

// addListed adds a listed name. A leaving instance to which there never was a link is
// ignored.
func (m *Membership) addListed(now time.Time, row Instance) {
	p := m.byName[row.Name]
	if p == nil {
		if row.Leaving {
			return
		}
		p = m.add(row.Name)
		p.since = now
		p.Zone, p.PeerAddress = row.Zone, row.Address
	}
	p.listed, p.everListed = true, true
}

// prune drops names that were listed before, are not listed now, and are unresponsive and
// without a link. A member that has never been listed is kept, since the list may lag
// behind.
func (m *Membership) prune(now time.Time) {
	for i := len(m.peers) - 1; i >= 0; i-- {
		p := m.peers[i]
		unresponsive := now.Sub(p.lastContact) > m.FailureTimeout()
		if p.listed || !p.everListed || p.linked || !unresponsive {
			continue
		}
		m.drop(p)
		if p.live {
			m.changes = append(m.changes, Change{Kind: MemberLost, Member: p.Member})
		}
		m.changes = append(m.changes, Change{Kind: MemberRemoved, Member: p.Member})
	}
}

// Unlinked returns the rows of the last list without an open link.
func (m *Membership) Unlinked() []Instance {
	var wanted []Instance
	for _, row := range m.listed {
		p := m.byName[row.Name]
		if !row.Leaving && (p == nil || !p.linked) {
			wanted = append(wanted, row)
		}
	}
	return wanted
}
