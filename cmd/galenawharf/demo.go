package main

import (
	"io"

	"galenawharf.example/galenawharf/demonstrator"
)

func newDemo() *command {
	var logs bool
	c := newCommand("demo", "shows two small deployments at work in this process, in well under a minute",
		"galenawharf demo",
		func(s streams) error {
			w := io.Discard
			if logs {
				w = s.err
			}
			return demonstrator.Run(s.out, w)
		})
	c.sub.Bool(&logs, "l", "logs", "write the daemons' log lines to standard error")
	return c
}
