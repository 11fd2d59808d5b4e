package main

import "galenawharf.example/galenawharf/coder"

// Exit codes of the command.
const (
	exitOK          = 0
	exitFailed      = 1
	exitUsage       = 2
	exitUnreachable = 3
	exitRefused     = 4
)

// exitCode maps a result code to an exit code. Codes from 1000 to 5999 mean invalid
// input, a refusal, or a known condition of daemons, the platform or the bill. Any other
// failure is exitFailed.
func exitCode(c coder.Code) int {
	switch {
	case c == coder.OK:
		return exitOK
	case c == coder.Usage:
		return exitUsage
	case c == coder.Unreachable:
		return exitUnreachable
	case c >= 1000 && c < 6000:
		return exitRefused
	}
	return exitFailed
}
