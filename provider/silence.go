package provider

import "galenawharf.example/galenawharf/coder"

// ErrSilent is the cancellation cause of a call that got no response while calls on other
// connections did. The connection may be dead without having been closed.
var ErrSilent = coder.New(coder.Unknown, "no response on the connection")
