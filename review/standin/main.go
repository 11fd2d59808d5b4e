// Command standin plays the store, the executors and the consumers of a small deployment for the cases of
// the review. It writes the settings of the hosts, which the script of a case starts, and says at the end
// whether the rule of the case was kept: 0 if it was, 1 if it was broken, 2 if the case could not run.
package main

import (
	"fmt"
	"os"
	"path/filepath"

	"galenawharf.example/galenawharf/clock"
)

// scenario is what one case plays. It returns in which way the rule was broken, and false if it could not
// run.
type scenario struct {
	hosts, executors int
	// status is status_s of the settings: how long the state of an ended job can be asked for.
	status clock.Millis
	play   func(w *world, trouble bool) (broken []string, ran bool)
}

const (
	exitBroken = 1
	exitUsage  = 2
	// startTime is how long the hosts may take until they answer.
	startTime = 20 * clock.Second
	// statusTime is the usual status_s.
	statusTime = 120 * clock.Second
)

func main() { os.Exit(run()) }

func run() int {
	scenarios := map[string]scenario{
		"leftover": {3, 8, leftoverStatus, playLeftover},
		"wide":     {3, 16, statusTime, playWide},
		"crashes":  {3, 50, statusTime, playCrashes},
		"lasting":  {3, 8, statusTime, playLasting},
		"images":   {3, 8, statusTime, playImages},
	}
	if len(os.Args) != 4 {
		fmt.Fprintln(os.Stderr, "usage: standin SCENARIO DIRECTORY RECORD")
		return exitUsage
	}
	s, ok := scenarios[os.Args[1]]
	if !ok {
		fmt.Fprintln(os.Stderr, "no such scenario")
		return exitUsage
	}
	rec, err := newRecorder(os.Args[3])
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitUsage
	}
	trouble := os.Getenv("TROUBLE") != "0"
	rec.write("scenario %s, trouble %t", os.Args[1], trouble)
	code := play(s, rec, trouble)
	if err := rec.close(); err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitUsage
	}
	return code
}

func play(s scenario, rec *recorder, trouble bool) int {
	w, err := newWorld(os.Args[2], rec, s)
	if err != nil {
		rec.write("can't start: %v", err)
		return exitUsage
	}
	if err := os.WriteFile(filepath.Join(os.Args[2], "ready"), nil, 0o600); err != nil {
		rec.write("can't start: %v", err)
		return exitUsage
	}
	if !w.awaitReady(startTime) {
		rec.write("the hosts do not answer")
		return exitUsage
	}
	rec.write("the hosts answer")
	broken, ran := s.play(w, trouble)
	if !ran {
		rec.write("the case could not run")
		return exitUsage
	}
	for _, b := range broken {
		rec.write("BROKEN: %s", b)
	}
	rec.write("the rule was broken %d times", len(broken))
	if len(broken) > 0 {
		return exitBroken
	}
	return 0
}
