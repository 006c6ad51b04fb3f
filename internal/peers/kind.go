package peers

import (
	"fmt"

	"github.com/fxamacker/cbor/v2"

	"sycamoretrail/internal/core/message"
)

// Kind is the number of a message type on the wire. Numbers are never reused.
type Kind uint8

const (
	KindHeartbeat Kind = iota + 1
	KindOffer
	KindWithdraw
	KindGrant
	KindQueued
	KindRefuse
	KindPreempt
	KindDone
	KindRunning
	KindFloorRequest
	KindFloorReply
	KindOwnerRequest
	KindOwnerReply
	KindClaimRequest
	KindClaimReply
	KindClaimRelease
	KindSuspicion
	KindDocumentRequest
	KindDocumentReply
	kindEnd
)

// decoder decodes the list of all messages of one type in a packet.
type decoder func(cbor.RawMessage) ([]message.Message, error)

type kindInfo struct {
	name   string
	decode decoder
}

var kinds = [kindEnd]kindInfo{
	KindHeartbeat:       {"heartbeat", decodeList[message.Heartbeat]},
	KindOffer:           {"offer", decodeList[message.Offer]},
	KindWithdraw:        {"withdraw", decodeList[message.Withdraw]},
	KindGrant:           {"grant", decodeList[message.Grant]},
	KindQueued:          {"queued", decodeList[message.Queued]},
	KindRefuse:          {"refuse", decodeList[message.Refuse]},
	KindPreempt:         {"preempt", decodeList[message.Preempt]},
	KindDone:            {"done", decodeList[message.Done]},
	KindRunning:         {"running", decodeList[message.Running]},
	KindFloorRequest:    {"floor_ask", decodeList[message.FloorRequest]},
	KindFloorReply:      {"floor_reply", decodeList[message.FloorReply]},
	KindOwnerRequest:    {"owner_ask", decodeList[message.OwnerRequest]},
	KindOwnerReply:      {"owner_reply", decodeList[message.OwnerReply]},
	KindClaimRequest:    {"claim_ask", decodeList[message.ClaimRequest]},
	KindClaimReply:      {"claim_reply", decodeList[message.ClaimReply]},
	KindClaimRelease:    {"claim_release", decodeList[message.ClaimRelease]},
	KindSuspicion:       {"suspicion", decodeList[message.Suspicion]},
	KindDocumentRequest: {"document_ask", decodeList[message.DocumentRequest]},
	KindDocumentReply:   {"document_reply", decodeList[message.DocumentReply]},
}

// String returns the kind's name in metrics.
func (k Kind) String() string {
	if !k.valid() {
		return "unknown"
	}
	return kinds[k].name
}

func (k Kind) valid() bool { return k > 0 && k < kindEnd }

// droppable reports whether messages of this kind are sent repeatedly, so that a full
// queue may drop them: heartbeats are periodic, offers are refreshed.
func (k Kind) droppable() bool { return k == KindHeartbeat || k == KindOffer }

// kindOf returns the kind of a message. It panics for a type that is not listed, which
// is a programming error that the test of all message types detects.
func kindOf(m message.Message) Kind {
	switch m.(type) {
	case message.Heartbeat:
		return KindHeartbeat
	case message.Offer:
		return KindOffer
	case message.Withdraw:
		return KindWithdraw
	case message.Grant:
		return KindGrant
	case message.Queued:
		return KindQueued
	case message.Refuse:
		return KindRefuse
	case message.Preempt:
		return KindPreempt
	case message.Done:
		return KindDone
	case message.Running:
		return KindRunning
	case message.FloorRequest:
		return KindFloorRequest
	case message.FloorReply:
		return KindFloorReply
	case message.OwnerRequest:
		return KindOwnerRequest
	case message.OwnerReply:
		return KindOwnerReply
	case message.ClaimRequest:
		return KindClaimRequest
	case message.ClaimReply:
		return KindClaimReply
	case message.ClaimRelease:
		return KindClaimRelease
	case message.Suspicion:
		return KindSuspicion
	case message.DocumentRequest:
		return KindDocumentRequest
	case message.DocumentReply:
		return KindDocumentReply
	}
	panic(fmt.Sprintf("message type %T has no kind", m))
}

func decodeList[T message.Message](raw cbor.RawMessage) ([]message.Message, error) {
	var list []T
	if err := decMode.Unmarshal(raw, &list); err != nil {
		return nil, err
	}
	out := make([]message.Message, len(list))
	for i := range list {
		out[i] = list[i]
	}
	return out, nil
}
