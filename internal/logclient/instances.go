package logclient

import (
	"context"
	"time"

	"github.com/valyala/fasthttp"

	"sycamoretrail/internal/core/entry"
)

const (
	listInterval = 2 * time.Second
	listTimeout  = 2 * time.Second
)

// Instances is the client of the platform's list of instances.
type Instances struct {
	base    string
	client  *fasthttp.Client
	traffic Traffic
}

// NewInstances returns a client of the list at the base URL.
func NewInstances(base string) *Instances {
	i := &Instances{base: base}
	i.client = newClient(&i.traffic)
	return i
}

// Traffic returns the counters of bytes that this client sent and received.
func (i *Instances) Traffic() *Traffic { return &i.traffic }

// Poll reads the list periodically until the context ends, and calls took with each
// list. It calls failed with an error, which has no other effect: the list lags anyway
// and is only a hint.
func (i *Instances) Poll(ctx context.Context, deliver func(entry.InstanceList), failed func(error)) {
	ticker := time.NewTicker(listInterval)
	defer ticker.Stop()
	for {
		list, err := i.read()
		if err != nil {
			failed(err)
		} else {
			deliver(list)
		}
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return
		}
	}
}

func (i *Instances) read() (entry.InstanceList, error) {
	var answer struct {
		Instances []entry.Instance `json:"instances"`
	}
	err := call(i.client, fasthttp.MethodGet, i.base+"/instances", nil, listTimeout, &answer)
	return entry.InstanceList{Instances: answer.Instances}, err
}
