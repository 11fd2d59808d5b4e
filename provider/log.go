// Package provider has what the daemons need of the platform: its log, its list
// of hosts, its workers and its executors. Each is a set of function fields, so
// that another implementation can be put behind them. Types whose fields are
// exported here are filled by codecs.
package provider

import (
	"context"
	"strconv"
)

type (
	// Offset is a place in a stream of the log; the first is 0.
	Offset int64

	// Entry is one record of a stream.
	Entry struct {
		Offset Offset `json:"offset"`
		Data   []byte `json:"data"`
	}

	// Page is a part of a stream.
	Page struct {
		Entries []Entry `json:"entries"`
		// Oldest is the first offset that is still kept.
		Oldest Offset `json:"oldest"`
		// Next is the offset that the next append gets.
		Next Offset `json:"next"`
	}

	// Log is the platform's append-only log.
	Log struct {
		// Append adds records in order and gives the offset of the first. An
		// error of code LogDown, RateLimited or TooLarge means that nothing was added;
		// after any other error they may have been.
		Append func(ctx context.Context, stream string, records [][]byte) (Offset, error)
		// Read gives at most limit entries from an offset on. Where the
		// offset is below Oldest it begins at Oldest.
		Read func(ctx context.Context, stream string, from Offset, limit int) (Page, error)
	}
)

// Streams of the log.
const (
	// StreamConfig carries changes of the declarations.
	StreamConfig = "config"
	// StreamIntents carries submissions and cancellations.
	StreamIntents = "intents"
	// StreamUsage carries what work used, by the hour.
	StreamUsage = "usage"
)

// StreamOf names the stream of one data centre's shards.
func StreamOf(dataCentre string) string { return "dc/" + dataCentre }

// String gives the offset in decimals.
func (o Offset) String() string { return strconv.FormatInt(int64(o), 10) }
