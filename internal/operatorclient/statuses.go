package operatorclient

import (
	"github.com/alitto/pond/v2"
	"github.com/valyala/fasthttp"

	"sycamoretrail/internal/operators/api"
)

// maxAsked bounds how many entries are asked at a time.
const maxAsked = 32

// EntryStatus is what one listed entry says of itself.
type EntryStatus struct {
	Address string
	Status  api.Status
	// Err is set where the entry gave no status.
	Err error
}

// Statuses asks every listed entry, at most maxAsked at a time, and returns
// their answers in the order of the list.
func (c *Client) Statuses() []EntryStatus {
	out := make([]EntryStatus, len(c.entries))
	pool := pond.NewPool(maxAsked)
	defer pool.StopAndWait()
	for i, address := range c.entries {
		pool.Submit(func() {
			status, err := one[api.Status](c, address, fasthttp.MethodGet, api.PathStatus, nil)
			out[i] = EntryStatus{Address: address, Status: status, Err: err}
		})
	}
	return out
}

// InForce counts the entries that answered, and among them those whose version
// is at least the given one: versions only rise, so a later one followed it.
func InForce(statuses []EntryStatus, version int64) (inForce, answered int) {
	for _, one := range statuses {
		if one.Err != nil {
			continue
		}
		answered++
		if one.Status.Version >= version {
			inForce++
		}
	}
	return inForce, answered
}
