package lending

// Sizes returns the number of senders, loads, leases and changes that a ledger holds.
func Sizes(l *Ledger) (senders, loads, leases, changes int) {
	for _, byCell := range l.loads {
		loads += len(byCell)
	}
	return len(l.senders), loads, len(l.leases), len(l.changes)
}
