package gossip

// RolloutStep is the progress of a roll-out; see rollout.Step.
type RolloutStep struct {
	Service   string `cbor:"1,keyasint"`
	Order     int64  `cbor:"2,keyasint"`
	Phase     uint8  `cbor:"3,keyasint"`
	Halt      bool   `cbor:"4,keyasint,omitempty"`
	ElapsedMS int64  `cbor:"5,keyasint"`
}

// RolloutReport holds the sender's observations of a roll-out; see rollout.Report.
type RolloutReport struct {
	Service    string        `cbor:"1,keyasint"`
	Order      int64         `cbor:"2,keyasint"`
	Phase      uint8         `cbor:"3,keyasint"`
	OldEngaged int           `cbor:"4,keyasint,omitempty"`
	New        []Observation `cbor:"5,keyasint,omitempty"`
	Old        []Observation `cbor:"6,keyasint,omitempty"`
}

// Observation is the outcome of one answer of a target, with times in microseconds. It is
// encoded in about 28 bytes, so that the observations of a report fit a datagram.
type Observation struct {
	_             struct{} `cbor:",toarray"`
	Number        uint64
	Route, Target uint32
	Flags         uint8
	Load          uint8
	Pace, First   uint32
	TookMS        uint32
}

// Flags of an Observation.
const (
	ObservedFailed         = 1
	ObservedConnectionLost = 2
	ObservedLoaded         = 4
)
