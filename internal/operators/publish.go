package operators

import (
	"context"
	"errors"
	"time"

	"sycamoretrail/internal/core/record"
	"sycamoretrail/internal/logclient"
)

const (
	// verdictTimeout bounds the wait for the record to come back from the log.
	verdictTimeout = 10 * time.Second
	verdictEvery   = 50 * time.Millisecond
)

// publisher puts documents onto the log and finds out what became of them.
type publisher struct {
	check     Checker
	log       Log
	inspector Inspector
	timeout   time.Duration
}

// publish appends the document and waits for the verdict. An append whose answer
// was lost may have taken effect, so it is settled by reading back as well.
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
	return p.await(ctx, id, offset, err)
}

// await asks the core until it has judged the document.
func (p *publisher) await(ctx context.Context, id string, offset int64, lost error) Published {
	ctx, cancel := context.WithTimeout(ctx, p.timeout)
	defer cancel()
	ticker := time.NewTicker(verdictEvery)
	defer ticker.Stop()
	for {
		verdict, err := p.inspector.Verdict(ctx, id)
		if err == nil && verdict.Result != "" {
			return verdict
		}
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return undecided(id, offset, lost)
		}
	}
}

func undecided(id string, offset int64, lost error) Published {
	detail := "the log's answer was lost; see GET /admin/v1/document later, or publish again with the same id"
	if lost == nil {
		detail = "the log took it, but it has not come back yet; see GET /admin/v1/document later"
		return Published{ID: id, Result: ResultUnknown, Version: offset, Detail: detail}
	}
	return Published{ID: id, Result: ResultUnknown, Detail: detail}
}
