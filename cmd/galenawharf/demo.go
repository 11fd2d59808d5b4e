package main

import (
	"io"

	"galenawharf.example/galenawharf/demonstrator"
)

func newDemo() *command {
	var logs bool
	c := newCommand("demo", "runs two small example deployments in this process, in less than a minute",
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
