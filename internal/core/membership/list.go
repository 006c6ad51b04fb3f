package membership

import (
	"sort"
	"time"
)

// List takes the platform's list of entries. The list lags: a row adds a name to
// look for, and a row that went drops a name that is silent; a member that is
// heard stays, whatever the list says. Pass only lists that were really read.
func (m *Membership) List(now time.Time, rows []Instance) {
	m.touch(now)
	m.seeds = m.seeds[:0]
	for _, p := range m.peers {
		p.listed = false
	}
	listed := make(map[string]bool, len(rows))
	for _, row := range rows {
		if row.Name == m.member.Name || listed[row.Name] {
			continue
		}
		listed[row.Name] = true
		m.seeds = append(m.seeds, row)
		m.seed(now, row)
	}
	sort.Slice(m.seeds, func(i, j int) bool { return m.seeds[i].Name < m.seeds[j].Name })
	m.prune(now)
}

// seed notes a name. One that is leaving and was never met is not waited for.
func (m *Membership) seed(now time.Time, row Instance) {
	p := m.byName[row.Name]
	if p == nil {
		if row.Leaving {
			return
		}
		p = m.add(row.Name)
		p.known = now
		p.Zone, p.PeerAddress = row.Zone, row.Address
	}
	p.listed, p.shown = true, true
}

// prune drops names that were listed, are no longer, and are silent with no link.
// A member that the list has not shown yet is not dropped: the list may only lag.
func (m *Membership) prune(now time.Time) {
	for i := len(m.peers) - 1; i >= 0; i-- {
		p := m.peers[i]
		silent := now.Sub(p.heard) > m.Silence()
		if p.listed || !p.shown || p.linked || !silent {
			continue
		}
		m.drop(p)
		if p.live {
			m.changes = append(m.changes, Change{Kind: MemberLost, Member: p.Member})
		}
		m.changes = append(m.changes, Change{Kind: MemberRemoved, Member: p.Member})
	}
}

// Wanted lists the rows of the last list to which no link stands.
func (m *Membership) Wanted() []Instance {
	var wanted []Instance
	for _, row := range m.seeds {
		p := m.byName[row.Name]
		if !row.Leaving && (p == nil || !p.linked) {
			wanted = append(wanted, row)
		}
	}
	return wanted
}
