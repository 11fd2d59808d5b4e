package server

import (
	"github.com/pkg/errors"
	"google.golang.org/protobuf/encoding/protojson"
	"google.golang.org/protobuf/proto"

	"galenawharf.example/galenawharf/coder"
)

type (
	// strictJSON is a connect.Codec for protobuf JSON. Unlike the codec of connect it
	// refuses unknown fields.
	strictJSON struct{}
)

var (
	errNotMessage = errors.New("not a protobuf message")
)

// Name returns "json", which replaces the codec that connect registers under that name.
func (strictJSON) Name() string { return "json" }

// Marshal encodes a protobuf message.
func (strictJSON) Marshal(v any) ([]byte, error) {
	m, ok := v.(proto.Message)
	if !ok {
		return nil, errNotMessage
	}
	return protojson.Marshal(m)
}

// Unmarshal decodes a protobuf message. Invalid JSON and unknown fields are errors with
// the code coder.Malformed.
func (strictJSON) Unmarshal(data []byte, v any) error {
	m, ok := v.(proto.Message)
	if !ok {
		return errNotMessage
	}
	if err := protojson.Unmarshal(data, m); err != nil {
		return coder.New(coder.Malformed, "%v", err)
	}
	return nil
}
