// Package journaler puts records into the log and states into snapshots.
//
// A Journal gathers records by stream, and says what to append and when. A
// record is done only when it was read back by its id: an append whose answer
// was lost is settled so, and one that never came is tried again. Records of
// one stream keep their order within an append; one that is tried again may
// come later, and twice, which readers must take.
//
// A Snapshot stands for all records of a stream before its base, in chunks that
// are appended to the same stream. An Assembler finds the newest whole one
// while it reads. A Schedule says when the next one is due: well before the
// log's retention takes the base of the last.
package journaler
