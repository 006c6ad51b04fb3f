package operatorclient

import (
	"encoding/json"
	"errors"

	"github.com/valyala/fasthttp"

	"sycamoretrail/internal/operators/api"
)

// lostAnswer is the detail of a publication whose result no entry could report.
const lostAnswer = "the entry's answer was lost; look at the document in force later, or publish again with the same id"

// Publish sends the document with the id to the first entry that answers. An
// entry whose answer was lost may have appended the document. The same bytes are
// then sent to the next entry, which is harmless because the second record of an
// id has no effect. If no entry answers after that, the result is
// api.ResultUnknown, not an error.
func (c *Client) Publish(id string, data []byte) (api.Published, error) {
	unreachable := &UnreachableError{}
	sent := false
	for _, address := range c.entries {
		published, err := c.publishAt(address, data)
		if err == nil {
			return combineResult(published, sent), nil
		}
		if !tryNext(err) && !sent {
			return api.Published{}, err
		}
		sent = sent || mayHaveTakenEffect(err)
		unreachable.add(address, err)
	}
	if sent {
		return api.Published{ID: id, Result: api.ResultUnknown, Detail: lostAnswer}, nil
	}
	return api.Published{}, unreachable
}

// combineResult turns the result "not published" into "unknown" if the document
// was sent to an earlier entry, which may have published it.
func combineResult(published api.Published, sent bool) api.Published {
	if sent && published.Result == api.ResultNotPublished {
		return api.Published{ID: published.ID, Result: api.ResultUnknown, Detail: lostAnswer}
	}
	return published
}

func mayHaveTakenEffect(err error) bool {
	return errors.Is(err, ErrNoAnswer) && !errors.Is(err, ErrNotSent)
}

// publishAt publishes at one entry. It accepts a result with any HTTP status.
func (c *Client) publishAt(address string, data []byte) (api.Published, error) {
	status, body, err := c.call(address, fasthttp.MethodPost, api.PathDocument, data)
	if err != nil {
		return api.Published{}, err
	}
	var published api.Published
	err = json.Unmarshal(body, &published)
	if err == nil && published.Result != "" {
		return published, nil
	}
	if status >= fasthttp.StatusBadRequest {
		return api.Published{}, refusal(address, status, body)
	}
	return api.Published{}, &AnswerError{Address: address, Err: err}
}
