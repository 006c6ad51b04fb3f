package operatorclient

import (
	"encoding/json"
	"errors"

	"github.com/valyala/fasthttp"

	"sycamoretrail/internal/operators/api"
)

// lostAnswer is the detail of a publication that nobody could be asked about.
const lostAnswer = "the entry's answer was lost; look at the document in force later, or publish again with the same id"

// Publish sends a document, whose id is given too, to the first entry that
// answers. An entry whose answer was lost may have appended the document; the
// next is then asked with the same bytes, which is harmless since the second
// record of an id has no effect. Where nobody answers after that the result is
// unknown, not an error.
func (c *Client) Publish(id string, data []byte) (api.Published, error) {
	unreachable := &UnreachableError{}
	sent := false
	for _, address := range c.entries {
		published, err := c.publishAt(address, data)
		if err == nil {
			return weigh(published, sent), nil
		}
		if !tryNext(err) && !sent {
			return api.Published{}, err
		}
		sent = sent || mayHaveActed(err)
		unreachable.add(address, err)
	}
	if sent {
		return api.Published{ID: id, Result: api.ResultUnknown, Detail: lostAnswer}, nil
	}
	return api.Published{}, unreachable
}

// weigh keeps a later "nothing was published" from hiding that an earlier entry
// may have published.
func weigh(published api.Published, sent bool) api.Published {
	if sent && published.Result == api.ResultNotPublished {
		return api.Published{ID: published.ID, Result: api.ResultUnknown, Detail: lostAnswer}
	}
	return published
}

func mayHaveActed(err error) bool {
	return errors.Is(err, ErrNoAnswer) && !errors.Is(err, ErrNotSent)
}

// publishAt reads the result from whatever HTTP status it came with.
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
