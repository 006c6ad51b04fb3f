package main

import (
	"context"
	"encoding/json"
	"errors"

	"sycamoretrail/internal/core/document"
	"sycamoretrail/internal/core/entry"
	"sycamoretrail/internal/duty"
	"sycamoretrail/internal/operators"
)

// errNotOffered: the core has no such read yet.
var errNotOffered = errors.New("the core does not offer this read")

// inspector answers operators from the core and the view.
type inspector struct {
	loop  *duty.Loop[*entry.Entry]
	views *views
}

// Status tells what the view says; the core's own words are to be added.
func (i *inspector) Status(ctx context.Context) (operators.Status, error) {
	if err := i.loop.Do(ctx, func(*entry.Entry) {}); err != nil {
		return operators.Status{}, err
	}
	status := operators.Status{WaitingInputs: i.loop.Waiting()}
	view := i.views.Latest()
	status.State = view.State.String()
	status.Version = view.Version
	if view.Document != nil {
		status.DocumentID = view.Document.ID
	}
	return status, nil
}

// Document returns the document in force.
func (i *inspector) Document(context.Context) (operators.Document, error) {
	view := i.views.Latest()
	if view.Document == nil {
		return operators.Document{}, nil
	}
	data, err := json.Marshal(view.Document)
	return operators.Document{Version: view.Version, ID: view.Document.ID, Data: data}, err
}

func (i *inspector) Targets(context.Context) (operators.Targets, error) {
	return operators.Targets{}, errNotOffered
}

func (i *inspector) Floors(context.Context) (operators.Floors, error) {
	return operators.Floors{}, errNotOffered
}

func (i *inspector) Explain(context.Context, string) (operators.Explanation, error) {
	return operators.Explanation{}, errNotOffered
}

func (i *inspector) Verdict(context.Context, string) (operators.Published, error) {
	return operators.Published{}, errNotOffered
}

// checkDocument judges a document before it goes to the log.
func checkDocument(data []byte) (string, []operators.Fault) {
	var doc document.Document
	if err := json.Unmarshal(data, &doc); err != nil {
		return "", []operators.Fault{{Path: "(document)", Problem: err.Error(), Remedy: "write one JSON document"}}
	}
	return doc.ID, nil
}
