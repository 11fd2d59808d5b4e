package replicator

import "strings"

// daemonOf returns the daemon's name in a process, which is NAME#INCARNATION.
func daemonOf(process string) string {
	name, _, _ := strings.Cut(process, "#")
	return name
}
