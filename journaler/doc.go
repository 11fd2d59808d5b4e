// Package journaler appends records to the log and stores state in snapshots.
//
// A Journal batches records by stream and decides what to append when. A record is done
// only once it was read back by its id: that settles an append whose answer was lost, and
// a record that never shows up is retried. Records of one stream keep their order within
// an append. A retried record may come later than its successors, and twice; readers must
// tolerate both.
//
// A Snapshot replaces all records of a stream before its base, in chunks that are
// appended to the same stream. An Assembler finds the newest whole one while the stream
// is read. A Schedule decides when the next one is due: well before the log's retention
// discards the base of the last.
package journaler
