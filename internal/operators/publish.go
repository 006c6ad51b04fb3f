package operators

import (
	"context"
	"errors"
	"time"

	"sycamoretrail/internal/core/record"
	"sycamoretrail/internal/logclient"
)

const (
	// resultTimeout bounds the wait until the entry has read the record from the
	// log.
	resultTimeout      = 10 * time.Second
	resultPollInterval = 50 * time.Millisecond
)

// publisher appends documents to the log and determines the results.
type publisher struct {
	check     Checker
	log       Log
	inspector Inspector
	timeout   time.Duration
}

// publish appends the document and waits for the result. An append whose answer
// was lost may have taken effect, so its result is read from the log, too.
func (p *publisher) publish(ctx context.Context, data []byte) Published {
	id, faults := p.check(data)
	if len(faults) > 0 {
		return Published{ID: id, Result: ResultInvalid, Faults: faults}
	}
	bytes, err := record.Encode(record.Record{Document: &record.Document{Data: data}})
	if err != nil {
		return Published{ID: id, Result: ResultNotPublished, Detail: err.Error()}
	}
	offset, err := p.log.AppendNow(record.StreamDocuments, bytes)
	if errors.Is(err, logclient.ErrRefused) {
		return Published{ID: id, Result: ResultNotPublished, Detail: "the log took nothing; publish again later"}
	}
	return p.awaitResult(ctx, id, offset, err)
}

// awaitResult polls the core until it has processed the document.
func (p *publisher) awaitResult(ctx context.Context, id string, offset int64, lost error) Published {
	ctx, cancel := context.WithTimeout(ctx, p.timeout)
	defer cancel()
	ticker := time.NewTicker(resultPollInterval)
	defer ticker.Stop()
	for {
		result, err := p.inspector.PublishResult(ctx, id)
		if err == nil && result.Result != "" {
			return result
		}
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return unknownResult(id, offset, lost)
		}
	}
}

func unknownResult(id string, offset int64, lost error) Published {
	detail := "the log's answer was lost; see GET /admin/v1/document later, or publish again with the same id"
	if lost == nil {
		detail = "the log took it, but it has not come back yet; see GET /admin/v1/document later"
		return Published{ID: id, Result: ResultUnknown, Version: offset, Detail: detail}
	}
	return Published{ID: id, Result: ResultUnknown, Detail: detail}
}
