package platform

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

// PollInstances reads the instance list until the context ends and hands each
// answer on. A failure is told to failed and changes nothing: the list lags
// anyway and is only a hint.
func PollInstances(ctx context.Context, base string, took func(entry.InstanceList), failed func(error)) {
	client := newClient()
	ticker := time.NewTicker(listInterval)
	defer ticker.Stop()
	for {
		list, err := readInstances(client, base)
		if err != nil {
			failed(err)
		} else {
			took(list)
		}
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return
		}
	}
}

func readInstances(client *fasthttp.Client, base string) (entry.InstanceList, error) {
	var answer struct {
		Instances []entry.Instance `json:"instances"`
	}
	err := call(client, fasthttp.MethodGet, base+"/instances", nil, listTimeout, &answer)
	return entry.InstanceList{Instances: answer.Instances}, err
}
