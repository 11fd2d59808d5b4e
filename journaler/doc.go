// Package journaler decides which records to append to the log and when, retries them
// until they are read back, and splits states into snapshot records.
//
// A Journal batches records by stream. A record is retried until it is read back, which is
// recognized by its id, since an append whose response was lost may or may not have taken
// effect. Records of one stream keep their order within an append. A retried record may be
// in the log twice, and after records that were added later; readers must tolerate both.
//
// A Snapshot is the state after all records of a stream before an offset, its base. It is
// appended to the same stream, split into several records (chunks). An Assembler finds the
// newest snapshot of which all chunks were read (a whole snapshot). A Schedule decides when
// the next snapshot is due: four times within the log's retention, or earlier after a
// number of records.
package journaler
