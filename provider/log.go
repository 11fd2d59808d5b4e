// Package provider defines the interface between the daemons and the platform: the log,
// the list of hosts, the workers and the executors. Each is a struct of function fields,
// so that implementations can be swapped: package dialer implements them over HTTP,
// package imitator in memory for tests. Fields of the types here are exported because
// encoding/json reads and writes them.
//
// The racks of a data centre are divided into shards. Each shard is owned by one daemon at
// a time, and only its owner sends orders to the workers of its racks.
package provider

import (
	"context"
	"strconv"
)

type (
	// Offset is the position of a record in a stream of the log. The first is 0.
	Offset int64

	// Entry is one record of a stream.
	Entry struct {
		Offset Offset `json:"offset"`
		Data   []byte `json:"data"`
	}

	// Page is a contiguous part of a stream, as returned by one read.
	Page struct {
		Entries []Entry `json:"entries"`
		// Oldest is the first offset that the log has not yet deleted.
		Oldest Offset `json:"oldest"`
		// Next is the offset that the next appended record will get.
		Next Offset `json:"next"`
	}

	// Log is the platform's append-only log.
	Log struct {
		// Append appends records in order and returns the offset of the first. An error
		// with the code LogDown, RateLimited or TooLarge means that nothing was
		// appended; after any other error the records may have been appended.
		Append func(ctx context.Context, stream string, records [][]byte) (Offset, error)
		// Read returns at most limit entries, beginning at offset from, or at Oldest if
		// from is smaller.
		Read func(ctx context.Context, stream string, from Offset, limit int) (Page, error)
	}
)

// Streams of the log.
const (
	// StreamConfig holds changes to the declarations: data centres, teams, services,
	// jobs and the like.
	StreamConfig = "config"
	// StreamIntents holds submissions and cancellations of jobs.
	StreamIntents = "intents"
	// StreamUsage holds the hourly resource usage of services and jobs.
	StreamUsage = "usage"
)

// StreamOf returns the name of the stream that holds the records of a data centre's
// shards.
func StreamOf(dataCentre string) string { return "dc/" + dataCentre }

// String returns the offset in decimal.
func (o Offset) String() string { return strconv.FormatInt(int64(o), 10) }
