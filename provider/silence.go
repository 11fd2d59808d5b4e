package provider

import "galenawharf.example/galenawharf/coder"

// ErrSilent is the cause with which a call is cancelled whose connection shows
// no progress while others do.
var ErrSilent = coder.New(coder.Unknown, "the connection went silent")
