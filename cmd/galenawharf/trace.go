package main

import (
	"io"
	"os"

	"github.com/pkg/errors"

	"galenawharf.example/galenawharf/coder"
	"galenawharf.example/galenawharf/tracer"
)

func newTrace() *command {
	var id string
	var files []string
	c := newCommand("trace", "tells the story of one request from the daemons' logs",
		"galenawharf trace --id 5c0e7a21d94b36f8 --log host-1.log --log host-2.log",
		func(s streams) error { return trace(s.out, id, files) })
	c.sub.String(&id, "i", "id", "the request's id")
	c.sub.StringSlice(&files, "l", "log", "a log; may be repeated")
	return c
}

func trace(w io.Writer, id string, files []string) error {
	if id == "" || len(files) == 0 {
		return coder.New(coder.Usage, "trace needs --id and at least one --log")
	}
	var logs []io.Reader
	for _, name := range files {
		f, err := os.Open(name)
		if err != nil {
			return errors.Wrap(err, "trace")
		}
		// An error of Close can be ignored, since the file was only read.
		defer func() { _ = f.Close() }()
		logs = append(logs, f)
	}
	lines, err := tracer.Read(id, logs...)
	if err != nil {
		return err
	}
	if len(lines) == 0 {
		return coder.New(coder.Usage, "no line of these logs contains id %s", id)
	}
	return tracer.Write(w, lines)
}
