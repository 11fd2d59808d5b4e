package server

import (
	"github.com/pkg/errors"
	"google.golang.org/protobuf/encoding/protojson"
	"google.golang.org/protobuf/proto"

	"galenawharf.example/galenawharf/coder"
)

type (
	// strictJSON is the JSON of the schema; unlike connect's own it refuses
	// fields that the schema doesn't have.
	strictJSON struct{}
)

var (
	errNoMessage = errors.New("not a message of the schema")
)

// Name gives the name under which connect finds the codec.
func (strictJSON) Name() string { return "json" }

// Marshal writes a message.
func (strictJSON) Marshal(v any) ([]byte, error) {
	m, ok := v.(proto.Message)
	if !ok {
		return nil, errNoMessage
	}
	return protojson.Marshal(m)
}

// Unmarshal reads a message.
func (strictJSON) Unmarshal(data []byte, v any) error {
	m, ok := v.(proto.Message)
	if !ok {
		return errNoMessage
	}
	if err := protojson.Unmarshal(data, m); err != nil {
		return coder.New(coder.Malformed, "%v", err)
	}
	return nil
}
