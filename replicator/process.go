package replicator

import "strings"

// daemonOf gives the daemon of a process.
func daemonOf(process string) string {
	name, _, _ := strings.Cut(process, "#")
	return name
}
