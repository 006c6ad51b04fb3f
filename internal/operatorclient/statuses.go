package operatorclient

import (
	"github.com/alitto/pond/v2"
	"github.com/valyala/fasthttp"

	"sycamoretrail/internal/operators/api"
)

// maxConcurrent bounds the number of concurrent calls.
const maxConcurrent = 32

// EntryStatus is the status of one listed entry.
type EntryStatus struct {
	Address string
	Status  api.Status
	// Err is set if the entry returned no status.
	Err error
}

// Statuses reads the status of every listed entry, at most maxConcurrent at a
// time, and returns them in the order of the list.
func (c *Client) Statuses() []EntryStatus {
	out := make([]EntryStatus, len(c.entries))
	pool := pond.NewPool(maxConcurrent)
	defer pool.StopAndWait()
	for i, address := range c.entries {
		pool.Submit(func() {
			status, err := callEntry[api.Status](c, address, fasthttp.MethodGet, api.PathStatus, nil)
			out[i] = EntryStatus{Address: address, Status: status, Err: err}
		})
	}
	return out
}

// CountInForce returns the number of entries that answered and, among them, of
// those whose version is at least the given one. Versions only increase, so an
// entry with a later version has applied the given one, too.
func CountInForce(statuses []EntryStatus, version int64) (inForce, answered int) {
	for _, entry := range statuses {
		if entry.Err != nil {
			continue
		}
		answered++
		if entry.Status.Version >= version {
			inForce++
		}
	}
	return inForce, answered
}
