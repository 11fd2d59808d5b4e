package main

import "fmt"

func newVersion() *command {
	return newCommand("version", "prints the version", "galenawharf version", func(s streams) error {
		_, err := fmt.Fprintln(s.out, version)
		return err
	})
}
